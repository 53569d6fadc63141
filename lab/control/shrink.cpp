#include "lab/control/shrink.h"

#include <algorithm>
#include <utility>

namespace lichenlug::lab::control {

namespace {

bool HasViolation(const Outcome& outcome, const std::string& checker) {
  return std::any_of(outcome.violations.begin(), outcome.violations.end(),
                     [&](const Violation& violation) { return violation.checker == checker; });
}

}  // namespace

ShrinkResult Shrink(const Day& day, int max_plays) {
  ShrinkResult shrunk{day, Play(day), 1};
  if (shrunk.outcome.violations.empty()) return shrunk;
  const std::string checker = shrunk.outcome.violations.front().checker;
  for (std::size_t i = shrunk.day.events.size(); i-- > 0 && shrunk.plays < max_plays;) {
    Day reduced = shrunk.day;
    reduced.events.erase(reduced.events.begin() + static_cast<std::ptrdiff_t>(i));
    Outcome outcome = Play(reduced);
    ++shrunk.plays;
    if (!HasViolation(outcome, checker)) continue;
    shrunk.day = std::move(reduced);
    shrunk.outcome = std::move(outcome);
    // An event behind the removed one may have become unnecessary too.
    i = std::min(i + 1, shrunk.day.events.size());
  }
  return shrunk;
}

}  // namespace lichenlug::lab::control

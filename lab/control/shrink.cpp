#include "lab/control/shrink.h"

#include <algorithm>
#include <utility>

namespace lichenlug::lab::control {

namespace {

bool Finds(const Outcome& outcome, const std::string& judge) {
  return std::any_of(outcome.findings.begin(), outcome.findings.end(),
                     [&](const Finding& finding) { return finding.judge == judge; });
}

}  // namespace

Shrunk Shrink(const Day& day, int max_plays) {
  Shrunk shrunk{day, Play(day), 1};
  if (shrunk.outcome.findings.empty()) return shrunk;
  const std::string judge = shrunk.outcome.findings.front().judge;
  for (std::size_t i = shrunk.day.events.size(); i-- > 0 && shrunk.plays < max_plays;) {
    Day without = shrunk.day;
    without.events.erase(without.events.begin() + static_cast<std::ptrdiff_t>(i));
    Outcome outcome = Play(without);
    ++shrunk.plays;
    if (!Finds(outcome, judge)) continue;
    shrunk.day = std::move(without);
    shrunk.outcome = std::move(outcome);
    // An event behind the removed one may have become unnecessary too.
    i = std::min(i + 1, shrunk.day.events.size());
  }
  return shrunk;
}

}  // namespace lichenlug::lab::control

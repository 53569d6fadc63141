#include "quarantine/decisions.h"

namespace lichenlug {
namespace {

bool InEffect(const Decisions::Dot& dot, std::uint32_t now) {
  const bool ends = dot.what == Decision::kDiscarded || dot.what == Decision::kTrialFailed;
  return dot.what != Decision::kNothing && (!ends || now < dot.until);
}

}  // namespace

bool Decisions::Decide(std::uint32_t by, Decision what, std::uint32_t until) {
  auto own = std::ranges::lower_bound(dots_, by, {}, &Dot::by);
  if (own == dots_.end() || own->by != by) {
    if (dots_.size() >= kMaxWriters) return false;
    own = dots_.insert(own, Dot{.by = by});
  }
  if (own->count == UINT16_MAX) return false;
  for (Dot& dot : dots_) dot.what = Decision::kNothing, dot.until = 0;
  own->count += 1, own->what = what, own->until = until;
  return true;
}

bool Decisions::Merge(const Decisions& other) {
  std::vector<Dot> merged;
  auto a = dots_.begin();
  auto b = other.dots_.begin();
  while (a != dots_.end() || b != other.dots_.end()) {
    if (b == other.dots_.end() || (a != dots_.end() && a->by < b->by)) {
      merged.push_back(*a++);
    } else if (a == dots_.end() || b->by < a->by) {
      merged.push_back(*b++);
    } else {
      Dot both = a->count >= b->count ? *a : *b;
      if (a->count == b->count && (a->what == Decision::kNothing || b->what == Decision::kNothing))
        both.what = Decision::kNothing, both.until = 0;
      merged.push_back(both);
      ++a, ++b;
    }
  }
  if (merged.size() > kMax) merged.erase(merged.begin(), merged.end() - kMax);
  const bool changed = merged != dots_;
  dots_ = std::move(merged);
  return changed;
}

void Decisions::Load(const Dot& dot) {
  const auto at = std::ranges::lower_bound(dots_, dot.by, {}, &Dot::by);
  if (dots_.size() < kMax && (at == dots_.end() || at->by != dot.by)) dots_.insert(at, dot);
}

Decisions::Dot Decisions::Current(std::uint32_t now) const {
  Dot strongest;
  for (const Dot& dot : dots_)
    if (InEffect(dot, now) &&
        (dot.what > strongest.what || (dot.what == strongest.what && dot.until > strongest.until)))
      strongest = dot;
  return strongest;
}

}  // namespace lichenlug

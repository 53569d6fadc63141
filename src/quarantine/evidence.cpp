#include "quarantine/evidence.h"

#include <map>

namespace lichenlug {

bool Evidence::Add(const Sign& sign) {
  if (sign.what == Outcome::kNothing) return false;
  const auto at = std::ranges::lower_bound(signs_, sign, std::less<>());
  if (at == signs_.end() || !at->SameAs(sign)) {
    if (signs_.size() >= kMax && at == signs_.end()) return false;
    signs_.insert(at, sign);
    if (signs_.size() > kMax) signs_.pop_back();
    return true;
  }
  const Sign merged{.runner = sign.runner,
                    .life = sign.life,
                    .runner_kind = std::max(at->runner_kind, sign.runner_kind),
                    .zone = std::max(at->zone, sign.zone),
                    .what = std::max(at->what, sign.what),
                    .weight = std::min(at->weight, sign.weight),
                    .at = std::min(at->at, sign.at)};
  const bool changed = merged.what != at->what || merged.weight != at->weight || merged.zone != at->zone ||
                       merged.runner_kind != at->runner_kind;
  *at = merged;
  return changed;
}

bool Evidence::Lower(const Sign& place, std::uint8_t weight) {
  const auto at = std::ranges::lower_bound(signs_, place, std::less<>());
  if (at == signs_.end() || !at->SameAs(place) || at->weight <= weight) return false;
  at->weight = weight;
  return true;
}

bool Evidence::Merge(const Evidence& other) {
  bool changed = false;
  for (const Sign& sign : other.signs_) changed |= Add(sign);
  return changed;
}

double Evidence::Sum(Time now) const {
  struct OfKind {
    double bad = 0, failed = 0, lived = 0;
  };
  std::map<std::uint8_t, OfKind> kinds;
  const Sign* before = nullptr;
  for (const Sign& sign : signs_) {
    const double age = static_cast<double>(std::max<Time>(now - sign.at, 0)) / kHalfLife;
    double weight = sign.weight / 16.0 * std::exp2(-age);
    OfKind& kind = kinds[sign.runner_kind];
    if (sign.bad()) {
      if (before != nullptr && before->bad() && before->runner == sign.runner) weight /= 2;
      kind.bad += weight;
    } else if (sign.what == Outcome::kFailed) {
      kind.failed += weight;
    } else {
      kind.lived += kSuccessWeight * std::exp2(-age);
    }
    before = &sign;
  }
  double sum = 0, failed = 0, lowest = 0;
  for (const auto& [name, kind] : kinds) {
    failed += kind.failed;
    sum += std::max(kind.bad - kind.lived, 0.0);
    lowest = std::min(lowest, kind.bad - kind.lived);
  }
  if (sum <= 0) return std::min(lowest + std::min(failed, kMaxFailedWeight), kMaxFailedWeight);
  return sum + std::min(failed, kMaxFailedWeight);
}

int Evidence::strikes() const {
  return static_cast<int>(
      std::ranges::count_if(signs_, [](const Sign& it) { return it.bad() && it.weight > 0; }));
}

Time Evidence::last_strike() const {
  Time last = 0;
  for (const Sign& sign : signs_)
    if (sign.bad() && sign.weight > 0) last = std::max(last, sign.at);
  return last;
}

}  // namespace lichenlug

#include "quarantine/background.h"

#include <algorithm>
#include <cmath>

namespace lichenlug {
namespace {

// Weight of the next higher level's rate as a prior, in tries.
constexpr double kTierPrior = 50, kClassPrior = 10, kRunnerPrior = 4;

bool SameRunnerLife(const Sign& a, const Sign& b) { return a.runner == b.runner && a.life == b.life; }

// A life that ended under several jobs at once counts as one end; each job that it hung counts separately.
bool IsRepeated(const Sign& other, const Sign& sign) {
  return other.runner == sign.runner && (other.life != sign.life || other.what == Outcome::kHung);
}

}  // namespace

void Background::Decay(Rate* rate, Time now) {
  if (now <= rate->at) return;
  const double left = std::exp2(-static_cast<double>(now - rate->at) / kWindow);
  rate->tries *= left, rate->failed *= left, rate->at = now;
}

Background::Rate* Background::FindOrAddRate(std::map<std::uint32_t, Rate>* of, std::uint32_t which) {
  if (of->size() >= kMaxRates && !of->contains(which)) return nullptr;
  return &(*of)[which];
}

void Background::RecordRun(std::uint32_t runner, std::uint32_t job_class, Outcome what, Time now) {
  if (what == Outcome::kNothing) return;
  for (Rate* rate : {&all_, FindOrAddRate(&runners_, runner), FindOrAddRate(&classes_, job_class)}) {
    if (rate == nullptr) continue;
    Decay(rate, now);
    rate->tries += 1;
    rate->failed += what == Outcome::kFailed ? 1 : 0;
  }
}

void Background::Ended(const End& end) {
  for (const End& known : ends_)
    if (known.job == end.job && SameRunnerLife(known.sign, end.sign)) return;
  ends_.push_back(end);
  if (ends_.size() > kMaxEnds) ends_.pop_front();
}

double Background::Tries(const std::map<std::uint32_t, Rate>& of, std::uint32_t which, Time now) const {
  const auto it = of.find(which);
  if (it == of.end()) return 0;
  Rate rate = it->second;
  Decay(&rate, now);
  return rate.tries * members_;
}

std::uint8_t Background::WeightOf(const End& end, Time now) const {
  Rate all = all_;
  Decay(&all, now);
  const Sign& sign = end.sign;
  if (sign.what == Outcome::kSucceeded) return 0;
  if (const auto it = explained_.find({sign.runner, sign.life});
      it != explained_.end() && it->second != end.job)
    return 0;
  if (sign.what == Outcome::kFailed) {
    const auto it = classes_.find(end.job_class);
    Rate of_class = it == classes_.end() ? Rate{} : it->second;
    Decay(&of_class, now);
    const double tier = (all.failed + kMinFailedRate * kTierPrior) / (all.tries + kTierPrior);
    const double here = (of_class.failed + tier * kClassPrior) / (of_class.tries + kClassPrior);
    return ToWeight(std::log(kFailedIfPoison / std::max({tier, here, kMinFailedRate})));
  }
  double tier = 0, runner = 0;
  std::vector<Fingerprint> class_jobs;
  std::vector<std::uint32_t> zone_runners;
  const auto add = [](auto* set, const auto& value) {
    if (std::ranges::find(*set, value) == set->end()) set->push_back(value);
  };
  for (const End& other : ends_) {
    if (other.job == end.job || std::abs(other.sign.at - sign.at) > kWindow) continue;
    tier += 1;
    if (other.job_class == end.job_class && class_jobs.size() < kMaxNearby) add(&class_jobs, other.job);
    if (IsRepeated(other.sign, sign)) runner += 1;
    if (other.sign.zone == sign.zone && other.sign.runner != sign.runner &&
        zone_runners.size() < kMinZoneFailures && std::abs(other.sign.at - sign.at) <= kZoneFailureWindow)
      add(&zone_runners, other.sign.runner);
  }
  const bool known = all.tries >= kMinTries;
  const double of_tier =
      known ? (tier + kMinBadRate * kTierPrior) / (all.tries * members_ + kTierPrior) : kMinBadRate;
  const double of_class = known ? (static_cast<double>(class_jobs.size()) + of_tier * kClassPrior) /
                                      (Tries(classes_, end.job_class, now) + kClassPrior)
                                : kMinBadRate;
  const double of_runner = (runner + of_tier * kRunnerPrior) /
                           (std::max(Tries(runners_, sign.runner, now), runner) + kRunnerPrior);
  const double of_zone = zone_runners.size() >= kMinZoneFailures ? kBadIfPoison : 0;
  const double expected = std::max({of_tier, of_class, of_runner, of_zone, kMinBadRate});
  return ToWeight(std::log(kBadIfPoison / std::min(expected, kBadIfPoison)));
}

std::vector<Background::End> Background::NearbyEnds(const End& end) const {
  std::vector<End> nearby;
  for (auto it = ends_.rbegin(); it != ends_.rend() && nearby.size() < kMaxNearby; ++it)
    if (it->job != end.job && std::abs(it->sign.at - end.sign.at) <= kWindow &&
        (it->sign.runner == end.sign.runner || it->job_class == end.job_class ||
         (it->sign.zone == end.sign.zone && std::abs(it->sign.at - end.sign.at) <= kZoneFailureWindow)))
      nearby.push_back(*it);
  return nearby;
}

void Background::Exonerate(const Fingerprint& poison, const std::vector<Sign>& signs) {
  for (const Sign& sign : signs) {
    if (!sign.bad()) continue;
    if (explained_.size() >= kMaxExplained) explained_.clear();  // its entries are older than kWindow by then
    explained_[{sign.runner, sign.life}] = poison;
  }
  std::erase_if(ends_, [&](const End& it) {
    return it.job == poison || std::ranges::any_of(signs, [&](const Sign& sign) {
             return sign.bad() && SameRunnerLife(sign, it.sign);
           });
  });
}

}  // namespace lichenlug

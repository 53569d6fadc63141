#include "checkpoints/rates.h"

#include <algorithm>
#include <vector>

#include "checkpoints/exact.h"

namespace lichenlug {
namespace {

constexpr Ticks kHalfLifeTicks = Facts::kHalfLife / kTick;
constexpr Ticks kYoungTicks = Rates::kYoung / kTick;
constexpr int kMinEventDeaths = 3;  // minimum deaths of a zone event
constexpr int kZoneDivisor = 4;     // and at least one in this many runners of the zone

// Log likelihood of `deaths` in `exposure` at their own rate, without the terms that cancel in a ratio.
double LogLikelihood(double deaths, double exposure) {
  return deaths > 0 && exposure > 0 ? deaths * exact::Log(deaths / exposure) : 0;
}

}  // namespace

double Rates::Tally::Deaths() const {
  return static_cast<double>(deaths) / static_cast<double>(exact::kFullWeight);
}

// The integral of 2^(-t/h) is (h / ln 2) times the difference of the weights at both ends.
double Rates::Tally::Seconds() const {
  return static_cast<double>(exposure) / static_cast<double>(exact::kFullWeight) *
         (static_cast<double>(kHalfLifeTicks) / 0.693147180559945309417) *
         (static_cast<double>(kTick) / kSecond);
}

std::int64_t Rates::Weight(Ticks at) const { return exact::DecayedWeight(now_ - at, kHalfLifeTicks); }

void Rates::Add(Ages* ages, const LifeKey& key, const Life& life, bool died) const {
  const Ticks young_until = key.start + kYoungTicks;
  const auto add_span = [&](Tally* tally, Ticks from, Ticks to) {
    from = std::max(from, from_), to = std::min(to, now_);
    if (to > from) tally->exposure += Weight(to) - Weight(from);
  };
  add_span(&(*ages)[1], key.start, std::min(life.until, young_until));
  add_span(&(*ages)[0], young_until, life.until);
  if (died && life.until >= from_ && life.until <= now_)
    (*ages)[life.until < young_until ? 1 : 0].deaths += Weight(life.until);
}

void Rates::FindEvents(const Facts& facts, std::map<int, std::vector<Death>> by_zone,
                       std::vector<LifeKey>* event_deaths) {
  std::map<int, std::pair<std::vector<Ticks>, std::vector<Ticks>>> spans;  // starts and ends, by zone
  for (const auto& [key, life] : facts.lives())
    spans[life.zone].first.push_back(key.start), spans[life.zone].second.push_back(life.until);
  for (auto& [zone, span] : spans) std::ranges::sort(span.first), std::ranges::sort(span.second);
  for (auto& [zone, deaths] : by_zone) {
    std::ranges::sort(deaths, {}, [](const Death& it) { return std::pair(it.at, it.key); });
    for (std::size_t first = 0; first < deaths.size();) {
      std::size_t last = first;
      while (last + 1 < deaths.size() && deaths[last + 1].at - deaths[first].at <= kEventWindow / kTick)
        ++last;
      const int count = static_cast<int>(last - first) + 1;
      if (count < kMinEventDeaths || zone == 255) {
        ++first;
        continue;
      }
      const Ticks at = deaths[first].at;
      const auto& [starts, ends] = spans[zone];
      const auto before = [at](const std::vector<Ticks>& times) {
        return std::ranges::lower_bound(times, at) - times.begin();
      };
      const int alive = static_cast<int>(before(starts) - before(ends));
      if (count * kZoneDivisor < alive) {
        ++first;
        continue;
      }
      zone_events_.push_back({zone, at, std::min(1.0, static_cast<double>(count) / std::max(1, alive))});
      for (std::size_t i = first; i <= last; ++i) event_deaths->push_back(deaths[i].key);
      first = last + 1;
    }
  }
  std::ranges::sort(*event_deaths);
  events_ = static_cast<int>(zone_events_.size());
}

void Rates::FindChange(const Facts& facts, const std::vector<LifeKey>& event_deaths) {
  std::vector<Ticks> points;
  for (double ago = 100; ago <= static_cast<double>(Facts::kHorizon / kTick); ago *= 1.5)
    points.push_back(now_ - static_cast<Ticks>(ago));
  from_ = now_ - Facts::kHorizon / kTick;
  // Deaths and exposure after each point, and after the whole horizon (the last of both).
  std::vector<std::int64_t> deaths(points.size() + 1), exposure(points.size() + 1);
  points.push_back(from_);
  for (const auto& [key, life] : facts.lives()) {
    const bool died = life.IsConfirmedDeath() && !std::ranges::binary_search(event_deaths, key);
    for (std::size_t i = 0; i < points.size(); ++i) {
      const Ticks from = std::max(key.start, points[i]), to = std::min(life.until, now_);
      if (to > from) exposure[i] += to - from;
      if (died && life.until >= points[i] && life.until <= now_) ++deaths[i];
    }
  }
  // Finds the best split, then repeats on the data after it, as long as one is significant.
  for (std::size_t end = points.size() - 1; end > 0;) {
    double best = kChangeThreshold;
    std::size_t found = points.size();
    const auto all_d = static_cast<double>(deaths[end]), all_e = static_cast<double>(exposure[end]);
    for (std::size_t i = 0; i < end; ++i) {
      const auto d = static_cast<double>(deaths[i]), e = static_cast<double>(exposure[i]);
      if (e <= 0 || all_e - e <= 0) continue;
      const double ratio =
          LogLikelihood(d, e) + LogLikelihood(all_d - d, all_e - e) - LogLikelihood(all_d, all_e);
      if (ratio > best) best = ratio, found = i;
    }
    if (found == points.size()) return;
    from_ = points[found], since_ = from_ * kTick, end = found;
  }
}

Rates::Rates(const Facts& facts, Time now) : now_(now / kSecond * (kSecond / kTick)) {
  std::map<int, std::vector<Death>> by_zone;
  Ticks first = now_;
  for (const auto& [key, life] : facts.lives()) {
    if (life.IsConfirmedDeath()) by_zone[life.zone].push_back({life.until, key});
    first = std::min(first, key.start);
  }
  std::vector<LifeKey> event_deaths;
  FindEvents(facts, by_zone, &event_deaths);
  FindChange(facts, event_deaths);
  for (const auto& [key, life] : facts.lives()) {
    const bool died = life.IsConfirmedDeath() && !std::ranges::binary_search(event_deaths, key);
    Add(&tier_, key, life, died);
    Add(&zones_[life.zone], key, life, died);
    Add(&kinds_[{life.zone, life.kind}], key, life, died);
    Add(&runners_[key.runner], key, life, died);
  }
  if (zone_events_.empty()) return;
  const Ticks began = std::max(first, now_ - Facts::kHorizon / kTick);
  Tally each, all;
  each.exposure = Weight(now_) - Weight(began);
  all.exposure = each.exposure * static_cast<std::int64_t>(std::max<std::size_t>(1, zones_.size()));
  double mean_share = 0;
  for (const Event& event : zone_events_) all.deaths += Weight(event.at), mean_share += event.share;
  mean_share /= static_cast<double>(zone_events_.size());
  // The prior exposure keeps a zone event in the first minutes from giving a rate of one a minute.
  const double above = all.Deaths() / (all.Seconds() + kPriorExposure);
  for (const auto& [zone, unused] : zones_) {
    Tally own = each;
    for (const Event& event : zone_events_)
      if (event.zone == zone) own.deaths += Weight(event.at);
    zone_rate_[zone] = mean_share * (1 + own.Deaths()) / (1 / above + own.Seconds());
  }
}

double Rates::PooledMean(double above, const Tally& tally) {
  return (kPriorDeaths + tally.Deaths()) / (kPriorDeaths / above + tally.Seconds());
}

Rate Rates::RateOf(std::uint32_t runner, int kind, int zone, bool young) const {
  const std::size_t age = young ? 1 : 0;
  Tally all = tier_[0];
  all.deaths += tier_[1].deaths, all.exposure += tier_[1].exposure;
  double mean = (0.5 + all.Deaths()) / (kPriorExposure + all.Seconds());
  mean = PooledMean(mean, tier_[age]);
  if (const auto at = zones_.find(zone); at != zones_.end()) mean = PooledMean(mean, at->second[age]);
  if (const auto at = kinds_.find({zone, kind}); at != kinds_.end()) mean = PooledMean(mean, at->second[age]);
  if (const auto at = runners_.find(runner); at != runners_.end()) mean = PooledMean(mean, at->second[age]);
  if (const auto at = zone_rate_.find(zone); at != zone_rate_.end()) mean += at->second;
  // The Gamma shape from the tier's deaths, and its quantile by the Wilson-Hilferty approximation.
  const double shape = 0.5 + all.Deaths(), root = std::sqrt(shape);
  const double cube = 1 - 1 / (9 * shape) + 1.645 / (3 * root);
  return {mean, mean / root, mean * cube * cube * cube};
}

Rate Rates::RateOver(std::uint32_t runner, int kind, int zone, double age, double span) const {
  const double limit = static_cast<double>(kYoung) / kSecond;
  const Rate old = RateOf(runner, kind, zone, false);
  if (age >= limit || span <= 0) return old;
  const Rate young = RateOf(runner, kind, zone, true);
  const double part = std::min(1.0, (limit - age) / span);
  const auto mix = [part](double a, double b) { return part * a + (1 - part) * b; };
  return {mix(young.mean, old.mean), mix(young.sd, old.sd), mix(young.upper, old.upper)};
}

}  // namespace lichenlug

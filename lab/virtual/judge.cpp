#include "lab/virtual/judge.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lichenlug::lab {
namespace {

constexpr int kBins = 120;
constexpr double kMinMs = 0.1, kMaxMs = 100'000;
constexpr std::size_t kWindowSeconds = 10;
// Weights of the parts of G, the same as in the goal of the registry.
constexpr double kWholeWeight = 0.45, kWorstClassWeight = 0.4, kWorstTenantWeight = 0.1,
                 kWorstWindowWeight = 0.05;

template <typename H>
double Quantile(const H& h, double q) {
  double total = 0, sum = 0;
  for (int bin = 0; bin < h.axis().size(); ++bin) total += h.at(bin);
  for (int bin = 0; bin < h.axis().size(); ++bin)
    if (total > 0 && (sum += h.at(bin)) >= q * total) return h.axis().bin(bin).upper();
  return 0;
}

}  // namespace

ScoreKeeper::ScoreKeeper(const Day& day)
    : day_(day), by_class_(day.site.classes.size()), by_tenant_(day.site.tenants.size()) {
  for (std::size_t i = 0; i < day.site.classes.size(); ++i)
    latency_.push_back(boost::histogram::make_histogram(Axis(kBins, kMinMs, kMaxMs)));
}

ScoreKeeper::Second& ScoreKeeper::At(Time now) {
  const std::size_t second = static_cast<std::size_t>(std::max<Time>(now, 0) / kSecond);
  if (second >= seconds_.size()) seconds_.resize(second + 1);
  return seconds_[second];
}

double ScoreKeeper::WorthOf(const JobSpec& job, bool over_share) const {
  return day_.site.classes[job.cls].worth * (over_share ? day_.site.over_share_worth : 1) * job.slots *
         job.work / kSecond;
}

Time ScoreKeeper::AimOf(const JobSpec& job) const {
  const ClassModel& cls = day_.site.classes[job.cls];
  return std::min(cls.aim + static_cast<Time>(cls.stretch * job.work), cls.deadline);
}

void ScoreKeeper::Offered(const JobSpec& job, bool over_share) {
  ++jobs_;
  const double worth = WorthOf(job, over_share);
  At(job.at).offered += worth;
  by_class_[job.cls].offered += worth;
  if (job.tenant >= 0 && !over_share) by_tenant_[job.tenant].offered += worth;
}

void ScoreKeeper::Ended(const JobSpec& job, bool over_share, JobEnd end, Time latency) {
  ++ends_[static_cast<std::size_t>(end)];
  Second& second = At(job.at);
  double gained = 0;
  if (end == JobEnd::kServed) {
    const bool late = latency > AimOf(job);
    gained = WorthOf(job, over_share) * (late ? day_.site.classes[job.cls].late_worth : 1);
    latency_[job.cls](std::max(latency / 1000.0, kMinMs));
    ++second.served, second.late += late;
  }
  second.refused += end == JobEnd::kRefused;
  second.failed += end == JobEnd::kFailed || end == JobEnd::kTooLate;
  second.gained += gained;
  by_class_[job.cls].gained += gained;
  if (job.tenant >= 0 && !over_share) by_tenant_[job.tenant].gained += gained;
}

void ScoreKeeper::LoadOf(Time now, const std::vector<double>& used) { At(now).load = used; }

ScoreKeeper::Result ScoreKeeper::result() const {
  Result score;
  Sum whole;
  score.worst_window = score.worst_class = score.worst_tenant = 1;
  for (std::size_t i = 1; i < seconds_.size(); ++i)  // skips second 0
    whole.offered += seconds_[i].offered, whole.gained += seconds_[i].gained;
  for (std::size_t i = 1; i + kWindowSeconds <= static_cast<std::size_t>(day_.length / kSecond); ++i) {
    Sum window;
    for (std::size_t j = i; j < std::min(i + kWindowSeconds, seconds_.size()); ++j)
      window.offered += seconds_[j].offered, window.gained += seconds_[j].gained;
    score.worst_window = std::min(score.worst_window, window.share());
  }
  for (const Sum& s : by_class_) score.worst_class = std::min(score.worst_class, s.share());
  for (const Sum& s : by_tenant_) score.worst_tenant = std::min(score.worst_tenant, s.share());
  score.whole = whole.share();
  score.g = kWholeWeight * score.whole + kWorstClassWeight * score.worst_class +
            kWorstTenantWeight * score.worst_tenant + kWorstWindowWeight * score.worst_window;
  if (jobs_ > 0 && day_.site.zones.size() > 1)
    score.g -= day_.site.fee_cross_zone * static_cast<double>(cross_zone_) / static_cast<double>(jobs_);
  return score;
}

nlohmann::json ScoreKeeper::ToJson() const {
  nlohmann::json out;
  const Result score = result();
  out["g"] = score.g, out["whole"] = score.whole, out["worst_window"] = score.worst_window;
  out["worst_class"] = score.worst_class, out["worst_tenant"] = score.worst_tenant;
  out["jobs"] = jobs_, out["served"] = ends_[0], out["refused"] = ends_[1];
  out["failed"] = ends_[2] + ends_[3];
  out["attempts_per_job"] = jobs_ > 0 ? static_cast<double>(attempts_) / jobs_ : 0;
  out["cross_zone_per_job"] = jobs_ > 0 ? static_cast<double>(cross_zone_) / jobs_ : 0;
  for (std::size_t c = 0; c < by_class_.size(); ++c) {
    nlohmann::json cls = {{"name", day_.site.classes[c].name}, {"share", by_class_[c].share()}};
    for (double q : {0.5, 0.9, 0.99, 0.999}) cls["latency_ms"].push_back(Quantile(latency_[c], q));
    nlohmann::json& bins = cls["cdf"] = nlohmann::json::array();  // [ms, jobs up to it]
    double sum = 0;
    for (int bin = 0; bin < latency_[c].axis().size(); ++bin) {
      const double jobs = latency_[c].at(bin);
      if (jobs > 0) bins.push_back({latency_[c].axis().bin(bin).upper(), sum += jobs});
    }
    out["classes"].push_back(std::move(cls));
  }
  for (std::size_t tenant = 0; tenant < by_tenant_.size(); ++tenant)
    out["tenants"].push_back({{"name", day_.site.tenants[tenant].name},
                              {"share", by_tenant_[tenant].share()},
                              {"offered", by_tenant_[tenant].offered},
                              {"gained", by_tenant_[tenant].gained}});
  nlohmann::json& seconds = out["seconds"] = nlohmann::json::array();
  for (const Second& s : seconds_)
    seconds.push_back({{"offered", s.offered},
                       {"gained", s.gained},
                       {"served", s.served},
                       {"refused", s.refused},
                       {"failed", s.failed},
                       {"late", s.late},
                       {"attempts", s.attempts},
                       {"load", s.load}});
  return out;
}

}  // namespace lichenlug::lab

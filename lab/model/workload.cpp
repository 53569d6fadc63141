#include "lab/model/workload.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::lab {
namespace {

constexpr double kSlotSizes[] = {1, 2, 4, 8};

std::vector<double> RunningSums(const std::vector<double>& shares) {
  std::vector<double> sums;
  double sum = 0;
  for (double share : shares) sums.push_back(sum += share);
  for (double& s : sums) s /= sum > 0 ? sum : 1;
  return sums;
}

std::size_t Pick(const std::vector<double>& sums, double u) {
  return std::min<std::size_t>(std::ranges::upper_bound(sums, u) - sums.begin(), sums.size() - 1);
}

}  // namespace

Workload::Workload(const Day& day, double capacity, std::uint64_t seed)
    : day_(day), times_(seed, 11), jobs_(seed, 12) {
  std::vector<double> shares;
  double mean_work = 0, sum = 0;
  for (const ClassModel& c : day.site.classes) {
    shares.push_back(c.share);
    slots_share_.push_back(RunningSums(c.slots));
    double slots = 0, weight = 0;
    for (std::size_t i = 0; i < c.slots.size(); ++i)
      slots += c.slots[i] * kSlotSizes[i], weight += c.slots[i];
    mean_work += c.share * c.work * (weight > 0 ? slots / weight : 1);
    sum += c.share;
  }
  class_share_ = RunningSums(shares);
  shares.clear();
  for (const TenantModel& t : day.site.tenants) shares.push_back(t.share * t.usage);
  tenant_share_ = RunningSums(shares);
  shares.clear();
  for (int k = 0; k < day.site.keys.count; ++k) shares.push_back(std::pow(k + 1, -day.site.keys.zipf));
  key_share_ = RunningSums(shares);
  base_rate_ = day.load * capacity * kSecond / (mean_work / sum);
}

double Workload::FaultFactor(FaultKind kind, Time now, double* part) const {
  double factor = 1;
  for (const Fault& f : day_.faults)
    if (f.kind == kind && f.Active(now)) {
      factor *= f.size;
      if (part != nullptr) *part = std::max(*part, f.part);
    }
  return factor;
}

double Workload::RateAt(Time now) {
  const ClientModel& c = day_.site.clients;
  if (now >= swing_until_) {
    swing_ = c.swing * (2 * times_.Uniform() - 1);
    swing_until_ = now + std::max<Time>(c.swing_period / 2, 1);
  }
  double rate = base_rate_ * (1 + swing_) * FaultFactor(FaultKind::kSurge, now, nullptr);
  if (now >= c.step_start && now < c.step_start + c.step_length) rate *= c.step;
  return std::max(rate, 1e-6);
}

std::uint64_t Workload::DrawKey() { return Pick(key_share_, jobs_.Uniform()); }

bool Workload::Next(JobSpec* job) {
  at_ += std::max<Time>(1, std::llround(times_.Exponential(kSecond / RateAt(at_))));
  if (at_ >= day_.length) return false;
  *job = {};
  job->number = number_++;
  job->at = at_;
  job->cls = static_cast<int>(Pick(class_share_, jobs_.Uniform()));
  const ClassModel& cls = day_.site.classes[job->cls];
  const double tenant = jobs_.Uniform(), slots = jobs_.Uniform(), tail = jobs_.Uniform(),
               hot = jobs_.Uniform();
  if (!tenant_share_.empty()) job->tenant = static_cast<int>(Pick(tenant_share_, tenant));
  job->slots = kSlotSizes[Pick(slots_share_[job->cls], slots)];
  job->key = DrawKey();
  double hot_share = 0;
  for (const Fault& f : day_.faults)
    if (f.kind == FaultKind::kHotKey && f.Active(at_)) hot_share += f.size;
  if (hot < hot_share) job->key = 0x686f74;
  const double mean = static_cast<double>(cls.work);
  switch (cls.spread) {
    case ClassModel::Spread::kFixed:
      job->work = mean;
      break;
    case ClassModel::Spread::kExponential:
      job->work = jobs_.Exponential(mean);
      break;
    case ClassModel::Spread::kLognormal:
      job->work = jobs_.Lognormal(mean, cls.cv);
      break;
  }
  double tail_part = 0;
  const double larger = FaultFactor(FaultKind::kHeavyTail, at_, &tail_part);
  if (tail < tail_part) job->work *= larger;
  job->effort = std::llround(job->work * job->slots * jobs_.Lognormal(1, 0.3));
  job->seed = jobs_.Bits();
  return true;
}

}  // namespace lichenlug::lab

// Demand of a key, in slots: arrival rate x slots x run time.
#pragma once

#include "decisions/ring.h"

namespace rookgw::internal {

class Demand : public Ring {
 protected:
  using Ring::Ring;

  // Counts an arrival and returns the key's demand in slots. The rate excludes the arrival itself: sampled at
  // arrivals, a count that includes it is biased high.
  double RecordArrival(const Request& r) {
    if (keys_.size() >= kMaxKeys) EvictKeys();
    Key& key = keys_[r.hash];
    if (key.seen != 0) key.count *= std::exp(-static_cast<double>(now_ - key.seen) / kRateDecay);
    key.seen = now_;
    return DemandAt(key.count++, r);
  }

  double DemandOf(const Request& r) { return DemandAt(keys_[r.hash].count, r); }

  double DemandAt(double count, const Request& r) const {
    return count / kRateDecay * SharingNodes() * r.slots * RunTime(r.cls);
  }

  // Number of nodes that use the same sets, assuming their traffic is like this node's.
  double SharingNodes() const {
    if (!HasSlotReports()) return 1;
    return std::max(1.0, static_cast<double>(s_.instances) / (Zonal() ? s_.zones.size() : 1));
  }

  // Cross-zone requests have a fee, so workers of this node's zone are preferred.
  bool Zonal() const { return s_.fee_cross_zone > 0 && s_.my_zone != kNone && !s_.zones.empty(); }

  // Mean run time of the class, or of all classes while it has too few samples.
  double RunTime(int cls) const {
    return run_times_[cls].weight >= 5 ? std::max<double>(kMs, run_times_[cls].value) : MeanRun();
  }

  // Run time on this machine kind relative to all kinds; a ratio, since longer runs affect all kinds.
  double Slowness(const Worker& w) const {
    if (w.kind == kNone || kind_slowness_[w.kind].weight < 20) return 1;
    return std::clamp(kind_slowness_[w.kind].value / std::max(slowness_.value, 1e-9), 0.25, 4.0);
  }

  double MeanRun() const {
    return std::max<double>(kMs, all_run_times_.weight > 0 ? all_run_times_.value : s_.classes[0].aim);
  }

  void EvictKeys() {
    for (Time age = kRateDecay; keys_.size() >= kMaxKeys; age /= 2)
      std::erase_if(keys_, [&](const auto& entry) { return now_ - entry.second.seen >= age; });
  }

  std::unordered_map<std::uint64_t, Key> keys_;  // iterated only to evict the oldest
  std::vector<Mean> run_times_ = std::vector<Mean>(s_.classes.size());
  std::vector<Mean> kind_slowness_ = std::vector<Mean>(s_.kinds.size());
  Mean all_run_times_, slowness_;
  RateMeter arrivals_{kRateDecay};
};

}  // namespace rookgw::internal

// The recent demand for each model and adapter, which placement acts on. Bounded in size.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/estimators.h"
#include "routing/decisions.h"

namespace lichenlug::routing {

struct DemandKey {
  std::string service, model, adapter;
  auto operator<=>(const DemandKey&) const = default;
};

class DemandTable {
 public:
  explicit DemandTable(std::size_t max_keys) : max_keys_(max_keys) {}

  void CountArrival(Time now, const DemandKey& key);
  void CountUnserved(Time now, const DemandKey& key);  // no ready runner holds it
  void ChangeRunning(const DemandKey& key, int change);

  // Whether a key became unserved, for the first time recently, since the last call.
  bool TakeNewlyUnserved() { return std::exchange(newly_unserved_, false); }

  std::vector<Decisions::Demand> Recent(Time now) const;

 private:
  struct Entry {
    Entry();
    RateMeter arrivals, unserved;
    Time seen = 0, reported_unserved = 0;
    int running = 0;
  };

  Entry& Touch(Time now, const DemandKey& key);
  void EvictOldest();

  std::size_t max_keys_;
  bool newly_unserved_ = false;
  std::map<DemandKey, Entry> entries_;
};

}  // namespace lichenlug::routing

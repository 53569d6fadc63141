// Demand by model and adapter: the sum of the latest reports of all dispatchers. Running requests rise at
// once and decay slowly, so that a short pause in traffic causes no changes of placement.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"
#include "placement/catalog.h"

namespace lichenlug::placement {

// Arrivals per second above which losing a model's only copy costs more than holding a second one.
inline constexpr double kSecondCopyArrivalsPerS = 3;

struct Demand {
  double arrivals_per_s = 0;
  double running = 0;  // smoothed
  double unserved = 0;
  Time last_requested = 0;
  Time requested_since = 0;  // start of the current period of demand

  bool present() const { return running > 0.5 || arrivals_per_s > 0.02 || unserved > 0; }
};

class DemandTable {
 public:
  void Update(Time now, const std::string& service, const std::vector<messages::DemandReport>& reports,
              const Catalog& catalog);

  // Requests without an adapter are under the key of the model itself.
  const std::map<Key, Demand>& keys() const { return keys_; }
  const Demand& Of(const Key& key) const;
  // Total of a model, including all its adapters.
  const Demand& OfModel(const std::string& model) const;
  const std::map<std::string, Demand>& models() const { return models_; }
  double running() const;

 private:
  struct Source {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    Time last_changed = 0;
    Time last_seen = 0;
  };
  bool IsFresh(Time now, const messages::DemandReport& report);

  std::map<std::string, Source> sources_;  // by dispatcher
  std::map<Key, Demand> keys_;
  std::map<std::string, Demand> models_;
  Time updated_ = 0;
};

}  // namespace lichenlug::placement

// What is asked for, by model and adapter: the sum of the newest reports of all dispatchers. Rises are taken
// at once, falls slowly, so that a pause moves nothing.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"
#include "placement/catalog.h"

namespace lichenlug::placement {

// A second, from which the loss of a model's only copy costs more than another copy does.
inline constexpr double kSafeArrivals = 3;

struct Demand {
  double arrivals_per_s = 0;
  double running = 0;  // smoothed
  double unserved = 0;
  Time last_asked = 0;
  Time asked_since = 0;  // of the present stretch of demand

  bool present() const { return running > 0.5 || arrivals_per_s > 0.02 || unserved > 0; }
};

class DemandTable {
 public:
  void Update(Time now, const std::string& service, const std::vector<messages::DemandReport>& reports,
              const Catalog& catalog);

  const std::map<Key, Demand>& keys() const { return keys_; }  // models without an adapter, and adapters
  const Demand& Of(const Key& key) const;
  // Of a model with all its adapters.
  const Demand& OfModel(const std::string& model) const;
  const std::map<std::string, Demand>& models() const { return models_; }
  double running() const;

 private:
  struct Source {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    Time changed = 0;
    Time seen = 0;
  };
  bool Fresh(Time now, const messages::DemandReport& report);

  std::map<std::string, Source> sources_;  // by dispatcher
  std::map<Key, Demand> keys_;
  std::map<std::string, Demand> models_;
  Time updated_ = 0;
};

}  // namespace lichenlug::placement

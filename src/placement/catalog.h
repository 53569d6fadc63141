// The models that a service offers and the capacity of its runners, from the configuration.
#pragma once

#include <map>
#include <string>

#include "base/clock.h"
#include "messages/generated/configuration.pb.h"
#include "placement/held_set.h"

namespace lichenlug::placement {

class Catalog {
 public:
  struct Model {
    double weights_mb = 0;
    double adapter_mb = 0;
    Time load_time = 0;
    int adapters = 0;
  };

  void Assign(const messages::Engine& engine);

  bool Contains(const Key& key) const;  // may appear in an order
  const Model* Find(const std::string& model) const;
  double MegabytesOf(const Key& key) const;
  double MegabytesOf(const HeldSet& held) const;
  // Whether a runner that holds at most `held` has the capacity to load the key.
  bool Fits(HeldSet held, const Key& key) const;
  Time LoadTime(const Key& key) const;

  double capacity_mb() const { return capacity_mb_; }
  int adapter_slots() const { return adapter_slots_; }
  int slots() const { return slots_; }
  double loads_per_s() const { return loads_per_s_; }
  const std::map<std::string, Model>& models() const { return models_; }

 private:
  std::map<std::string, Model> models_;
  double capacity_mb_ = 0;
  int adapter_slots_ = 0;
  int slots_ = 1;
  double loads_per_s_ = 0;
};

}  // namespace lichenlug::placement

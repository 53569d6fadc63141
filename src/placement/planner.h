// Decides what ready runners are to hold beside what they hold: a model or adapter that is asked for and
// stands nowhere first, then copies that follow demand. A copy goes only where its room is needed for another
// one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "placement/eviction.h"

namespace lichenlug::placement {

struct Assignment {
  std::size_t runner = 0;  // of the view
  Intent intent;
};

class Planner {
 public:
  explicit Planner(std::uint64_t seed) : seed_(seed) {}

  // Keys that a runner refused as invalid are left out until then.
  void Refuse(const Key& key, Time until);

  std::vector<Assignment> Plan(PlanContext context);
  const std::map<Key, Time>& placed() const { return placed_; }

  // How many runners were wanted for each key at the last plan, and what hinders, for the operator.
  struct Wish {
    std::size_t copies = 0;
    Urgency urgency = Urgency::kAsked;
    double max_fill = 0;  // of a runner that is worth a copy: its load over its slots
    const char* hindrance = "";
    bool flooded = false;  // more requests than its runners have slots for
  };
  const std::map<Key, Wish>& wishes() const { return wishes_; }

 private:
  struct Pass {
    const PlanContext* context;
    std::vector<Assignment>* assignments;
    std::size_t optional_left;  // copies that aren't urgent, in work at once
    int* loads_left;            // of models: one that has to wait would keep its runner from adapters
  };
  bool Refused(Time now, const Key& key) const;
  bool Place(const Pass& pass, const Key& key, Urgency urgency, double max_fill);
  double CostOf(const PlanContext& context, const RunnerView& runner, const Key& key,
                double victims_cost) const;
  Wish WishFor(const PlanContext& context, const Key& key, const Demand& demand, double fill) const;
  bool Ripe(Time now, const Key& key, const Wish& wish, std::size_t copies);
  void NoteCrowded(const PlanContext& context);
  // Only what is worth so much at least.
  void PlaceMissing(const Pass& pass, double min_worth);
  void Prefetch(Pass* pass);
  void PlaceCopies(Pass* pass, double min_worth);

  std::uint64_t seed_;
  std::map<Key, Wish> wishes_;
  std::map<Key, Time> short_since_;  // of copies
  std::map<Key, Time> refused_;
  std::map<Key, Time> placed_;                  // what stood nowhere, when it was last assigned
  std::map<std::string, std::size_t> crowded_;  // by model: the copies that its adapters in demand need
};

}  // namespace lichenlug::placement

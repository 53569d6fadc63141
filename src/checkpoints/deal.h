// Allocates saves a second among jobs: by expected gain within a tenant, and by max-min fairness between
// tenants when demand exceeds the limit.
//
// Unconstrained demand is the choice at a price of zero. Where its sum exceeds the limit, each tenant gets
// its demand up to a common level (max-min), and within a tenant a save has a price, the same for each job,
// at which the demand of its jobs matches its allocation: the jobs that gain least save less (the Lagrangian
// of the sum of losses).
//
// A tenant's level doesn't grow with its number of jobs; otherwise a tenant with a thousand jobs would leave
// the others no saves. Any excess that remains at the price found is scaled off proportionally, so that
// rounding can't take the sum above the limit.
#pragma once

#include <string>
#include <vector>

#include "checkpoints/choice.h"

namespace lichenlug {

struct Wish {
  std::string tenant;
  Job job;
  // Set by Deal.
  double unconstrained = 0;  // saves a second that it would make at a price of zero
  double given = 0;          // saves a second allocated
};

struct DealResult {
  double wanted = 0, given = 0;  // saves a second in total
  double gain = 0;               // marginal worth of a save a second, where it is highest
};

DealResult Deal(std::vector<Wish>* wishes, double allowed);

}  // namespace lichenlug

// Deals saves a second among jobs: by expected gain within a tenant, alike between tenants that want more
// than there is.
//
// What is free to all is the choice at a price of zero. Where that is over what there is, each tenant gets
// what it wants up to a level that all share (max-min), and within a tenant a save costs a price, the same
// for each job, at which its jobs want what it has: the jobs that gain least save less (the Lagrangian of the
// sum of losses).
//
// Guards against a tenant with a thousand jobs that leaves the others no save: its level does not grow with
// its jobs. And against the sum being passed by rounding: what the price leaves over is taken off by the same
// part.
#pragma once

#include <string>
#include <vector>

#include "checkpoints/choice.h"

namespace lichenlug {

struct Wish {
  std::string tenant;
  Job job;
  // Filled in.
  double free = 0;   // saves a second that it would make at no price
  double given = 0;  // saves a second
};

struct Dealt {
  double wanted = 0, given = 0;  // saves a second, in all
  double gain = 0;               // worth of one save a second more, where it is wanted most
};

Dealt Deal(std::vector<Wish>* wishes, double allowed);

}  // namespace lichenlug

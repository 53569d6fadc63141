// What plays the part of a dispatcher's decisions in the laboratory: the module itself, an older build of it
// behind the simulator's wire, or a plain rival. All have the interface of rookgw::Scheduler.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rookgw/brain.h"

namespace lichenlug::lab {

class Policy {
 public:
  virtual ~Policy() = default;
  virtual void Start(rookgw::Time now, std::vector<rookgw::Action>* actions) = 0;
  virtual void Handle(rookgw::Time now, const rookgw::Event& event, std::vector<rookgw::Action>* actions) = 0;
};

// What is true of the boxes at this moment; only the oracle is given it.
class Truth {
 public:
  virtual ~Truth() = default;
  // In how many microseconds this job would end at this box, its key fetched where that is needed; a very
  // large number where it would not.
  virtual double EndAt(const std::string& box, rookgw::RequestId job) const = 0;
  virtual double WorkOf(rookgw::RequestId job) const = 0;  // core time at speed 1, a slot
};

struct PolicyInputs {
  rookgw::Settings settings;
  std::uint64_t seed = 1;
  const Truth* truth = nullptr;
};

// `name`: module, random, round-robin, least-outstanding, two-choices, least-reported, join-idle, oracle. The
// name broken-N is the module with rule N broken on
// purpose, wire:COMMAND what that command decides on the simulator's wire. Throws std::invalid_argument
// naming those known.
std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyInputs inputs);

const std::vector<std::string>& PolicyNames();

}  // namespace lichenlug::lab

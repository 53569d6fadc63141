// The runner's Priority header for each precedence of a configuration.
#pragma once

#include <vector>

#include "messages/generated/configuration.pb.h"

namespace lichenlug::routing {

class PriorityScale {
 public:
  PriorityScale() = default;
  explicit PriorityScale(const messages::Configuration& configuration);

  // 0 (first) to 8; more urgent precedences never get a higher number than less urgent ones.
  int PriorityOf(int precedence) const;
  // Of a request whose objective has passed: it comes after all that may still be in time.
  static constexpr int kLate = 9;

 private:
  std::vector<int> precedences_;  // combined ones that can come up, most urgent first
};

}  // namespace lichenlug::routing

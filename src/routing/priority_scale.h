// Maps each precedence of a configuration to a value of the Priority header that is sent to runners.
#pragma once

#include <vector>

#include "messages/generated/configuration.pb.h"

namespace lichenlug::routing {

class PriorityScale {
 public:
  PriorityScale() = default;
  explicit PriorityScale(const messages::Configuration& configuration);

  // 0 (most urgent) to 8; a more urgent precedence never gets a higher number than a less urgent one.
  int PriorityOf(int precedence) const;
  // For a request whose objective has passed: it is served after all that may still be in time.
  static constexpr int kLate = 9;

 private:
  std::vector<int> precedences_;  // all combined precedences that can occur, most urgent first
};

}  // namespace lichenlug::routing

// Records the sums and failures that Holdings reports, for the tests of src/peers.
#pragma once

#include <map>
#include <string>

#include "peers/slot_totals.h"

namespace lichenlug {

struct RecordingObserver : HoldingsObserver {
  std::map<std::string, int> held;
  int failing = 0;
  void Held(const std::string& runner, int slots) override { held[runner] = slots; }
  void Failing(const std::string&, int) override { ++failing; }
};

}  // namespace lichenlug

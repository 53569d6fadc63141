// A detector of failures as the laboratory plays it: the program's own and its rivals behind one interface.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/tier.h"

namespace lichenlug::lab {

class Detector : public PeerProtocol {
 public:
  virtual void Beat(Time now) = 0;   // each turn of the process's loop, and at least each 100 ms
  virtual void Leave(Time now) = 0;  // the process ends soon: farewells
  virtual const TierView& View() const = 0;
  // What was sent to this peer came to an address where no process listens. The published rivals use only
  // silence.
  virtual void Refused(int, Time) {}
};

struct Seat {
  int number = 0, tier = 1, zone = -1;
  std::uint64_t life = 0;  // Unix microseconds of this start
  std::uint64_t seed = 0;  // of the detector's own draws
};

using MakeDetector = std::function<std::unique_ptr<Detector>(const Seat&, Time now)>;

// The names in the order of the tables. DetectorNamed throws std::invalid_argument that lists them.
std::vector<std::string> DetectorNames();
MakeDetector DetectorNamed(const std::string& name);

}  // namespace lichenlug::lab

#include <stdexcept>
#include <utility>

#include "lab/membership/detector.h"
#include "lab/membership/heartbeat.h"
#include "lab/membership/phi.h"
#include "lab/membership/swim.h"

namespace lichenlug::lab {
namespace {

template <typename Rival>
MakeDetector With(const typename Rival::Settings& settings) {
  return [settings](const Seat& seat, Time now) { return std::make_unique<Rival>(settings, seat, now); };
}

Swim::Settings Lifeguard() {
  Swim::Settings settings;
  settings.lifeguard = true;
  return settings;
}

std::vector<std::pair<std::string, MakeDetector>> All() {
  return {{"heartbeat", With<Heartbeat>({})},
          {"swim", With<Swim>({})},
          {"lifeguard", With<Swim>(Lifeguard())},
          {"phi", With<Phi>({})}};
}

}  // namespace

std::vector<std::string> DetectorNames() {
  std::vector<std::string> names;
  for (const auto& [name, make] : All()) names.push_back(name);
  return names;
}

MakeDetector DetectorNamed(const std::string& name) {
  std::string known;
  for (const auto& [detector, make] : All()) {
    if (detector == name) return make;
    known += (known.empty() ? "" : ", ") + detector;
  }
  throw std::invalid_argument("no detector " + name + "; there are " + known);
}

}  // namespace lichenlug::lab

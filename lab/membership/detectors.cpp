#include <stdexcept>
#include <utility>

#include "lab/membership/detector.h"
#include "lab/membership/heartbeat.h"
#include "lab/membership/phi.h"
#include "lab/membership/swim.h"
#include "peers/membership.h"

namespace lichenlug::lab {
namespace {

template <typename Rival>
MakeDetector With(const typename Rival::Settings& settings) {
  return [settings](const Seat& seat, Time now) { return std::make_unique<Rival>(settings, seat, now); };
}

// The program's own, which knows its zone.
class Own : public Detector {
 public:
  Own(const Seat& seat, Time now) : part_({seat.number, seat.tier, seat.zone}, seat.life, seat.seed, now) {}

  Time DueAt() const override { return part_.DueAt(); }
  std::vector<Datagram> MakeDatagrams(Time now) override { return part_.MakeDatagrams(now); }
  bool HandleMessage(int peer, std::string_view body, Time now) override {
    return part_.HandleMessage(peer, body, now);
  }
  void Beat(Time now) override { part_.Beat(now); }
  void Leave(Time now) override { part_.Leave(now); }
  const TierView& View() const override { return part_.View(); }
  void Refused(int peer, Time now) override { part_.Refused(peer, now); }

 private:
  Membership part_;
};

Swim::Settings Lifeguard() {
  Swim::Settings settings;
  settings.lifeguard = true;
  return settings;
}

std::vector<std::pair<std::string, MakeDetector>> All() {
  return {{"heartbeat", With<Heartbeat>({})},
          {"swim", With<Swim>({})},
          {"lifeguard", With<Swim>(Lifeguard())},
          {"phi", With<Phi>({})},
          {"membership", [](const Seat& seat, Time now) { return std::make_unique<Own>(seat, now); }}};
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

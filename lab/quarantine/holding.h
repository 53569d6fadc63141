// The ways to hold jobs back that are compared: one object for all dispatchers of a day, each asked by
// number.
#pragma once

#include <functional>
#include <memory>

#include "lab/quarantine/day.h"
#include "quarantine/quarantine.h"

namespace lichenlug::lab {

struct Asked {
  enum class What { kRun, kLater, kFinal } what = What::kRun;
  Time after = 0;
  int at = -1;  // where to try again; below 0: anywhere
};

class HoldingBack {
 public:
  virtual ~HoldingBack() = default;
  virtual int attempts() const = 0;  // of one transaction
  virtual int hand_ins() const = 0;  // of one client
  virtual Asked Ask(int dispatcher, const Job& job, Time now) = 0;
  virtual void Began(int, const Job&, Time) {}
  virtual void Ended(int dispatcher, const Job& job, const Runner& runner, Outcome outcome, Time now) = 0;
  // Sends what is due at a dispatcher; gives when it is due again, 0: never.
  virtual Time MakeDatagrams(int, Time, const std::function<void(int, const std::string&)>&) { return 0; }
  virtual Time DueAt(int) const { return 0; }
  virtual void HandleMessage(int, int, const std::string&, Time) {}
  virtual std::vector<Fingerprint> Condemned(Time) const { return {}; }
};

std::unique_ptr<HoldingBack> MakeHolding(const PoisonDay& day, Time now);

}  // namespace lichenlug::lab

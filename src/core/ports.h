// What the core asks of the stages round it. Nothing here knows how clients or runners are spoken to, so that
// another front can send its jobs through the same decisions and rules.
#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/slots.h"
#include "rookgw/brain.h"

namespace lichenlug {

// What a runner gets unchanged. The core hands it on and reads nothing of it.
struct Job {
  std::string call_id, target, body, idempotency_key, content_type;
};

struct BranchRef {  // the attempt of this number of a transaction
  Handle transaction;
  int number = 0;
};

struct FinalAnswer {
  enum class Kind { kServed, kBusy, kFailed, kTooLate };
  Kind kind = Kind::kFailed;
  std::string result;  // served: what a runner made
  Time come_back = 0;  // busy: when the client had best try again; 0: no advice
};

// The front that a transaction came by.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void Answer(Handle leg, const FinalAnswer& answer) = 0;
  virtual bool Gone(Handle leg) = 0;  // as the system knows it now, before the event that tells of it
};

// The way to the runners. Outcomes come back through TransactionTable::BranchEnded and ProbeEnded.
class BranchPort {
 public:
  virtual ~BranchPort() = default;
  virtual Handle Open(BranchRef ref, std::shared_ptr<const Job> job, const std::string& runner,
                      Time deadline) = 0;
  virtual void GiveUp(Handle branch) = 0;
  virtual void Probe(const std::string& runner) = 0;
};

// Takes runners' call-backs, by whichever front they come in.
class CallBackPort {
 public:
  virtual ~CallBackPort() = default;
  // False: it is malformed. One for a branch that is not held is well-formed and changes nothing.
  virtual bool CallBack(const std::string& body) = 0;
};

// Hears what this dispatcher has out, so that others can be told.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  virtual void Hold(const std::string& runner, double slots) = 0;  // so many more; fewer where negative
  virtual void Failed(const std::string& runner, int cls) = 0;     // a job of this class
};

class DiscoveryPort {
 public:
  virtual ~DiscoveryPort() = default;
  virtual void Ask() = 0;
};

}  // namespace lichenlug

// The interfaces between the core and the stages around it. They are independent of the protocols that
// clients and runners use, so that another front end can pass its jobs through the same decisions and rules.
#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/slots.h"
#include "rookgw/brain.h"

namespace lichenlug {

// The part of a request that is forwarded to a runner unchanged. The core doesn't interpret it.
struct Job {
  std::string call_id, target, body, idempotency_key, content_type;
};

struct BranchRef {  // identifies an attempt: a client request and the attempt's number within it
  Handle transaction;
  int number = 0;
};

struct FinalAnswer {
  enum class Kind { kServed, kBusy, kFailed, kTooLate };
  Kind kind = Kind::kFailed;
  std::string result;  // kServed: the runner's result
  Time come_back = 0;  // kBusy: when the client should retry; 0: no advice
};

// The front end that a client request arrived through.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void Answer(Handle leg, const FinalAnswer& answer) = 0;
  // Whether the client has disconnected. Checks the socket itself, so it doesn't depend on the event having
  // been handled.
  virtual bool Gone(Handle leg) = 0;
};

// Sends attempts and probes to runners. Outcomes are reported through TransactionTable::BranchEnded and
// ProbeEnded.
class BranchPort {
 public:
  virtual ~BranchPort() = default;
  virtual Handle Open(BranchRef ref, std::shared_ptr<const Job> job, const std::string& runner,
                      Time deadline) = 0;
  virtual void GiveUp(Handle branch) = 0;
  virtual void Probe(const std::string& runner) = 0;
};

// Receives runners' callbacks, from any front end.
class CallBackPort {
 public:
  virtual ~CallBackPort() = default;
  // Returns false if the callback is malformed. A well-formed callback for an unknown attempt is ignored.
  virtual bool CallBack(const std::string& body) = 0;
};

// Receives this dispatcher's use of runners, to share it with the other dispatchers.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  virtual void Hold(const std::string& runner, double slots) = 0;  // change in the slots held at the runner
  virtual void Failed(const std::string& runner, int cls) = 0;     // a job of this class failed there
};

class DiscoveryPort {
 public:
  virtual ~DiscoveryPort() = default;
  virtual void Ask() = 0;
};

}  // namespace lichenlug

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

struct AttemptRef {  // identifies an attempt: a client request and the attempt's number within it
  Handle request;
  int number = 0;
};

struct FinalAnswer {
  enum class Kind { kServed, kRefused, kFailed, kDeadlineExceeded };
  Kind kind = Kind::kFailed;
  std::string result;  // kServed: the runner's result
  Time retry_at = 0;   // kRefused: when the client should retry; 0: no advice
};

// The front end that a client request arrived through.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual void Answer(Handle client, const FinalAnswer& answer) = 0;
  // Whether the client has disconnected. Checks the socket itself, so it doesn't depend on the event having
  // been handled.
  virtual bool IsDisconnected(Handle client) = 0;
};

// Sends attempts and probes to runners. Outcomes are reported through RequestTable::AttemptFinished and
// ProbeEnded.
class RunnerPort {
 public:
  virtual ~RunnerPort() = default;
  virtual Handle StartAttempt(AttemptRef ref, std::shared_ptr<const Job> job, const std::string& runner,
                              Time deadline) = 0;
  virtual void Cancel(Handle attempt) = 0;
  virtual void Probe(const std::string& runner) = 0;
};

// Receives runners' callbacks, from any front end.
class CallbackPort {
 public:
  virtual ~CallbackPort() = default;
  // Returns false if the callback is malformed. A well-formed callback for an unknown attempt is ignored.
  virtual bool HandleCallback(const std::string& body) = 0;
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
  virtual void RequestList() = 0;
};

}  // namespace lichenlug

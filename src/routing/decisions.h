// The decision module (rookgw::Scheduler) at work in the system: one a service, fed with arrivals, what the
// data plane sees of its exchanges with runners, and the table of runners; only runners that hold a request's
// model and adapter are eligible. Also the retry budget. Events in, decisions out; no I/O, no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "routing/router.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

using RequestNumber = std::uint64_t;  // unique within a life of the process

struct Arrival {
  RequestNumber request = 0;
  std::string service;
  std::string route;
  std::string tenant;
  std::string model;                      // empty: the service has no engine
  std::string adapter;                    // empty: none
  std::vector<std::string> prompt_parts;  // ids of the shared parts, in order
  double prompt_tokens = 0;
  double output_tokens = 0;  // at most
  RouteKind kind = RouteKind::kUnsafe;
  bool repeatable = false;
  bool came_back = false;  // its client was refused before, as far as can be told
  bool late = false;       // so long ago that the objective has passed since its first try
  int precedence = 0;
  int tries = 1;
  Time objective = 0;  // span until the answer, or a stream's first event, loses worth
  Time deadline = 0;   // point on the caller's clock
};

struct StartAttempt {
  RequestNumber request = 0;
  int attempt = 0;
  std::string runner_id;
  std::string address;
  int priority = 5;  // the runner's Priority header, 0 first
};
struct Refuse {  // final: it has not run; 503 with Retry-After
  RequestNumber request = 0;
  Time retry_after = 0;
};
struct Fail {  // final: promises nothing; 502, or 504 past the deadline
  RequestNumber request = 0;
};
struct CancelAttempt {
  RequestNumber request = 0;
  int attempt = 0;
};
using Decision = std::variant<StartAttempt, Refuse, Fail, CancelAttempt>;

enum class AttemptOutcome {
  kServed,         // a whole answer, not with an error of the runner
  kServerError,    // a whole answer with status 5xx of the runner: it has run
  kNotRun,         // the runner says so: full, leaving, another runner, model not there
  kModelMissing,   // 421 for its model: what was known of the runner was old
  kWrongRunner,    // 421 as another runner lives at the address
  kConnectFailed,  // nothing was sent
  kBroken,         // cut, reset or nonsense after the request was written: it may have run
  kTimeout,
  kCancelled,
};

std::string_view ToText(AttemptOutcome outcome);  // for logs

class Decisions {
 public:
  Decisions(Time now, std::uint64_t seed);
  ~Decisions();

  void Install(Time now, std::shared_ptr<const Snapshot> snapshot, std::vector<Decision>* decisions);
  void Arrived(Time now, const Arrival& arrival, std::vector<Decision>* decisions);
  void FirstEvent(Time now, RequestNumber request, int attempt);  // the runner has begun to answer
  // Tells how an attempt ended. `final`: the data plane needs no further attempt (answered, or the client got
  // bytes that can't be gone on with); else the module decides on another one, within tries and the retry
  // budget.
  void AttemptEnded(Time now, RequestNumber request, int attempt, AttemptOutcome outcome, bool final,
                    std::vector<Decision>* decisions);
  void Gone(Time now, RequestNumber request, std::vector<Decision>* decisions);  // the client has left
  // Whether another runner may take the place of one that breaks off now.
  bool MayReplace(Time now, RequestNumber request) const;
  void Tick(Time now, std::vector<Decision>* decisions);
  std::optional<Time> NextTimer() const;

  struct Demand {
    std::string service, model, adapter;
    double arrivals_per_s = 0, running = 0, unserved = 0;
  };
  std::vector<Demand> DemandNow(Time now) const;  // of models asked for of late
  // Whether a model or adapter was found not to be there since this was asked last: placement should hear of
  // it at once.
  bool TakeNewlyUnserved();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::routing

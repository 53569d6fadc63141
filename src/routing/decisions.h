// Connects the data plane to the decision modules (rookgw::Scheduler), one per service. Each module receives
// request arrivals, the outcomes of exchanges with runners that the data plane observes, and changes of the
// runner table. Only runners that hold a request's model and adapter are eligible. Retries are limited by
// the service's retry budget. Purely event-driven: no I/O and no clock.
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

using RequestNumber = std::uint64_t;  // unique within the lifetime of the process

struct Arrival {
  RequestNumber request = 0;
  std::string service;
  std::string route;
  std::string tenant;
  std::string model;                      // empty: the service has no engine
  std::string adapter;                    // empty: none
  std::vector<std::string> prompt_parts;  // ids of the prompt's parts, in order
  double prompt_tokens = 0;
  double output_tokens = 0;  // upper bound
  RouteKind kind = RouteKind::kUnsafe;
  bool repeatable = false;
  bool came_back = false;  // probably a retry by a client that was refused before
  bool late = false;       // a retry whose objective, counted from the client's first try, has passed
  int precedence = 0;
  int tries = 1;
  Time objective = 0;  // time to the answer, or to a stream's first event, after which it loses value
  Time deadline = 0;   // absolute, on the caller's clock
};

struct StartAttempt {
  RequestNumber request = 0;
  int attempt = 0;
  std::string runner_id;
  std::string address;
  int priority = 5;  // value of the Priority header sent to the runner; 0 is the most urgent
};
struct Refuse {  // final: the request has not run; 503 with Retry-After
  RequestNumber request = 0;
  Time retry_after = 0;
  int ready_holders = 0;  // ready runners that hold what the request needs
};
struct Fail {  // final: the request may have run; 502, or 504 past the deadline
  RequestNumber request = 0;
};
struct CancelAttempt {
  RequestNumber request = 0;
  int attempt = 0;
};
using Decision = std::variant<StartAttempt, Refuse, Fail, CancelAttempt>;

enum class AttemptOutcome {
  kServed,         // a complete answer without a runner error
  kServerError,    // a complete answer with a 5xx status from the runner: the request has run
  kNotRun,         // the runner reports that it did not run: full, draining, wrong runner, model not held
  kModelMissing,   // 421 for the model: the record of the runner was out of date
  kWrongRunner,    // 421 because another runner now has the address
  kConnectFailed,  // nothing was sent
  kBroken,         // cut, reset or malformed answer after the request was written: it may have run
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
  // Reports how an attempt ended. `final`: the data plane needs no further attempt (the request was answered,
  // or the client has received bytes that no other attempt can continue). Otherwise the module decides
  // whether to make another one, within the request's tries and the retry budget.
  void AttemptEnded(Time now, RequestNumber request, int attempt, AttemptOutcome outcome, bool final,
                    std::vector<Decision>* decisions);
  void Gone(Time now, RequestNumber request,
            std::vector<Decision>* decisions);  // the client has disconnected
  // Whether another runner may be tried if the current attempt broke off now.
  bool MayFailOver(Time now, RequestNumber request) const;
  void Tick(Time now, std::vector<Decision>* decisions);
  std::optional<Time> NextTimer() const;

  struct Demand {
    std::string service, model, adapter;
    double arrivals_per_s = 0, running = 0, unserved = 0;
  };
  std::vector<Demand> RecentDemand(Time now) const;  // for recently requested models and adapters
  // Whether a requested model or adapter was newly found to have no ready runner since the last call.
  // Placement should be notified immediately.
  bool TakeNewlyUnserved();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::routing

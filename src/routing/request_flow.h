// Tracks each request from arrival to completion: the attempts made, what may still be tried, and the
// translation of the decision module's actions into decisions for the data plane.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/decisions.h"
#include "routing/demand_table.h"
#include "routing/retry_budget.h"
#include "routing/service_state.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

class RequestFlow {
 public:
  RequestFlow(Time now, std::uint64_t seed);

  DispatcherCount& dispatchers() { return dispatchers_; }
  const DemandTable& demand() const { return demand_; }
  bool TakeNewlyUnserved() { return demand_.TakeNewlyUnserved(); }
  bool HasRequestsOf(const ServiceState& service) const;  // it has unfinished requests
  void SetBounds(const Bounds& bounds) { bounds_ = bounds; }
  void SetRunnersKnown(bool known) { runners_known_ = known; }
  void SetMechanisms(const Mechanisms& mechanisms) { mechanisms_ = mechanisms; }

  // `service` is null if the configuration has none of that name. `priority` is the value of the Priority
  // header.
  void Arrived(Time now, const Arrival& arrival, int priority, ServiceState* service,
               std::vector<Decision>* decisions);
  void FirstEvent(Time now, RequestNumber request, int attempt);
  void AttemptEnded(Time now, RequestNumber request, int attempt, AttemptOutcome outcome, bool final,
                    std::vector<Decision>* decisions);
  void Gone(Time now, RequestNumber request, std::vector<Decision>* decisions);
  bool MayFailOver(Time now, RequestNumber request) const;

  // Passes changes of the runner table to the service's module.
  void ApplyRunnerChanges(Time now, ServiceState* service, const RunnerTable::Changes& changes,
                          std::vector<Decision>* decisions);
  void FireTimers(Time now, ServiceState* service, std::vector<Decision>* decisions);
  // Handles the requests that are held for a load: dispatches those whose model or adapter a ready runner now
  // holds and ends those whose hold time is over.
  void ProcessHeldRequests(Time now, ServiceState* service, std::vector<Decision>* decisions);
  std::optional<Time> NextHoldExpiry(const ServiceState& service) const;

 private:
  enum class AttemptState : std::uint8_t { kOpen, kNeverRan, kMayHaveRun };
  struct Attempt {
    std::string runner_id;
    Time sent = 0;
    AttemptState state = AttemptState::kOpen;
    bool started = false;
    bool reached_runner = true;  // the request reached the runner; false if the connection failed
  };
  struct Request {
    RequestNumber number = 0;
    ServiceState* service = nullptr;
    DemandKey key;
    ClassKey class_key;
    Holding needs = 0;
    std::uint64_t home = 0;  // ring key where its worker set begins
    Time deadline = 0;
    Time held_until = 0;  // while waiting for a load; 0: never held
    int tries = 1, priority = 5;
    bool repeatable = false, stream = false, came_back = false;
    bool ended = false;  // its outcome was reported; kept until all its attempts are closed
    std::vector<Attempt> attempts;
  };

  Request* FindRequest(RequestNumber number);
  Attempt* FindOpenAttempt(Request* request, int attempt);
  static bool MayHaveRun(const Request& request);
  static bool HasOpenAttempt(const Request& request);
  bool MayDispatch(Time now, const Request& request) const;

  void Submit(Time now, Request* request, std::vector<Decision>* decisions);
  void RecordMissing(Time now, const Request& request);
  bool HoldForLoad(Time now, Request* request);
  void HoldForHeartbeats(Time now, Request* request);
  void ProcessEvent(Time now, ServiceState* service, const rookgw::Event& event,
                    std::vector<Decision>* decisions);
  void ApplyActions(Time now, ServiceState* service, const std::vector<rookgw::Action>& actions,
                    std::vector<Decision>* decisions);
  void Apply(Time now, ServiceState* service, const rookgw::Dispatch& action,
             std::vector<Decision>* decisions);
  void Apply(Time now, const rookgw::Decline& action, std::vector<Decision>* decisions);
  void Apply(Time now, const rookgw::Fail& action, std::vector<Decision>* decisions);
  void Apply(Time now, ServiceState* service, const rookgw::CancelAttempt& action,
             std::vector<Decision>* decisions);

  bool UpdateRunnerTable(Time now, const Request& request, const Attempt& attempt, AttemptOutcome outcome,
                         std::vector<Decision>* decisions);
  static bool HasTryLeft(Time now, const Request& request);
  bool MayRetry(Time now, const Request& request, AttemptOutcome outcome) const;
  void End(Time now, Request* request, Time retry_after, std::vector<Decision>* decisions);
  Time RetryAfter(Time now, const Request& request);
  static Time ClampRetryAfter(Time now, Time deadline, Time retry_after);
  void EraseIfDone(RequestNumber number);

  std::mt19937_64 random_;
  Bounds bounds_;
  bool runners_known_ = true;
  Mechanisms mechanisms_;
  DispatcherCount dispatchers_;
  DemandTable demand_;
  std::unordered_map<RequestNumber, Request> requests_;
};

}  // namespace lichenlug::routing

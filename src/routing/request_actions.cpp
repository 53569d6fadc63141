// Translates the actions of the decision module into decisions for the data plane.
#include <algorithm>
#include <utility>

#include "routing/request_flow.h"

namespace lichenlug::routing {

void RequestFlow::ApplyActions(Time now, ServiceState* service, const std::vector<rookgw::Action>& actions,
                               std::vector<Decision>* decisions) {
  for (const rookgw::Action& action : actions) {
    if (const auto* dispatch = std::get_if<rookgw::Dispatch>(&action))
      Apply(now, service, *dispatch, decisions);
    if (const auto* decline = std::get_if<rookgw::Decline>(&action)) Apply(now, *decline, decisions);
    if (const auto* fail = std::get_if<rookgw::Fail>(&action)) Apply(now, *fail, decisions);
    if (const auto* cancel = std::get_if<rookgw::CancelAttempt>(&action))
      Apply(now, service, *cancel, decisions);
  }
}

void RequestFlow::Apply(Time now, ServiceState* service, const rookgw::Dispatch& action,
                        std::vector<Decision>* decisions) {
  Request* request = FindRequest(action.id);
  const int number = request == nullptr ? 0 : static_cast<int>(std::ssize(request->attempts));
  if (request == nullptr || request->ended || !MayDispatch(now, *request)) {
    if (request != nullptr) End(now, request, RetryAfter(now, *request), decisions);
    rookgw::AttemptEnded unsent;
    unsent.id = action.id;
    unsent.attempt = number;
    unsent.worker = action.worker;
    unsent.outcome = rookgw::Outcome::kVoid;
    unsent.complete = true;
    ProcessEvent(now, service, unsent, decisions);
    return EraseIfDone(action.id);
  }
  if (std::ranges::any_of(request->attempts, &Attempt::reached_runner)) service->budget.CountRetry(now);
  request->attempts.push_back({.runner_id = action.worker, .sent = now});
  demand_.ChangeRunning(request->key, +1);
  service->runners.AddOpenAttempts(action.worker, +1);
  decisions->emplace_back(StartAttempt{.request = action.id,
                                       .attempt = number,
                                       .runner_id = action.worker,
                                       .address = service->runners.AddressOf(action.worker),
                                       .priority = request->priority});
}

void RequestFlow::Apply(Time now, const rookgw::Decline& action, std::vector<Decision>* decisions) {
  if (Request* request = FindRequest(action.id)) {
    const bool missing = !request->service->runners.AnyReady(request->needs);
    End(now, request, missing ? RetryAfter(now, *request) : action.retry_after, decisions);
  }
  EraseIfDone(action.id);
}

void RequestFlow::Apply(Time now, const rookgw::Fail& action, std::vector<Decision>* decisions) {
  if (Request* request = FindRequest(action.id)) End(now, request, 0, decisions);
  EraseIfDone(action.id);
}

// The attempt is closed immediately: the data plane closes its connection, which ends the run.
void RequestFlow::Apply(Time now, ServiceState* service, const rookgw::CancelAttempt& action,
                        std::vector<Decision>* decisions) {
  Request* request = FindRequest(action.id);
  Attempt* attempt = FindOpenAttempt(request, action.attempt);
  if (attempt == nullptr) return;
  attempt->state = AttemptState::kMayHaveRun;
  demand_.ChangeRunning(request->key, -1);
  service->runners.AddOpenAttempts(attempt->runner_id, -1);
  decisions->emplace_back(CancelAttempt{action.id, action.attempt});
  rookgw::AttemptEnded event;
  event.id = action.id;
  event.attempt = action.attempt;
  event.worker = attempt->runner_id;
  event.outcome = rookgw::Outcome::kCancelled;
  event.complete = request->ended;
  event.took = now - attempt->sent;
  ProcessEvent(now, service, event, decisions);
  EraseIfDone(action.id);
}

}  // namespace lichenlug::routing

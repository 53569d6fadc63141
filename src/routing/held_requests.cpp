// Requests whose model or adapter no ready runner holds: they are held if its load is likely to end in time.
#include <algorithm>
#include <utility>

#include "routing/request_flow.h"

namespace lichenlug::routing {
namespace {

// A request is held for a load only if the answer should begin within this fraction of its objective. The
// rest is a safety margin.
constexpr double kObjectiveFraction = 0.9;
// A client that was refused before does not try a third time, so a late answer is worth more to it than a
// refusal. It is held for up to this fraction of its remaining time. The rest is for the run, or for refusing
// it in time if the load does not end.
constexpr double kClientRetryHoldFraction = 0.4;
constexpr Time kRunnerHeartbeatWait = 1500 * kMillisecond;  // about one heartbeat interval of the runners

}  // namespace

void RequestFlow::RecordMissing(Time now, const Request& request) {
  ServiceState* const service = request.service;
  if (request.needs == 0 || service->runners.AnyReady(request.needs)) return;
  if (MayHaveRun(request) || !service->HasModel(request.key.model)) return;
  demand_.CountUnserved(now, request.key);
  service->forecast.RecordMissing(now, request.needs,
                                  service->LoadTime(request.key.model, request.key.adapter));
}

bool RequestFlow::HoldForLoad(Time now, Request* request) {
  ServiceState* const service = request->service;
  if (!service->HasModel(request->key.model)) return false;
  const Time left = request->deadline - now;
  const auto max_hold = static_cast<Time>(kClientRetryHoldFraction * static_cast<double>(left));
  const auto objective_limit =
      static_cast<Time>(kObjectiveFraction * static_cast<double>(request->class_key.objective));
  const Time available_in = RetryAfter(now, *request);
  const bool in_time = available_in < std::min(objective_limit, max_hold);
  if (!in_time && !request->came_back) return false;
  request->held_until = now + (request->came_back ? max_hold : std::min(objective_limit, max_hold));
  service->held.push_back(request->number);
  return true;
}

// This dispatcher has just started: heartbeats of runners that hold what the request needs may still arrive.
void RequestFlow::HoldForHeartbeats(Time now, Request* request) {
  const auto left = static_cast<double>(request->deadline - now);
  request->held_until =
      now + std::min(static_cast<Time>(kClientRetryHoldFraction * left), kRunnerHeartbeatWait);
  request->service->held.push_back(request->number);
}

void RequestFlow::ProcessHeldRequests(Time now, ServiceState* service, std::vector<Decision>* decisions) {
  service->forecast.LearnFromRunners(now, service->runners);
  std::vector<RequestNumber> done;
  std::erase_if(service->held, [&](RequestNumber number) {
    const Request& request = requests_.at(number);
    const bool done_waiting = service->runners.AnyReady(request.needs) || request.held_until <= now;
    if (done_waiting) done.push_back(number);
    return done_waiting;
  });
  for (RequestNumber number : done) {
    Request* request = FindRequest(number);
    if (service->runners.AnyReady(request->needs)) {
      Submit(now, request, decisions);
      continue;
    }
    End(now, request, RetryAfter(now, *request), decisions);
    EraseIfDone(number);
  }
}

std::optional<Time> RequestFlow::NextHoldExpiry(const ServiceState& service) const {
  std::optional<Time> next;
  for (RequestNumber number : service.held) {
    const Time end = requests_.at(number).held_until;
    next = std::min(next.value_or(end), end);
  }
  return next;
}

}  // namespace lichenlug::routing

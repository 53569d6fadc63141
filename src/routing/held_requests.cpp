// Requests whose model or adapter no ready runner holds: they are held if its load is likely to end in time.
#include <algorithm>
#include <utility>

#include "routing/request_flow.h"

namespace lichenlug::routing {
namespace {

// A request is held for a load only if the answer should begin within this fraction of its objective. The
// rest is a safety margin.
constexpr double kObjectivePart = 0.9;
// A client that was refused before does not try a third time, so a late answer is worth more to it than a
// refusal. It is held for up to this fraction of its remaining time. The rest is for the run, or for refusing
// it in time if the load does not end.
constexpr double kCameBackPart = 0.4;
constexpr Time kRunnersHeardAfter = 1500 * kMillisecond;  // about one heartbeat interval of the runners

}  // namespace

void RequestFlow::NoteMissing(Time now, const Request& request) {
  ServiceState* const service = request.service;
  if (request.needs == 0 || service->runners.AnyReady(request.needs)) return;
  if (MayHaveRun(request) || !service->Knows(request.key.model)) return;
  demand_.CountUnserved(now, request.key);
  service->forecast.NoteMissing(now, request.needs,
                                service->LoadTime(request.key.model, request.key.adapter));
}

bool RequestFlow::Hold(Time now, Request* request) {
  ServiceState* const service = request->service;
  if (!service->Knows(request->key.model)) return false;
  const Time left = request->deadline - now;
  const auto timeout = static_cast<Time>(kCameBackPart * static_cast<double>(left));
  const auto in_objective = static_cast<Time>(kObjectivePart * static_cast<double>(request->alike.objective));
  const Time ready_in = RetryAfter(now, *request);
  const bool in_time = ready_in < std::min(in_objective, timeout);
  if (!in_time && !request->came_back) return false;
  request->held_until = now + (request->came_back ? timeout : std::min(in_objective, timeout));
  service->held.push_back(request->number);
  return true;
}

// This dispatcher has just started: heartbeats of runners that hold what the request needs may still arrive.
void RequestFlow::HoldForRunners(Time now, Request* request) {
  const auto left = static_cast<double>(request->deadline - now);
  request->held_until = now + std::min(static_cast<Time>(kCameBackPart * left), kRunnersHeardAfter);
  request->service->held.push_back(request->number);
}

void RequestFlow::ServeHeld(Time now, ServiceState* service, std::vector<Decision>* decisions) {
  service->forecast.NoteRunners(now, service->runners);
  std::vector<RequestNumber> done;
  std::erase_if(service->held, [&](RequestNumber number) {
    const Request& request = requests_.at(number);
    const bool over = service->runners.AnyReady(request.needs) || request.held_until <= now;
    if (over) done.push_back(number);
    return over;
  });
  for (RequestNumber number : done) {
    Request* request = Find(number);
    if (service->runners.AnyReady(request->needs)) {
      Begin(now, request, decisions);
      continue;
    }
    End(now, request, RetryAfter(now, *request), decisions);
    ForgetEnded(number);
  }
}

std::optional<Time> RequestFlow::NextHeldEnd(const ServiceState& service) const {
  std::optional<Time> next;
  for (RequestNumber number : service.held) {
    const Time end = requests_.at(number).held_until;
    next = std::min(next.value_or(end), end);
  }
  return next;
}

}  // namespace lichenlug::routing

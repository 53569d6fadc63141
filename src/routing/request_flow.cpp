#include "routing/request_flow.h"

#include <algorithm>
#include <utility>

#include "routing/prompt_home.h"

namespace lichenlug::routing {
namespace {

constexpr std::size_t kMaxDemandKeys = 8192;
constexpr Time kMinRetryAfter = 50 * kMillisecond, kMaxRetryAfter = kSecond;
constexpr Time kUnknownRetryAfter = 300 * kMillisecond;  // for an unknown service or before its first answer
// Fraction of the retry budget that is open to requests that lose little by a refusal, since their clients
// retry. The rest is reserved for requests of clients that have already retried and for requests that may
// have run: this is their last chance.
constexpr double kFirstTryBudgetFraction = 0.6;
constexpr std::ptrdiff_t kMaxFailedConnections = 2;  // of a request, in addition to its tries
constexpr Time kMaxRetryAfterDivisor = 3;  // clients honour Retry-After up to a third of their remaining time

rookgw::Outcome ModuleOutcome(AttemptOutcome outcome, bool started) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return rookgw::Outcome::kServed;
    case AttemptOutcome::kServerError:
      return rookgw::Outcome::kError;
    case AttemptOutcome::kNotRun:
      return rookgw::Outcome::kFull;
    case AttemptOutcome::kModelMissing:
    case AttemptOutcome::kWrongRunner:
      return rookgw::Outcome::kVoid;
    case AttemptOutcome::kConnectFailed:
      return rookgw::Outcome::kConnectFailed;
    case AttemptOutcome::kBroken:
      return rookgw::Outcome::kReset;
    case AttemptOutcome::kTimeout:  // a runner that has begun to answer is slow, not dead
      return started ? rookgw::Outcome::kCancelled : rookgw::Outcome::kTimeout;
    case AttemptOutcome::kCancelled:
      break;
  }
  return rookgw::Outcome::kCancelled;
}

bool NeverRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotRun || outcome == AttemptOutcome::kModelMissing ||
         outcome == AttemptOutcome::kWrongRunner || outcome == AttemptOutcome::kConnectFailed;
}

}  // namespace

RequestFlow::RequestFlow(Time now, std::uint64_t seed)
    : random_(seed), dispatchers_(now), demand_(kMaxDemandKeys) {}

bool RequestFlow::HasRequestsOf(const ServiceState& service) const {
  return std::ranges::any_of(requests_, [&](const auto& item) { return item.second.service == &service; });
}

void RequestFlow::Arrived(Time now, const Arrival& arrival, int priority, ServiceState* service,
                          std::vector<Decision>* decisions) {
  if (requests_.contains(arrival.request)) return;
  if (service == nullptr || arrival.deadline <= now) {
    decisions->emplace_back(
        Refuse{arrival.request, ClampRetryAfter(now, arrival.deadline, kUnknownRetryAfter)});
    return;
  }
  Request& request = requests_[arrival.request];
  request.number = arrival.request;
  request.service = service;
  request.key = {arrival.service, arrival.model, arrival.adapter};
  request.needs = service->has_engine ? HoldingOf(arrival.model, arrival.adapter) : 0;
  request.home = mechanisms_.Has(Mechanism::kPromptHomes) ? PromptHome(request.needs, arrival.prompt_parts)
                                                          : request.needs;
  request.deadline = arrival.deadline;
  request.tries = std::max(1, arrival.tries);
  request.priority = priority;
  request.repeatable = arrival.repeatable;
  request.stream = arrival.kind == RouteKind::kStream;
  request.came_back = arrival.came_back;
  request.class_key = ClassKey::FromArrival(arrival);
  service->budget.CountRequest(now);
  if (request.needs != 0 && service->HasModel(arrival.model)) demand_.CountArrival(now, request.key);
  if (service->runners.AnyReady(request.needs)) return Submit(now, &request, decisions);
  if (!runners_known_) return HoldForHeartbeats(now, &request);
  if (request.needs == 0) return Submit(now, &request, decisions);
  RecordMissing(now, request);
  if (HoldForLoad(now, &request)) return;
  End(now, &request, RetryAfter(now, request), decisions);
  EraseIfDone(arrival.request);
}

// Passes the request to the decision module.
void RequestFlow::Submit(Time now, Request* request, std::vector<Decision>* decisions) {
  ServiceState* const service = request->service;
  ServiceScheduler& scheduler = service->Scheduler(now, request->class_key, random_(), dispatchers_.live());
  FireTimers(now, service, decisions);  // timers do not fire while there are no requests
  rookgw::RequestArrived event;
  event.id = request->number;
  if (request->needs != 0) event.key = request->home;
  event.needs = request->needs;
  event.valid_until = request->deadline;
  event.cls = scheduler.ClassOf(request->class_key);
  ProcessEvent(now, service, event, decisions);
}

void RequestFlow::FirstEvent(Time now, RequestNumber number, int attempt_number) {
  Request* request = FindRequest(number);
  Attempt* attempt = FindOpenAttempt(request, attempt_number);
  if (attempt == nullptr || std::exchange(attempt->started, true)) return;
  std::vector<rookgw::Action> none;  // neither event causes an action
  request->service->scheduler->HandleEvent(
      now, rookgw::AttemptUpdate{number, attempt_number, rookgw::AttemptUpdate::Kind::kStarted, 0}, &none);
  // A stream that has begun may continue past its deadline. A resumable one is ended at its deadline, because
  // it could be waiting for its next attempt.
  if (request->stream && !request->repeatable)
    request->service->scheduler->HandleEvent(now, rookgw::StreamStarted{number, attempt_number}, &none);
}

void RequestFlow::AttemptEnded(Time now, RequestNumber number, int attempt_number, AttemptOutcome outcome,
                               bool final, std::vector<Decision>* decisions) {
  Request* request = FindRequest(number);
  Attempt* attempt = FindOpenAttempt(request, attempt_number);
  if (attempt == nullptr) return;
  ServiceState* service = request->service;
  attempt->state = NeverRan(outcome) ? AttemptState::kNeverRan : AttemptState::kMayHaveRun;
  attempt->reached_runner = outcome != AttemptOutcome::kConnectFailed;
  demand_.ChangeRunning(request->key, -1);
  service->runners.AddOpenAttempts(attempt->runner_id, -1);
  if (outcome == AttemptOutcome::kServed) service->run_time.Add(static_cast<double>(now - attempt->sent));
  rookgw::AttemptEnded event;
  event.id = number;
  event.attempt = attempt_number;
  event.worker = attempt->runner_id;
  event.outcome = ModuleOutcome(outcome, attempt->started);
  event.took = now - attempt->sent;
  if (UpdateRunnerTable(now, *request, *attempt, outcome, decisions)) event.outcome = rookgw::Outcome::kVoid;
  const bool answered = final || outcome == AttemptOutcome::kServed || request->ended;
  event.complete = answered || !MayRetry(now, *request, outcome);
  if (event.complete && !answered) {
    RecordMissing(now, *request);
    End(now, request, RetryAfter(now, *request), decisions);
  }
  request->ended = request->ended || event.complete;
  ProcessEvent(now, service, event, decisions);
  EraseIfDone(number);
}

void RequestFlow::Gone(Time now, RequestNumber number, std::vector<Decision>* decisions) {
  Request* request = FindRequest(number);
  if (request == nullptr || std::exchange(request->ended, true)) return;
  std::erase(request->service->held, number);
  if (request->service->scheduler)
    ProcessEvent(now, request->service, rookgw::RequestAbandoned{number}, decisions);
  EraseIfDone(number);
}

bool RequestFlow::MayFailOver(Time now, RequestNumber number) const {
  const auto found = requests_.find(number);
  if (found == requests_.end() || found->second.ended) return false;
  return MayRetry(now, found->second, AttemptOutcome::kBroken);
}

void RequestFlow::ApplyRunnerChanges(Time now, ServiceState* service, const RunnerTable::Changes& changes,
                                     std::vector<Decision>* decisions) {
  if (changes.empty() || !service->scheduler) return;
  ProcessEvent(
      now, service,
      rookgw::ListChanged{.form = rookgw::ListChanged::Form::kPatch, .version = 0, .workers = changes},
      decisions);
}

void RequestFlow::FireTimers(Time now, ServiceState* service, std::vector<Decision>* decisions) {
  if (!service->scheduler) return;
  std::vector<rookgw::Action> actions;
  service->scheduler->FireTimers(now, &actions);
  ApplyActions(now, service, actions, decisions);
}

RequestFlow::Request* RequestFlow::FindRequest(RequestNumber number) {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : &found->second;
}

RequestFlow::Attempt* RequestFlow::FindOpenAttempt(Request* request, int attempt) {
  if (request == nullptr || attempt < 0 || attempt >= std::ssize(request->attempts)) return nullptr;
  Attempt& found = request->attempts[static_cast<std::size_t>(attempt)];
  return found.state == AttemptState::kOpen ? &found : nullptr;
}

bool RequestFlow::MayHaveRun(const Request& request) {
  return std::ranges::any_of(request.attempts,
                             [](const Attempt& it) { return it.state != AttemptState::kNeverRan; });
}

bool RequestFlow::HasOpenAttempt(const Request& request) {
  return std::ranges::any_of(request.attempts,
                             [](const Attempt& it) { return it.state == AttemptState::kOpen; });
}

void RequestFlow::ProcessEvent(Time now, ServiceState* service, const rookgw::Event& event,
                               std::vector<Decision>* decisions) {
  std::vector<rookgw::Action> actions;
  service->scheduler->HandleEvent(now, event, &actions);
  ApplyActions(now, service, actions, decisions);
}

// Updates the runner table after an attempt. Returns whether the runner's rejection says nothing about its
// free capacity.
bool RequestFlow::UpdateRunnerTable(Time now, const Request& request, const Attempt& attempt,
                                    AttemptOutcome outcome, std::vector<Decision>* decisions) {
  RunnerTable::Changes changes;
  RunnerTable& runners = request.service->runners;
  if (outcome == AttemptOutcome::kModelMissing)
    runners.Withhold(now, attempt.runner_id, request.needs, &changes);
  if (outcome == AttemptOutcome::kWrongRunner) runners.MarkGone(attempt.runner_id, &changes);
  const bool order_in_progress =
      outcome == AttemptOutcome::kNotRun &&
      runners.RecordRejection(now, attempt.runner_id, request.needs, dispatchers_.live(), &changes);
  ApplyRunnerChanges(now, request.service, changes, decisions);
  return order_in_progress;
}

bool RequestFlow::MayRetry(Time now, const Request& request, AttemptOutcome outcome) const {
  if (outcome == AttemptOutcome::kTimeout || outcome == AttemptOutcome::kCancelled) return false;
  if (MayHaveRun(request) && !request.repeatable) return false;
  if (!HasTryLeft(now, request)) return false;
  if (!request.service->runners.AnyReady(request.needs)) return false;
  return MayDispatch(now, request);
}

// An attempt whose connection failed has reached no runner, so its try is still to be made: while a refusal
// would leave the client's retry enough time, or if the request may have run and can't be refused.
bool RequestFlow::HasTryLeft(Time now, const Request& request) {
  const auto made = std::ssize(request.attempts);
  if (made < request.tries) return true;
  const auto failed = std::ranges::count(request.attempts, false, &Attempt::reached_runner);
  const Time spent = now - request.attempts.front().sent;
  const bool in_time = MayHaveRun(request) || spent <= request.class_key.objective / kAimDivisor;
  const bool untried_runner = request.service->runners.ReadyHolders(request.needs) > made;
  return in_time && untried_runner && made - std::min(failed, kMaxFailedConnections) < request.tries;
}

// The budget counts every attempt that reaches a runner after the request's first one that did.
bool RequestFlow::MayDispatch(Time now, const Request& request) const {
  const bool first = std::ranges::none_of(request.attempts, &Attempt::reached_runner);
  const bool may_be_refused = !request.came_back && !MayHaveRun(request);
  return first || request.service->budget.Allows(now, bounds_, dispatchers_,
                                                 may_be_refused ? kFirstTryBudgetFraction : 1);
}

void RequestFlow::End(Time now, Request* request, Time retry_after, std::vector<Decision>* decisions) {
  if (std::exchange(request->ended, true)) return;
  if (MayHaveRun(*request))
    decisions->emplace_back(Fail{request->number});
  else
    decisions->emplace_back(Refuse{request->number, ClampRetryAfter(now, request->deadline, retry_after),
                                   request->service->runners.ReadyHolders(request->needs)});
}

// If no ready runner holds the model or adapter, the estimated time until it is loaded. Otherwise about the
// mean run time, with jitter so that refused clients do not retry at the same moment.
Time RequestFlow::RetryAfter(Time now, const Request& request) {
  const ServiceState& service = *request.service;
  if (request.needs != 0 && !service.runners.AnyReady(request.needs))
    return service.forecast.Remaining(now, request.needs,
                                      service.LoadTime(request.key.model, request.key.adapter));
  if (service.run_time.weight == 0) return kUnknownRetryAfter;
  const double spread = std::uniform_real_distribution<double>(0.5, 1)(random_);
  return std::clamp(static_cast<Time>(spread * service.run_time.value), kMinRetryAfter, kMaxRetryAfter);
}

Time RequestFlow::ClampRetryAfter(Time now, Time deadline, Time retry_after) {
  return std::clamp<Time>(retry_after, 0, std::max<Time>(0, deadline - now) / kMaxRetryAfterDivisor);
}

void RequestFlow::EraseIfDone(RequestNumber number) {
  const Request* request = FindRequest(number);
  if (request != nullptr && request->ended && !HasOpenAttempt(*request)) requests_.erase(number);
}

}  // namespace lichenlug::routing

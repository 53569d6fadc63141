#include "dataplane/exchange.h"

#include <algorithm>

#include "dataplane/exchange_table.h"
#include "dataplane/header_names.h"

namespace lichenlug::dataplane {
namespace {

using routing::AttemptOutcome;

// The decision module may fail a request shortly before its deadline.
constexpr Time kDeadlineSlack = 20 * kMillisecond;
constexpr int kFirstServerError = 500;
constexpr Time kMinRetryAfter = 50 * kMillisecond;
constexpr std::string_view kNoRunnerText =
    "no runner is available for the request: retry after the delay given in Retry-After";
constexpr std::string_view kRunnerFailedText =
    "the runner failed during the request: retry only if the request may run twice";
constexpr std::string_view kDeadlineExpiredText =
    "the deadline expired before a response was available: retry with a longer deadline";
constexpr std::string_view kShutdownText =
    "this dispatcher shut down before a response was available: retry only if the request may run twice";
constexpr std::string_view kRouteChangedText = "the route of the request changed: retry";

bool HasNoBody(const Request& request, int status) {
  return request.IsHead() || status == 204 || status == 304;
}

}  // namespace

Exchange::Exchange(Params params, Context* context, RunnerPool* runners, ExchangeTable* table)
    : number_(params.number),
      request_(std::make_shared<const Request>(std::move(params.request))),
      match_(params.match),
      router_(std::move(params.router)),
      service_(std::move(params.service)),
      arrived_(params.arrived),
      deadline_(params.deadline),
      is_retry_(params.is_retry),
      since_first_try_(params.since_first_try),
      sink_(params.sink),
      context_(context),
      runners_(runners),
      table_(table),
      events_(kMaxEventBytes) {
  deadline_timer_ = context_->deadlines.Add(deadline_, [this] { OnDeadline(); });
}

Exchange::~Exchange() { context_->deadlines.Remove(&deadline_timer_); }

routing::Arrival Exchange::ToArrival() const {
  routing::Arrival arrival;
  arrival.request = number_;
  arrival.service = service_;
  arrival.route = match_.route->name();
  if (match_.tenant != nullptr) arrival.tenant = match_.tenant->name();
  arrival.model = request_->model;
  arrival.adapter = request_->adapter;
  arrival.prompt_parts = request_->prompt_parts;
  arrival.prompt_tokens = request_->prompt_tokens;
  arrival.output_tokens = request_->output_tokens;
  arrival.kind = match_.kind;
  arrival.repeatable = match_.repeatable;
  arrival.came_back = is_retry_;
  arrival.precedence = match_.precedence;
  arrival.tries = std::max(1, static_cast<int>(match_.route->tries()));
  arrival.objective = static_cast<Time>(match_.route->objective_ms() * kMillisecond);
  arrival.late = is_retry_ && since_first_try_ >= arrival.objective;
  arrival.deadline = deadline_;
  return arrival;
}

// ---- Decisions ----

// A request may finish under the configuration it started with, but another attempt requires a matching route
// in the current one.
bool Exchange::StillRoutable() {
  if (attempts_started_ == 0 || context_->router == router_) return true;
  if (context_->router == nullptr) return false;
  const auto found =
      context_->router->Match(request_->host, request_->message.target, request_->authorization);
  const auto* match = std::get_if<routing::RouteMatch>(&found);
  if (match == nullptr) return false;
  const auto& weighted = match->route->weighted_services();
  const bool listed = std::any_of(weighted.begin(), weighted.end(), [this](const auto& entry) {
    return entry.service() == service_ && entry.weight() > 0;
  });
  const bool same_tenant = (match->tenant == nullptr) == (match_.tenant == nullptr) &&
                           (match->tenant == nullptr || match->tenant->name() == match_.tenant->name());
  return same_tenant && (listed || (weighted.empty() && match->route->service() == service_));
}

void Exchange::StartAttempt(const routing::StartAttempt& decision) {
  if (!StillRoutable()) {
    table_->AttemptEnded(number_, decision.attempt, AttemptOutcome::kCancelled, /*final=*/true);
    return FinishWith({503, kRouteChangedText, kMinRetryAfter, CutReason::kRouteGone});
  }
  Attempt::Settings settings;
  settings.number = decision.attempt;
  settings.runner_id = decision.runner_id, settings.address = decision.address;
  settings.priority = decision.priority;
  if (match_.tenant != nullptr) settings.tenant = match_.tenant->name();
  if (head_sent_ && last_id_) settings.last_event_id = std::to_string(*last_id_);
  settings.expects_events = match_.kind == routing::RouteKind::kStream;
  settings.watch_runner = match_.repeatable;
  settings.deadline = deadline_;
  ++attempts_started_;
  last_runner_ = decision.runner_id, last_failure_ = {};
  const auto attempt = std::make_shared<Attempt>(std::move(settings), request_, runners_, context_, this);
  attempts_.push_back(attempt);
  attempt->Start();
}

void Exchange::CancelAttempt(int number) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [number](const auto& attempt) { return attempt->number() == number; });
  if (found == attempts_.end()) return;
  const auto attempt = RemoveAttempt(**found);
  may_have_run_ = may_have_run_ || attempt->sent();
  attempt->Stop();
  last_failure_ = ToText(AttemptOutcome::kCancelled);
  table_->AttemptEnded(number_, number, AttemptOutcome::kCancelled, /*final=*/false);
}

void Exchange::Refuse(const routing::Refuse& decision) {
  const Time now = context_->Now();
  context_->refusals.Record(now,
                            {request_->attempt_id, match_.route->name(), request_->model, request_->adapter,
                             decision.ready_holders, attempts_started_, now - arrived_});
  FinishWith({503, kNoRunnerText, std::max(decision.retry_after, kMinRetryAfter),
              NearDeadline() ? CutReason::kDeadline : CutReason::kNoOtherRunner});
}

bool Exchange::NearDeadline() const { return context_->Now() >= deadline_ - kDeadlineSlack; }

void Exchange::Fail() {
  const bool near_deadline = NearDeadline();
  FinishWith({near_deadline ? 504 : 502, near_deadline ? kDeadlineExpiredText : kRunnerFailedText,
              std::nullopt, near_deadline ? CutReason::kDeadline : CutReason::kNoOtherRunner});
}

// ---- Client events and the deadline ----

void Exchange::OnClientDisconnect() {
  sink_ = nullptr;
  table_->CloseRequest(number_);
  EndExchange();
}

void Exchange::OnClientWritable() {
  if (suspected_ != nullptr) suspected_->PauseReading(false);
  for (const auto& attempt : attempts_)
    if (attempt.get() == streaming_) attempt->PauseReading(false);
}

void Exchange::RefuseIfUnsent() {
  const bool sent = std::any_of(attempts_.begin(), attempts_.end(), [](const auto& a) { return a->sent(); });
  if (!sent && !may_have_run_ && !head_sent_) OnDeadline();
}

void Exchange::EndAtShutdown() {
  const auto self = shared_from_this();
  if (StopAttempts()) return FinishWith({502, kShutdownText, std::nullopt, CutReason::kShutdown});
  FinishWith({503, kNoRunnerText, kMinRetryAfter, CutReason::kShutdown});
}

void Exchange::OnDeadline() {
  const auto self = shared_from_this();
  if (StopAttempts()) return FinishWith({504, kDeadlineExpiredText, std::nullopt, CutReason::kDeadline});
  FinishWith({503, kNoRunnerText, kMinRetryAfter, CutReason::kDeadline});
}

// A request that was sent to no runner is guaranteed not to have run.
bool Exchange::StopAttempts() {
  const bool sent = std::any_of(attempts_.begin(), attempts_.end(), [](const auto& a) { return a->sent(); });
  may_have_run_ = may_have_run_ || sent;
  if (const auto suspected = std::exchange(suspected_, nullptr)) suspected->Stop();
  const auto running = std::move(attempts_);
  attempts_.clear();
  for (const auto& attempt : running) {
    attempt->Stop();
    table_->AttemptEnded(number_, attempt->number(), AttemptOutcome::kTimeout, /*final=*/true);
  }
  table_->CloseRequest(number_);
  return may_have_run_;
}

// ---- Attempts ----

std::shared_ptr<Attempt> Exchange::RemoveAttempt(const Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&attempt](const auto& known) { return known.get() == &attempt; });
  if (found == attempts_.end()) return nullptr;
  auto removed = std::move(*found);
  attempts_.erase(found);
  if (streaming_ == removed.get()) streaming_ = nullptr;
  return removed;
}

// One attempt's response is forwarded; the others are no longer needed.
void Exchange::StopOtherAttempts(const Attempt& attempt) {
  if (suspected_ != nullptr && suspected_.get() != &attempt) std::exchange(suspected_, nullptr)->Stop();
  response_after_suspected_.reset();
  const auto all = attempts_;
  for (const auto& other : all) {
    if (other.get() == &attempt) continue;
    const auto stopped = RemoveAttempt(*other);
    stopped->Stop();
    table_->AttemptEnded(number_, stopped->number(), AttemptOutcome::kCancelled, /*final=*/true);
  }
}

void Exchange::RecordStart(const Attempt& attempt) {
  table_->FirstEvent(number_, attempt.number());
  if (std::exchange(counted_, true) || match_.tenant == nullptr || context_->snapshot == nullptr) return;
  context_->usage.Count(context_->WallNow(), context_->snapshot->bounds.report_window, match_.tenant->name());
}

void Exchange::OnResponse(Attempt& attempt, HttpMessage response) {
  const auto self = shared_from_this();
  // A plain response can't replace the rest of a stream.
  if (head_sent_) return OnAttemptFailed(attempt, AttemptOutcome::kBroken);
  ResumeSuspected(attempt);
  const bool is_error = IsServerError(response.status);
  if (is_error && match_.repeatable && !decisions_closed_) return OnServerError(attempt, std::move(response));
  StopOtherAttempts(attempt);
  const auto removed = RemoveAttempt(attempt);
  RecordStart(attempt);
  ForwardResponse(std::move(response));
  table_->AttemptEnded(number_, attempt.number(),
                       is_error ? AttemptOutcome::kServerError : AttemptOutcome::kServed, /*final=*/true);
  EndExchange();
}

bool Exchange::IsServerError(int status) const {
  const bool counts =
      context_->snapshot == nullptr || context_->snapshot->mechanisms.Has(Mechanism::kServerErrors);
  return counts && status >= kFirstServerError;
}

// Another runner may succeed; the error is forwarded if none does.
void Exchange::OnServerError(Attempt& attempt, HttpMessage response) {
  const auto removed = RemoveAttempt(attempt);
  RecordStart(attempt);
  may_have_run_ = true;
  last_failure_ = ToText(AttemptOutcome::kServerError);
  server_error_ = std::move(response);
  table_->AttemptEnded(number_, attempt.number(), AttemptOutcome::kServerError, /*final=*/false);
}

// Forwards a runner's complete response.
void Exchange::ForwardResponse(HttpMessage response) {
  const bool no_body = HasNoBody(*request_, response.status);
  const bool states_length = no_body && response.status != 204 && response.has_length && response.length > 0;
  const std::uint64_t length = no_body ? response.length : response.body.size();
  if (sink_ != nullptr) {
    sink_->SendHead(response, no_body && !states_length ? Framing::kNone : Framing::kLength, length,
                    no_body ? std::string_view() : std::string_view(response.body));
    std::exchange(sink_, nullptr)->EndResponse();
  }
  ++(response.status / 100 == 2 ? context_->counters.served : context_->counters.failed);
}

void Exchange::OnAttemptFailed(Attempt& attempt, AttemptOutcome outcome) {
  const auto self = shared_from_this();
  if (suspected_.get() == &attempt) return OnSuspectedFailed();
  const auto removed = RemoveAttempt(attempt);
  if (removed == nullptr) return;
  removed->Stop();
  if (last_failure_.empty()) last_failure_ = ToText(outcome);
  may_have_run_ = may_have_run_ || outcome == AttemptOutcome::kBroken;
  if (decisions_closed_) return FinishWith({502, kRunnerFailedText, std::nullopt, CutReason::kNotResumable});
  const bool final = head_sent_ && !Resumable();
  table_->AttemptEnded(number_, attempt.number(), outcome, final);
  if (final) Truncate(CutReason::kNotResumable);
}

// ---- End of the exchange ----

// A request that may have run must not get a status that says it has not run; a response that has begun can
// only be truncated.
void Exchange::FinishWith(LocalResponse response) {
  const auto self = shared_from_this();
  if (suspected_ != nullptr && !NearDeadline()) return void(response_after_suspected_ = response);
  if (head_sent_) return Truncate(response.reason);
  if (server_error_) {
    ForwardResponse(*std::exchange(server_error_, std::nullopt));
    return EndExchange();
  }
  for (const auto& attempt : attempts_) may_have_run_ = may_have_run_ || attempt->sent();
  if (response.status == 503 && may_have_run_) {
    const bool near_deadline = NearDeadline();
    response.status = near_deadline ? 504 : 502;
    response.line = near_deadline ? kDeadlineExpiredText : kRunnerFailedText;
    response.retry_after.reset();
  }
  ++(response.status == 503 ? context_->counters.refused : context_->counters.failed);
  if (sink_ != nullptr)
    std::exchange(sink_, nullptr)->SendLocalResponse(response.status, response.line, response.retry_after);
  EndExchange();
}

void Exchange::Truncate(CutReason reason) {
  const Time now = context_->Now();
  dataplane::Cut cut;
  cut.reason = reason;
  cut.attempt_id = request_->attempt_id, cut.route = match_.route->name();
  cut.runner_id = last_runner_, cut.last_failure = last_failure_;
  cut.since_arrival = now - arrived_, cut.time_left = deadline_ - now;
  cut.edition_at_arrival = router_->edition();
  cut.edition_now = context_->router == nullptr ? 0 : context_->router->edition();
  context_->cuts.Record(now, cut);
  ++context_->counters.failed;
  if (sink_ != nullptr) std::exchange(sink_, nullptr)->Abort();
  EndExchange();
}

void Exchange::EndExchange() {
  const auto self = shared_from_this();
  context_->deadlines.Remove(&deadline_timer_);
  if (const auto suspected = std::exchange(suspected_, nullptr)) suspected->Stop();
  const auto running = std::move(attempts_);
  attempts_.clear();
  for (const auto& attempt : running) {
    attempt->Stop();
    table_->AttemptEnded(number_, attempt->number(), AttemptOutcome::kCancelled, /*final=*/true);
  }
  table_->Erase(number_);
}

}  // namespace lichenlug::dataplane

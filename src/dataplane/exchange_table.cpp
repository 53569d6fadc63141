#include "dataplane/exchange_table.h"

#include <algorithm>

namespace lichenlug::dataplane {
namespace {

// Clients of a route are assumed to use the same deadline. A client that retries has spent at least the delay
// in Retry-After on its earlier tries.
constexpr double kRetryTimeFraction = 0.02;  // of its remaining time
constexpr std::size_t kMaxTrackedRoutes = 4096;
constexpr Time kMaxDeadline = 600 * kSecond;  // if neither the client nor the route sets one

}  // namespace

ExchangeTable::ExchangeTable(Context* context, RunnerPool* runners, std::uint64_t seed)
    : context_(context), runners_(runners), random_(seed), decisions_(context->Now(), seed) {}

ExchangeTable::~ExchangeTable() { context_->deadlines.Remove(&timer_); }

routing::RequestNumber ExchangeTable::Begin(Request request, const routing::RouteMatch& match, Time arrived,
                                            ResponseSink* sink) {
  Exchange::Params params;
  params.number = ++last_number_;
  Time timeout = std::min(request.timeout.value_or(kMaxDeadline), kMaxDeadline);
  // Uses the client's own deadline: the route's may change and says nothing about the client.
  params.since_first_try = TimeSinceFirstTry(match.route->name(), timeout);
  params.is_retry =
      static_cast<double>(params.since_first_try) > kRetryTimeFraction * static_cast<double>(timeout);
  if (match.route->deadline_ms() > 0)
    timeout = std::min(timeout, static_cast<Time>(match.route->deadline_ms() * kMillisecond));
  params.arrived = arrived, params.deadline = arrived + timeout;
  params.service =
      routing::Router::ChooseService(*match.route, std::uniform_real_distribution<double>(0, 1)(random_));
  params.match = match, params.router = context_->router, params.sink = sink;
  params.request = std::move(request);
  const routing::RequestNumber number = params.number;
  const auto exchange = std::make_shared<Exchange>(std::move(params), context_, runners_, this);
  exchanges_.emplace(number, exchange);
  decisions_.Arrived(context_->Now(), exchange->ToArrival(), &pending_);
  Execute();
  return number;
}

Time ExchangeTable::TimeSinceFirstTry(const std::string& route, Time timeout) {
  if (longest_timeout_.size() >= kMaxTrackedRoutes) longest_timeout_.clear();
  Time& longest = longest_timeout_[route];
  longest = std::max(longest, timeout);
  return longest - timeout;
}

std::shared_ptr<Exchange> ExchangeTable::Find(routing::RequestNumber number) const {
  const auto found = exchanges_.find(number);
  return found == exchanges_.end() ? nullptr : found->second;
}

void ExchangeTable::OnClientDisconnect(routing::RequestNumber number) {
  if (const auto exchange = Find(number)) exchange->OnClientDisconnect();
}

void ExchangeTable::OnClientWritable(routing::RequestNumber number) {
  if (const auto exchange = Find(number)) exchange->OnClientWritable();
}

std::vector<std::shared_ptr<Exchange>> ExchangeTable::All() const {
  std::vector<std::shared_ptr<Exchange>> all;
  for (const auto& [number, exchange] : exchanges_) all.push_back(exchange);
  return all;
}

void ExchangeTable::RefuseUnsent() {
  for (const auto& exchange : All()) exchange->RefuseIfUnsent();
}

void ExchangeTable::EndAllAtShutdown() {
  for (const auto& exchange : All()) exchange->EndAtShutdown();
}

void ExchangeTable::Install(std::shared_ptr<const routing::Snapshot> snapshot) {
  decisions_.Install(context_->Now(), std::move(snapshot), &pending_);
  Execute();
}

std::vector<routing::Decisions::Demand> ExchangeTable::Demand() const {
  return decisions_.RecentDemand(context_->Now());
}

void ExchangeTable::FirstEvent(routing::RequestNumber number, int attempt) {
  decisions_.FirstEvent(context_->Now(), number, attempt);
}

void ExchangeTable::AttemptEnded(routing::RequestNumber number, int attempt, routing::AttemptOutcome outcome,
                                 bool final) {
  decisions_.AttemptEnded(context_->Now(), number, attempt, outcome, final, &pending_);
  Execute();
}

void ExchangeTable::CloseRequest(routing::RequestNumber number) {
  decisions_.Gone(context_->Now(), number, &pending_);
  Execute();
}

bool ExchangeTable::MayFailOver(routing::RequestNumber number) const {
  return decisions_.MayFailOver(context_->Now(), number);
}

void ExchangeTable::Erase(routing::RequestNumber number) { exchanges_.erase(number); }

// Executing a decision may cause further decisions: these are executed after it, never recursively.
void ExchangeTable::Execute() {
  if (executing_) return;
  executing_ = true;
  for (std::size_t at = 0; at < pending_.size(); ++at) {
    const routing::Decision decision = std::move(pending_[at]);
    Execute(decision);
  }
  pending_.clear();
  executing_ = false;
  if (decisions_.TakeNewlyUnserved() && context_->on_newly_unserved) context_->on_newly_unserved();
  ArmTimer();
}

void ExchangeTable::Execute(const routing::Decision& decision) {
  const auto exchange = Find(std::visit([](const auto& any) { return any.request; }, decision));
  if (const auto* start = std::get_if<routing::StartAttempt>(&decision)) {
    if (exchange != nullptr) return exchange->StartAttempt(*start);
    // The request has been answered in the meantime.
    return AttemptEnded(start->request, start->attempt, routing::AttemptOutcome::kCancelled, /*final=*/true);
  }
  if (exchange == nullptr) return;
  if (const auto* refuse = std::get_if<routing::Refuse>(&decision)) return exchange->Refuse(*refuse);
  if (const auto* cancel = std::get_if<routing::CancelAttempt>(&decision))
    return exchange->CancelAttempt(cancel->attempt);
  exchange->Fail();
}

void ExchangeTable::ArmTimer() {
  const auto next = decisions_.NextTimer();
  if (!next) return context_->deadlines.Remove(&timer_);
  if (timer_.first == *next && timer_ != Deadlines::Key{}) return;
  context_->deadlines.Move(&timer_, *next, [this] {
    timer_ = {};
    decisions_.Tick(context_->Now(), &pending_);
    Execute();
  });
}

}  // namespace lichenlug::dataplane

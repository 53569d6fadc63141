#include "core/request_table.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lichenlug {

using rookgw::Outcome;

RequestTable::RequestTable(const rookgw::Settings& settings, std::uint64_t seed, std::size_t max_requests,
                           Deadlines* deadlines)
    : settings_(settings), deadlines_(deadlines), scheduler_(settings, seed), requests_(max_requests) {}

void RequestTable::Start(RunnerPort* runner_port, DiscoveryPort* discovery, PeerPort* peers) {
  runner_port_ = runner_port, discovery_ = discovery, peers_ = peers;
  std::vector<rookgw::Action> actions;
  scheduler_.Start(deadlines_->Now(), &actions);
  for (const rookgw::Action& action : actions) std::visit([this](const auto& a) { Execute(a); }, action);
}

// ---- Events ----

Handle RequestTable::Begin(rookgw::RequestArrived arrived, std::shared_ptr<const Job> job,
                           ClientPort* client_port, Handle client) {
  Request new_request;
  new_request.job = std::move(job), new_request.client_port = client_port, new_request.client = client;
  new_request.deadline = arrived.valid_until, new_request.slots = arrived.slots,
  new_request.cls = arrived.cls;
  const Handle handle = requests_.Insert(std::move(new_request));
  if (!handle) return {};
  ++unanswered_;
  // The decisions end a request shortly before its deadline. This timer is the fallback if they don't, or if
  // the process ends before then.
  const Time last = std::min(arrived.valid_until, new_request_deadline_);
  requests_.Find(handle)->deadline_timer = deadlines_->Add(last, [this, handle] {
    Answer(handle, {FinalAnswer::Kind::kDeadlineExceeded, {}, 0});
    HandleEvent(rookgw::RequestAbandoned{handle.Packed()});
    DropIfDone(handle);
  });
  arrived.id = handle.Packed();
  HandleEvent(std::move(arrived));
  return handle;
}

void RequestTable::ClientDisconnected(Handle handle) {
  Request* request = requests_.Find(handle);
  if (request == nullptr || request->answered) return;
  request->client_port = nullptr;
  Answer(handle, {});
  HandleEvent(rookgw::RequestAbandoned{handle.Packed()});
  DropIfDone(handle);
}

bool RequestTable::IsWanted(Handle handle) {
  const Request* request = requests_.Find(handle);
  if (request == nullptr || request->answered) return false;
  if (!request->client_port->IsDisconnected(request->client)) return true;
  ClientDisconnected(handle);
  return false;
}

void RequestTable::AttemptProgress(AttemptRef ref, rookgw::AttemptUpdate::Kind kind, double share) {
  Request* request = requests_.Find(ref.request);
  if (request == nullptr || request->attempts[ref.number].done) return;
  HandleEvent(rookgw::AttemptUpdate{ref.request.Packed(), ref.number, kind, share});
}

void RequestTable::AttemptFinished(AttemptRef ref, Outcome outcome, const rookgw::LoadReport& report,
                                   std::string result) {
  Request* request = requests_.Find(ref.request);
  if (request == nullptr) return;
  Attempt& attempt = request->attempts[ref.number];
  if (std::exchange(attempt.done, true)) return;  // only the first outcome counts
  if (peers_ != nullptr) peers_->Hold(attempt.runner, -request->slots);
  if (peers_ != nullptr && outcome == Outcome::kError) peers_->Failed(attempt.runner, request->cls);
  // Answers the client before the bookkeeping.
  if (outcome == Outcome::kServed) Answer(ref.request, {FinalAnswer::Kind::kServed, std::move(result), 0});
  rookgw::AttemptEnded ended;
  ended.id = ref.request.Packed(), ended.attempt = ref.number, ended.worker = attempt.runner;
  ended.outcome = outcome, ended.complete = request->answered;
  ended.took = deadlines_->Now() - attempt.sent, ended.report = report;
  HandleEvent(std::move(ended));
  DropIfDone(ref.request);
}

void RequestTable::ProbeEnded(const std::string& runner, bool ok, Time took,
                              const rookgw::LoadReport& report) {
  HandleEvent(rookgw::ProbeEnded{runner, ok, took, report});
}

void RequestTable::RunnersChanged(rookgw::ListChanged::Form form, std::int64_t version,
                                  const std::vector<rookgw::ListedWorker>& runners) {
  // The event holds a view that is valid only during this call. That suffices because no action produces a
  // list change, so the event is never queued.
  HandleEvent(rookgw::ListChanged{form, version, runners});
}

void RequestTable::OnPeerHolding(const std::string& runner, double slots) {
  HandleEvent(rookgw::PeerReport{runner, slots});
}

void RequestTable::OnPeerFailing(const std::string& runner, int cls) {
  HandleEvent(rookgw::PeerReport{runner, 0, cls});
}

void RequestTable::HandleEvent(rookgw::Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_event_, true)) return;
  std::vector<rookgw::Action> actions;
  while (!events_.empty()) {
    const rookgw::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    scheduler_.Handle(deadlines_->Now(), next, &actions);
    for (const rookgw::Action& action : actions) std::visit([this](const auto& a) { Execute(a); }, action);
  }
  handling_event_ = false;
}

// ---- Actions ----

void RequestTable::Execute(const rookgw::Dispatch& action) {
  const Handle handle = Handle::Unpack(action.id);
  Request* request = requests_.Find(handle);
  if (request == nullptr) return;
  const AttemptRef ref{handle, static_cast<int>(request->attempts.size())};
  const Time now = deadlines_->Now();
  request->attempts.push_back({action.worker, now, {}, false});
  if (peers_ != nullptr) peers_->Hold(action.worker, request->slots);
  if (!IsWanted(handle) || ref.number >= settings_.max_attempts || now >= request->deadline)
    return AttemptFinished(ref, Outcome::kVoid);
  Time deadline = request->deadline;
  if (action.timeout != 0) deadline = std::min(deadline, now + action.timeout);
  const Handle attempt = runner_port_->StartAttempt(ref, request->job, action.worker, deadline);
  if (request = requests_.Find(handle); request != nullptr) request->attempts[ref.number].handle = attempt;
}

void RequestTable::Execute(const rookgw::Decline& action) {
  const Handle handle = Handle::Unpack(action.id);
  const bool give_advice = settings_.retry_after && action.retry_after > 0;
  const Time span = std::min(action.retry_after, settings_.max_retry_after);
  Answer(handle, {FinalAnswer::Kind::kRefused, {}, give_advice ? deadlines_->Now() + span : 0});
  DropIfDone(handle);
}

void RequestTable::Execute(const rookgw::Fail& action) {
  Answer(Handle::Unpack(action.id), {FinalAnswer::Kind::kFailed, {}, 0});
  DropIfDone(Handle::Unpack(action.id));
}

void RequestTable::Execute(const rookgw::CancelAttempt& action) {
  Request* request = requests_.Find(Handle::Unpack(action.id));
  if (request == nullptr || action.attempt >= static_cast<int>(request->attempts.size())) return;
  const Attempt& attempt = request->attempts[action.attempt];
  if (!attempt.done) runner_port_->Cancel(attempt.handle);
}

void RequestTable::Execute(const rookgw::Probe& action) { runner_port_->Probe(action.worker); }

void RequestTable::Execute(const rookgw::SetTimer& action) {
  deadlines_->Add(deadlines_->Now() + action.span,
                  [this, token = action.token] { HandleEvent(rookgw::TimerFired{token}); });
}

void RequestTable::Execute(const rookgw::Subscribe&) { discovery_->RequestList(); }

void RequestTable::Execute(const rookgw::Log& action) { std::fprintf(stderr, "%s\n", action.text.c_str()); }

// ---- Completion ----

void RequestTable::Answer(Handle handle, const FinalAnswer& answer) {
  Request* request = requests_.Find(handle);
  if (request == nullptr || std::exchange(request->answered, true)) return;
  --unanswered_;
  deadlines_->Remove(&request->deadline_timer);
  if (request->client_port != nullptr) request->client_port->Answer(request->client, answer);
}

// A request is kept until its last attempt has ended: until then the decisions count the attempt's slots.
void RequestTable::DropIfDone(Handle handle) {
  Request* request = requests_.Find(handle);
  if (request == nullptr || !request->answered) return;
  for (const Attempt& attempt : request->attempts)
    if (!attempt.done) return;
  requests_.Erase(handle);
}

}  // namespace lichenlug

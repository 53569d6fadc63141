#include "core/transactions.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lichenlug {

using rookgw::Outcome;

TransactionTable::TransactionTable(const rookgw::Settings& settings, std::uint64_t seed, std::size_t most,
                                   Deadlines* deadlines)
    : settings_(settings), deadlines_(deadlines), scheduler_(settings, seed), table_(most) {}

void TransactionTable::Start(BranchPort* branches, DiscoveryPort* discovery, PeerPort* peers) {
  branches_ = branches, discovery_ = discovery, peers_ = peers;
  std::vector<rookgw::Action> actions;
  scheduler_.Start(deadlines_->Now(), &actions);
  for (const rookgw::Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
}

// ---- Events ----

Handle TransactionTable::Begin(rookgw::RequestArrived arrived, std::shared_ptr<const Job> job,
                               CallerPort* caller, Handle leg) {
  Transaction fresh;
  fresh.job = std::move(job), fresh.caller = caller, fresh.leg = leg;
  fresh.deadline = arrived.valid_until, fresh.slots = arrived.slots, fresh.cls = arrived.cls;
  const Handle handle = table_.Insert(std::move(fresh));
  if (!handle) return {};
  ++owed_;
  // The decisions end a request shortly before its deadline. This timer is the fallback if they don't, or if
  // the process ends before then.
  const Time last = std::min(arrived.valid_until, end_new_by_);
  table_.Find(handle)->last_moment = deadlines_->Add(last, [this, handle] {
    Answer(handle, {FinalAnswer::Kind::kTooLate, {}, 0});
    Feed(rookgw::RequestAbandoned{handle.Packed()});
    DropIfDone(handle);
  });
  arrived.id = handle.Packed();
  Feed(std::move(arrived));
  return handle;
}

void TransactionTable::CallerGone(Handle handle) {
  Transaction* transaction = table_.Find(handle);
  if (transaction == nullptr || transaction->answered) return;
  transaction->caller = nullptr;
  Answer(handle, {});
  Feed(rookgw::RequestAbandoned{handle.Packed()});
  DropIfDone(handle);
}

bool TransactionTable::Wanted(Handle handle) {
  const Transaction* transaction = table_.Find(handle);
  if (transaction == nullptr || transaction->answered) return false;
  if (!transaction->caller->Gone(transaction->leg)) return true;
  CallerGone(handle);
  return false;
}

void TransactionTable::BranchNote(BranchRef ref, rookgw::AttemptUpdate::Kind kind, double share) {
  Transaction* transaction = table_.Find(ref.transaction);
  if (transaction == nullptr || transaction->branches[ref.number].over) return;
  Feed(rookgw::AttemptUpdate{ref.transaction.Packed(), ref.number, kind, share});
}

void TransactionTable::BranchEnded(BranchRef ref, Outcome outcome, const rookgw::LoadReport& report,
                                   std::string result) {
  Transaction* transaction = table_.Find(ref.transaction);
  if (transaction == nullptr) return;
  Branch& branch = transaction->branches[ref.number];
  if (std::exchange(branch.over, true)) return;  // only the first outcome counts
  if (peers_ != nullptr) peers_->Hold(branch.runner, -transaction->slots);
  if (peers_ != nullptr && outcome == Outcome::kError) peers_->Failed(branch.runner, transaction->cls);
  // Answers the client before the bookkeeping.
  if (outcome == Outcome::kServed)
    Answer(ref.transaction, {FinalAnswer::Kind::kServed, std::move(result), 0});
  rookgw::AttemptEnded ended;
  ended.id = ref.transaction.Packed(), ended.attempt = ref.number, ended.worker = branch.runner;
  ended.outcome = outcome, ended.complete = transaction->answered;
  ended.took = deadlines_->Now() - branch.sent, ended.report = report;
  Feed(std::move(ended));
  DropIfDone(ref.transaction);
}

void TransactionTable::ProbeEnded(const std::string& runner, bool ok, Time took,
                                  const rookgw::LoadReport& report) {
  Feed(rookgw::ProbeEnded{runner, ok, took, report});
}

void TransactionTable::RoutesChanged(rookgw::ListChanged::Form form, std::int64_t version,
                                     const std::vector<rookgw::ListedWorker>& runners) {
  // The event holds a view that is valid only during this call. That suffices because no action produces a
  // list change, so the event is never queued.
  Feed(rookgw::ListChanged{form, version, runners});
}

void TransactionTable::HeldElsewhere(const std::string& runner, double slots) {
  Feed(rookgw::PeerReport{runner, slots});
}

void TransactionTable::FailingElsewhere(const std::string& runner, int cls) {
  Feed(rookgw::PeerReport{runner, 0, cls});
}

void TransactionTable::Feed(rookgw::Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(feeding_, true)) return;
  std::vector<rookgw::Action> actions;
  while (!events_.empty()) {
    const rookgw::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    scheduler_.Handle(deadlines_->Now(), next, &actions);
    for (const rookgw::Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
  }
  feeding_ = false;
}

// ---- Actions ----

void TransactionTable::Do(const rookgw::Dispatch& action) {
  const Handle handle = Handle::Unpack(action.id);
  Transaction* transaction = table_.Find(handle);
  if (transaction == nullptr) return;
  const BranchRef ref{handle, static_cast<int>(transaction->branches.size())};
  const Time now = deadlines_->Now();
  transaction->branches.push_back({action.worker, now, {}, false});
  if (peers_ != nullptr) peers_->Hold(action.worker, transaction->slots);
  if (!Wanted(handle) || ref.number >= settings_.max_attempts || now >= transaction->deadline)
    return BranchEnded(ref, Outcome::kVoid);
  Time deadline = transaction->deadline;
  if (action.timeout != 0) deadline = std::min(deadline, now + action.timeout);
  const Handle branch = branches_->Open(ref, transaction->job, action.worker, deadline);
  if (transaction = table_.Find(handle); transaction != nullptr)
    transaction->branches[ref.number].handle = branch;
}

void TransactionTable::Do(const rookgw::Decline& action) {
  const Handle handle = Handle::Unpack(action.id);
  const bool advise = settings_.retry_after && action.retry_after > 0;
  const Time span = std::min(action.retry_after, settings_.max_retry_after);
  Answer(handle, {FinalAnswer::Kind::kBusy, {}, advise ? deadlines_->Now() + span : 0});
  DropIfDone(handle);
}

void TransactionTable::Do(const rookgw::Fail& action) {
  Answer(Handle::Unpack(action.id), {FinalAnswer::Kind::kFailed, {}, 0});
  DropIfDone(Handle::Unpack(action.id));
}

void TransactionTable::Do(const rookgw::CancelAttempt& action) {
  Transaction* transaction = table_.Find(Handle::Unpack(action.id));
  if (transaction == nullptr || action.attempt >= static_cast<int>(transaction->branches.size())) return;
  const Branch& branch = transaction->branches[action.attempt];
  if (!branch.over) branches_->GiveUp(branch.handle);
}

void TransactionTable::Do(const rookgw::Probe& action) { branches_->Probe(action.worker); }

void TransactionTable::Do(const rookgw::SetTimer& action) {
  deadlines_->Add(deadlines_->Now() + action.span,
                  [this, token = action.token] { Feed(rookgw::TimerFired{token}); });
}

void TransactionTable::Do(const rookgw::Subscribe&) { discovery_->Ask(); }

void TransactionTable::Do(const rookgw::Log& action) { std::fprintf(stderr, "%s\n", action.text.c_str()); }

// ---- Completion ----

void TransactionTable::Answer(Handle handle, const FinalAnswer& answer) {
  Transaction* transaction = table_.Find(handle);
  if (transaction == nullptr || std::exchange(transaction->answered, true)) return;
  --owed_;
  deadlines_->Remove(&transaction->last_moment);
  if (transaction->caller != nullptr) transaction->caller->Answer(transaction->leg, answer);
}

// A request is kept until its last attempt has ended: until then the decisions count the attempt's slots.
void TransactionTable::DropIfDone(Handle handle) {
  Transaction* transaction = table_.Find(handle);
  if (transaction == nullptr || !transaction->answered) return;
  for (const Branch& branch : transaction->branches)
    if (!branch.over) return;
  table_.Erase(handle);
}

}  // namespace lichenlug

// The table of client requests: passes events to the decisions (rookgw::Scheduler), carries out the resulting
// actions and completes requests. It ensures that each attempt has exactly one outcome and each request
// exactly one final answer, even if events are duplicated, late or out of order.
#pragma once

#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "base/slots.h"
#include "core/ports.h"
#include "rookgw/brain.h"

namespace lichenlug {

class TransactionTable {
 public:
  TransactionTable(const rookgw::Settings& settings, std::uint64_t seed, std::size_t most,
                   Deadlines* deadlines);

  void Start(BranchPort* branches, DiscoveryPort* discovery, PeerPort* peers = nullptr);

  // Sets `arrived.id`. Returns a null handle if the table is full; no answer follows then. The answer may be
  // delivered before this returns.
  Handle Begin(rookgw::RequestArrived arrived, std::shared_ptr<const Job> job, CallerPort* caller,
               Handle leg);
  void CallerGone(Handle transaction);

  // Whether the request still needs an answer. Must be called immediately before an attempt is sent, because
  // the request may have been answered, or its client may have disconnected, since the attempt was decided
  // on. In the latter case it ends the request, so the attempt may have ended when this returns.
  bool Wanted(Handle transaction);

  // The process is shutting down: requests that arrive from now on get their final answer by `at` at the
  // latest.
  void EndNewBy(Time at) { end_new_by_ = at; }

  void BranchNote(BranchRef ref, rookgw::AttemptUpdate::Kind kind, double share);
  void BranchEnded(BranchRef ref, rookgw::Outcome outcome, const rookgw::LoadReport& report = {},
                   std::string result = {});
  void ProbeEnded(const std::string& runner, bool ok, Time took, const rookgw::LoadReport& report);
  void RoutesChanged(rookgw::ListChanged::Form form, std::int64_t version,
                     const std::vector<rookgw::ListedWorker>& runners);
  void HeldElsewhere(const std::string& runner, double slots);
  void FailingElsewhere(const std::string& runner, int cls);

  std::size_t owed() const { return owed_; }  // requests without a final answer yet

 private:
  struct Branch {
    std::string runner;
    Time sent = 0;
    Handle handle;
    bool over = false;
  };
  struct Transaction {
    std::shared_ptr<const Job> job;
    CallerPort* caller = nullptr;
    Handle leg;
    Time deadline = 0;
    double slots = 1;
    int cls = 0;
    Deadlines::Key last_moment;
    std::vector<Branch> branches;
    bool answered = false;
  };

  void Feed(rookgw::Event event);
  void Do(const rookgw::Dispatch& action);
  void Do(const rookgw::Decline& action);
  void Do(const rookgw::Fail& action);
  void Do(const rookgw::CancelAttempt& action);
  void Do(const rookgw::Probe& action);
  void Do(const rookgw::SetTimer& action);
  void Do(const rookgw::Subscribe& action);
  void Do(const rookgw::Log& action);
  void Answer(Handle handle, const FinalAnswer& answer);
  void DropIfDone(Handle handle);

  const rookgw::Settings settings_;
  Deadlines* deadlines_;
  rookgw::Scheduler scheduler_;
  BranchPort* branches_ = nullptr;
  DiscoveryPort* discovery_ = nullptr;
  PeerPort* peers_ = nullptr;
  SlotTable<Transaction> table_;
  std::deque<rookgw::Event> events_;  // events raised by actions wait until the current event is handled
  bool feeding_ = false;
  std::size_t owed_ = 0;
  Time end_new_by_ = std::numeric_limits<Time>::max();
};

}  // namespace lichenlug

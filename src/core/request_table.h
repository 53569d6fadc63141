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

class RequestTable {
 public:
  RequestTable(const rookgw::Settings& settings, std::uint64_t seed, std::size_t max_requests,
               Deadlines* deadlines);

  void Start(RunnerPort* runner_port, DiscoveryPort* discovery, PeerPort* peers = nullptr);

  // Sets `arrived.id`. Returns a null handle if the table is full; no answer follows then. The answer may be
  // delivered before this returns.
  Handle Begin(rookgw::RequestArrived arrived, std::shared_ptr<const Job> job, ClientPort* client_port,
               Handle client);
  void ClientDisconnected(Handle request);

  // Whether the request still needs an answer. Must be called immediately before an attempt is sent, because
  // the request may have been answered, or its client may have disconnected, since the attempt was decided
  // on. In the latter case it ends the request, so the attempt may have ended when this returns.
  bool IsWanted(Handle request);

  // The process is shutting down: requests that arrive from now on get their final answer by `at` at the
  // latest.
  void SetNewRequestDeadline(Time at) { new_request_deadline_ = at; }

  void AttemptProgress(AttemptRef ref, rookgw::AttemptUpdate::Kind kind, double share);
  void AttemptFinished(AttemptRef ref, rookgw::Outcome outcome, const rookgw::LoadReport& report = {},
                       std::string result = {});
  void ProbeEnded(const std::string& runner, bool ok, Time took, const rookgw::LoadReport& report);
  void RunnersChanged(rookgw::ListChanged::Form form, std::int64_t version,
                      const std::vector<rookgw::ListedWorker>& runners);
  void OnPeerHolding(const std::string& runner, double slots);
  void OnPeerFailing(const std::string& runner, int cls);

  std::size_t unanswered() const { return unanswered_; }  // requests without a final answer yet

 private:
  struct Attempt {
    std::string runner;
    Time sent = 0;
    Handle handle;
    bool done = false;
  };
  struct Request {
    std::shared_ptr<const Job> job;
    ClientPort* client_port = nullptr;
    Handle client;
    Time deadline = 0;
    double slots = 1;
    int cls = 0;
    Deadlines::Key deadline_timer;
    std::vector<Attempt> attempts;
    bool answered = false;
  };

  void HandleEvent(rookgw::Event event);
  void Execute(const rookgw::Dispatch& action);
  void Execute(const rookgw::Decline& action);
  void Execute(const rookgw::Fail& action);
  void Execute(const rookgw::CancelAttempt& action);
  void Execute(const rookgw::Probe& action);
  void Execute(const rookgw::SetTimer& action);
  void Execute(const rookgw::Subscribe& action);
  void Execute(const rookgw::Log& action);
  void Answer(Handle handle, const FinalAnswer& answer);
  void DropIfDone(Handle handle);

  const rookgw::Settings settings_;
  Deadlines* deadlines_;
  rookgw::Scheduler scheduler_;
  RunnerPort* runner_port_ = nullptr;
  DiscoveryPort* discovery_ = nullptr;
  PeerPort* peers_ = nullptr;
  SlotTable<Request> requests_;
  std::deque<rookgw::Event> events_;  // events raised by actions wait until the current event is handled
  bool handling_event_ = false;
  std::size_t unanswered_ = 0;
  Time new_request_deadline_ = std::numeric_limits<Time>::max();
};

}  // namespace lichenlug

// Attempts to run a job on a runner: the connections they use, the callbacks that complete them, the DELETE
// requests that cancel them, and probes of runners.
//
// An attempt outlives its HTTP exchange: the exchange ends with the runner's 202, the attempt with a
// callback. The callback can also arrive before the 202, so the two refer to each other by handle only.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/deadlines.h"
#include "base/slots.h"
#include "branch/link_reliability.h"
#include "core/ports.h"
#include "core/request_table.h"
#include "decisions/settings.h"
#include "net/http_connection.h"
#include "routes/runner_registry.h"

namespace lichenlug {

struct RunnerClientSettings {
  std::size_t max_attempts = 0, max_links = 0;  // attempts; connections to runners, including idle ones
  Time connect_timeout = 0, idle_close = 0;     // runners close connections that are idle for idle_close
  const rookgw::Site& site;                     // must outlive the attempts
};

class RunnerClient : public RunnerPort, public CallbackPort {
 public:
  RunnerClient(asio::io_context& io, const RunnerClientSettings& settings, const RunnerRegistry* registry,
               Deadlines* deadlines, RequestTable* core);

  Handle StartAttempt(AttemptRef ref, std::shared_ptr<const Job> job, const std::string& runner,
                      Time deadline) override;
  void Cancel(Handle attempt) override;
  void Probe(const std::string& runner) override;

  // Handles a runner's callback. Returns false if it is malformed. A well-formed callback for an unknown
  // attempt (ended, cancelled, or of an earlier run of this process) is ignored.
  bool HandleCallback(const std::string& body) override;

  std::size_t in_flight() const { return attempts_.size(); }

 private:
  enum class Stage { kUnsent, kSent, kAccepted, kCancelling };
  struct Attempt {
    AttemptRef ref;
    std::shared_ptr<const Job> job;
    std::string runner;
    Time deadline = 0;
    Stage stage = Stage::kUnsent;
    Handle link;
    Deadlines::Key alarm;
  };

  // One HTTP request to a runner and its response.
  struct Exchange {
    enum class Kind { kNone, kJob, kCancel, kProbe };
    Kind kind = Kind::kNone;
    Handle attempt;  // kJob, kCancel: the attempt
    Time started = 0, deadline = 0;
    rookgw::Outcome outcome = rookgw::Outcome::kCancelled;  // kCancel: of the attempt
    bool repeat = false;                                    // kCancel: repeat the DELETE when it is answered
    std::string call_id;
  };

  // One connection to a runner. It is idle if it has no exchange.
  struct Link {
    std::shared_ptr<HttpConnection> connection;
    std::string runner, host;
    asio::ip::tcp::endpoint address;
    Exchange exchange;
    bool established = false;
    // idle_before: how long it was idle before this exchange.
    Time idle_since = 0, idle_before = LinkReliability::kNeverUsed;
    Deadlines::Key alarm;
  };

  void StartExchange(const std::string& runner, Exchange exchange);
  Handle IdleLink(const RunnerEntry& entry, Exchange::Kind kind);
  void Transmit(Handle handle);
  void OnResponse(Handle handle, const HttpMessage& answer);
  void OnConnectionFailure(Handle handle,
                           rookgw::Outcome outcome_if_unwritten = rookgw::Outcome::kConnectFailed);
  void OnMalformedResponse(Handle handle);
  void MarkIdle(Handle handle);
  void DropLink(Handle handle);
  bool EvictIdleLink();

  // The exchange ended without a usable response.
  void OnExchangeFailed(const Exchange& exchange, const std::string& runner, rookgw::Outcome outcome);
  void OnJobResponse(Handle attempt, const HttpMessage& answer);
  void Cancel(Handle attempt, rookgw::Outcome outcome);
  void EndAttempt(Handle handle, rookgw::Outcome outcome, const rookgw::LoadReport& report = {},
                  std::string result = {});

  asio::io_context& io_;
  const RunnerClientSettings settings_;
  const RunnerRegistry* registry_;
  Deadlines* deadlines_;
  RequestTable* core_;
  SlotTable<Attempt> attempts_;
  SlotTable<Link> links_;
  LinkReliability reliability_;
  std::unordered_map<std::string, Handle> by_key_;             // attempts by call ID and runner
  std::unordered_map<std::string, std::vector<Handle>> idle_;  // by runner, most recently used last
};

}  // namespace lichenlug

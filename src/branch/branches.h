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
#include "branch/kept_links.h"
#include "core/ports.h"
#include "core/transactions.h"
#include "decisions/settings.h"
#include "net/http_connection.h"
#include "routes/route_set.h"

namespace lichenlug {

struct BranchSettings {
  std::size_t max_open = 0, max_links = 0;   // attempts; connections to runners, including idle ones
  Time connect_timeout = 0, idle_close = 0;  // runners close connections that are idle for idle_close
  const rookgw::Site& site;                  // must outlive the attempts
};

class Branches : public BranchPort, public CallBackPort {
 public:
  Branches(asio::io_context& io, const BranchSettings& settings, const RouteSet* routes, Deadlines* deadlines,
           TransactionTable* core);

  Handle Open(BranchRef ref, std::shared_ptr<const Job> job, const std::string& runner,
              Time deadline) override;
  void GiveUp(Handle branch) override;
  void Probe(const std::string& runner) override;

  // Handles a runner's callback. Returns false if it is malformed. A well-formed callback for an unknown
  // attempt (ended, cancelled, or of an earlier run of this process) is ignored.
  bool CallBack(const std::string& body) override;

  std::size_t out() const { return branches_.size(); }

 private:
  enum class Stage { kUnsent, kSent, kAccepted, kGivingUp };
  struct Branch {
    BranchRef ref;
    std::shared_ptr<const Job> job;
    std::string runner;
    Time deadline = 0;
    Stage stage = Stage::kUnsent;
    Handle link;
    Deadlines::Key alarm;
  };

  // One HTTP request to a runner and its response.
  struct Exchange {
    enum class Kind { kNone, kJob, kGiveUp, kProbe };
    Kind kind = Kind::kNone;
    Handle branch;  // kJob, kGiveUp: the attempt
    Time began = 0, deadline = 0;
    rookgw::Outcome outcome = rookgw::Outcome::kCancelled;  // kGiveUp: of the attempt
    bool twice = false;                                     // kGiveUp: repeat the DELETE when it is answered
    std::string call_id;
  };

  // One connection to a runner. It is idle if it has no exchange.
  struct Link {
    std::shared_ptr<HttpConnection> connection;
    std::string runner, host;
    asio::ip::tcp::endpoint address;
    Exchange exchange;
    bool up = false;
    Time idle_since = 0, kept = KeptLinks::kNew;  // kept: how long it was idle before this exchange
    Deadlines::Key alarm;
  };

  void Begin(const std::string& runner, Exchange exchange);
  Handle IdleLink(const Route& route, Exchange::Kind kind);
  void Transmit(Handle handle);
  void Answered(Handle handle, const HttpMessage& answer);
  void Broke(Handle handle, rookgw::Outcome unwritten = rookgw::Outcome::kConnectFailed);
  void Spoilt(Handle handle);
  void Rest(Handle handle);
  void DropLink(Handle handle);
  bool EvictIdleLink();

  // The exchange ended without a usable response.
  void Failed(const Exchange& exchange, const std::string& runner, rookgw::Outcome outcome);
  void JobAnswered(Handle branch, const HttpMessage& answer);
  void GiveUp(Handle branch, rookgw::Outcome outcome);
  void EndBranch(Handle handle, rookgw::Outcome outcome, const rookgw::LoadReport& report = {},
                 std::string result = {});

  asio::io_context& io_;
  const BranchSettings settings_;
  const RouteSet* routes_;
  Deadlines* deadlines_;
  TransactionTable* core_;
  SlotTable<Branch> branches_;
  SlotTable<Link> links_;
  KeptLinks kept_links_;
  std::unordered_map<std::string, Handle> by_name_;            // attempts by call ID and runner
  std::unordered_map<std::string, std::vector<Handle>> idle_;  // by runner, most recently used last
};

}  // namespace lichenlug

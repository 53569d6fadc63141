// Implementation of Placement, which combines the parts of this library. Private to this library.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/fleet_scaler.h"
#include "placement/load_budget.h"
#include "placement/missing_watch.h"
#include "placement/placement.h"
#include "placement/planner.h"

namespace lichenlug::placement {

class Placement::Impl {
 public:
  explicit Impl(Settings settings);

  void Act(Time now, const Input& input, std::vector<duties::HttpCall>* calls);
  void Completed(Time now, std::uint64_t tag, const duties::HttpResult& result);
  std::optional<Time> NextTimer() const;
  std::optional<messages::LoadHistory> LoadHistoryForRenewal(Time now, std::uint64_t epoch, bool releasing);
  std::vector<std::string> TakeNotices() { return std::exchange(notices_, {}); }
  std::vector<std::string> Explain(Time now) const;

 private:
  struct Runner {
    RunnerLedger ledger;
    std::optional<Intent> intent;
  };
  struct PendingCall {
    enum class Kind { kOrder, kReport, kFleet };
    Kind kind = Kind::kReport;
    std::string runner_id;
    std::uint64_t epoch = 0;
    Time expires = 0;
    Key key;
  };
  using Calls = std::vector<duties::HttpCall>;

  // placement.cpp
  void Observe(Time now, const RunnerList& records);
  void ForgetRunners(Time now);
  void TakeOver(Time now, const Input& input);
  void ExpireCalls(Time now);
  void CompletedOrder(Time now, const PendingCall& call, const duties::HttpResult& result);
  void SettleLoad(Time now, RunnerLedger* ledger);

  // steps.cpp
  void Plan(Time now, const Input& input, Calls* calls);
  void DropIntents(Time now);
  int LoadsLeft(Time now) const;
  FleetView View(Time now) const;
  void Execute(Time now, Calls* calls);
  void Step(Time now, const std::string& id, Runner* runner, Calls* calls);
  void StepIntent(Time now, const std::string& id, Runner* runner, Calls* calls);
  void SendOrder(Time now, const std::string& id, Runner* runner, const Order& order, Calls* calls);
  void SendReport(Time now, const std::string& id, Runner* runner, Calls* calls);
  void Send(Time now, PendingCall pending, duties::HttpCall call, Calls* calls);

  // explain.cpp
  void NoteMissing(Time now);
  std::string ExplainKey(Time now, const Key& key, const Demand& demand) const;
  std::string ExplainRunner(const RunnerView& runner) const;

  const Settings settings_;
  Catalog catalog_;
  DemandTable demand_;
  LoadBudget budget_;
  Planner planner_;
  MissingWatch missing_;
  std::vector<std::string> notices_;  // for the log, not taken yet
  FleetScaler scaler_;
  std::map<std::string, Runner> runners_;               // by id
  std::map<std::string, std::set<std::string>> disks_;  // by address: models held there so far
  std::map<std::uint64_t, PendingCall> calls_;          // by tag
  FleetView view_;                                      // as of the last plan
  std::uint64_t next_tag_ = 1;
  std::uint64_t epoch_ = 0;
  std::uint64_t fenced_epoch_ = 0;  // refused because a later holder has acted; only higher epochs send calls
  bool active_ = false;             // held the duty at the last Act, with an engine configured
  Time settle_until_ = 0;           // no planning before this time after a takeover, while records catch up
  Time next_plan_ = 0;
  std::optional<Time> next_timer_;
};

}  // namespace lichenlug::placement

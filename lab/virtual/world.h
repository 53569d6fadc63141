// Plays a day in virtual time: clients, front, dispatchers, network, boxes, store and discovery, with all
// events in one priority queue. Each dispatcher is a Policy hosted as the real core hosts the module: events
// are handled one at a time in order of arrival, actions are carried out before the next event, each attempt
// has one outcome and each request one final answer, and the host answers at the deadline if the policy has
// not.
//
// Deterministic: a day, policy and seed give the same digest on every run and build type.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/slots.h"
#include "lab/base/digest.h"
#include "lab/model/box.h"
#include "lab/model/network.h"
#include "lab/model/workload.h"
#include "lab/rivals/policy.h"
#include "lab/rules/checker.h"
#include "lab/virtual/judge.h"

namespace lichenlug::lab {

struct RunResult {
  std::uint64_t digest = 0, events = 0;
  bool drained = true;  // false: the day was ended with jobs unfinished
  double policy_seconds = 0, wall_seconds = 0;
  std::uint64_t policy_events = 0, arrivals = 0;
  // Wall time spent in the policy and number of events, by kind in the order of rookgw::Event.
  std::array<double, std::variant_size_v<rookgw::Event>> seconds_by_event{};
  std::array<std::uint64_t, std::variant_size_v<rookgw::Event>> count_by_event{};
  std::map<int, Breach> breaches;
  std::map<int, std::uint64_t> breach_count;
  std::uint64_t rule_checks = 0, toppled = 0, probes_refused = 0;
  ScoreKeeper::Result score;
};

// The settings of a dispatcher of the site. `job_rate`: jobs per second that use the full capacity of the
// site.
rookgw::Settings ToldSettings(const Site& site, int ordinal, double job_rate);

class Testbed : public Truth {
 public:
  // `policy` is as in MakePolicy. `policy_seed` changes the random numbers of the dispatchers only, not those
  // of the day.
  Testbed(const Day& day, const std::string& policy, std::uint64_t seed, std::uint64_t policy_seed = 0);
  ~Testbed() override;

  RunResult Run();
  nlohmann::json ReportJson() const;  // data of a report; valid after Run

  double EndAt(const std::string& box, rookgw::RequestId job) const override;
  double WorkOf(rookgw::RequestId id) const override;

 private:
  enum class EventType : std::uint8_t {
    kArrive,
    kClientSend,
    kReachNode,
    kReachBox,
    kConnectFailed,
    kBoxStep,
    kStoreStep,
    kAttemptUpdate,
    kResult,
    kCancel,
    kCancelled,
    kProbe,
    kProbeServed,
    kProbed,
    kTimer,
    kRegistry,
    kListPush,
    kListReply,
    kAnswer,
    kGiveUp,
    kClientLeaves,
    kHostDeadline,
    kFaultStart,
    kFaultEnd,
    kNodeDown,
    kNodeUp,
    kFrontUpdate,
    kSample,
    kAttemptDeadline
  };
  struct Event {
    Time at;
    std::uint64_t order;
    EventType type;
    std::uint32_t a, b;
    std::uint64_t c;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  struct JobState {
    JobSpec spec;
    bool over_share = false;
    int tries = 0;
    Time deadline = 0;
    double work = 0;  // remaining work per slot; checkpoints reduce it
  };
  struct OpenRequest {  // a request at a dispatcher
    Handle job;
    int node = 0, cls = 0;
    std::uint32_t life = 0;
    Time answer_by = 0;
    bool answered = false;
    double work = 0, slots = 1;
    std::uint64_t job_number = 0, key = 0;
    std::vector<std::uint64_t> attempts;  // 0: ended and erased
  };
  struct Attempt {  // an attempt to run a request on a box
    std::uint64_t request = 0;
    int node = 0, number = 0, box = 0, priority = 0;
    std::uint32_t life = 0, epoch = 0;
    double slots = 1, work = 0;
    std::uint64_t key = 0, job_number = 0;
    int cls = 0;
    Time sent = 0;
    bool outcome_known = false;   // the dispatcher knows its outcome
    bool box_done = false;        // the box neither runs nor will receive it
    bool has_connection = false;  // occupies a connection
    bool cancelled = false;
  };
  struct ConnectionPool {
    std::uint32_t epoch = 0;
    int open = 0;
    std::vector<Time> idle;  // start of idleness of each connection, latest last
  };
  struct Node {
    std::unique_ptr<Policy> policy;
    int zone = 0;
    bool up = false, watching = false, push_due = false;
    std::uint32_t life = 0;
    Time offset = 0, down_since = 0;
    std::int64_t version = 0;
    std::deque<rookgw::Event> events;
    bool feeding = false;
    std::unordered_map<int, ConnectionPool> connection_pools;
    std::unordered_map<int, Time> known_start;  // start times of the boxes known from discovery
  };
  struct Change {
    int box;
    rookgw::ListedWorker entry;
  };
  struct ColdWork {
    Time at;
    double work;
    int node;
  };

  void Push(Time at, EventType type, std::uint32_t a = 0, std::uint32_t b = 0, std::uint64_t c = 0);
  void Step(const Event& event);

  // Clients and front end
  void ScheduleArrival();
  void Arrive();
  void ClientSend(Handle job);
  void ReachNode(int node, Handle job);
  enum class Reply : std::uint32_t { kServed, kRefused, kFailed, kUnreachable, kLost };
  void HandleReply(Handle job, Reply reply, Time retry_after);
  void EndJob(Handle job, JobEnd end);
  bool ExceedsQuota(int tenant);

  // Dispatchers
  void StartNode(int node, bool first);
  void StopNode(int node);
  void Feed(int node, rookgw::Event event);
  void Execute(int node, const rookgw::Dispatch& action);
  void Execute(int node, const rookgw::Decline& action);
  void Execute(int node, const rookgw::Fail& action);
  void Execute(int node, const rookgw::CancelAttempt& action);
  void Execute(int node, const rookgw::Probe& action);
  void Execute(int node, const rookgw::SetTimer& action);
  void Execute(int node, const rookgw::Subscribe& action);
  void Execute(int, const rookgw::Log&) {}
  void Answer(std::uint64_t request, Reply reply, Checker::Answer kind, Time retry_after);
  void DropIfDone(std::uint64_t request);
  void HandleAttemptEnd(std::uint64_t attempt, rookgw::Outcome outcome, const rookgw::LoadReport& report);
  void DropAttempt(std::uint64_t attempt);
  bool Current(const Attempt& attempt) const {
    return nodes_[attempt.node].life == attempt.life && nodes_[attempt.node].up;
  }

  // Boxes
  bool Reachable(int node, int box) const;
  bool AcquireConnection(int node, int box, bool* fresh);
  void ReleaseConnection(int node, int box, bool keep);
  void ReachBox(std::uint64_t attempt);
  void HandleBoxNews(int box);
  void Result(std::uint64_t attempt, rookgw::Outcome outcome);
  void ArmBox(int box);
  void ArmStore();
  void RecordColdWork(int box, const Attempt& attempt);
  void StopBox(int box, Box::Life life);
  void StartBox(int box, bool announce);
  double StoreRate() const;

  // Discovery
  void Register(int box, rookgw::ListedWorker::State state, Time after);
  void Registered(std::uint64_t change);
  void SendList(int node, rookgw::ListChanged::Form form);
  bool IsFaultFree(FaultKind kind) const;  // no fault of the kind is active
  std::vector<rookgw::ListedWorker> ListAt(std::int64_t version) const;

  void StartFault(std::size_t i);
  void EndFault(std::size_t i);
  std::vector<int> AffectedSubset(std::size_t i, int count);
  void Sample();
  double Capacity() const;

  const Day day_;
  const Site& site_;
  const std::string policy_;
  const std::uint64_t seed_, policy_seed_;
  Random faults_random_, client_random_, box_random_, discovery_random_;
  Network net_;
  std::vector<Box> boxes_;
  std::vector<std::string> box_ids_;
  std::unordered_map<std::string, int> box_by_id_;
  std::vector<Time> box_armed_;
  std::vector<char> toppled_;
  std::vector<std::deque<ColdWork>> cold_work_;
  std::unique_ptr<Workload> workload_;
  std::vector<Node> nodes_;
  std::vector<int> front_;  // the dispatchers that the front considers alive
  SlotTable<JobState> jobs_{50'000'000};
  SlotTable<OpenRequest> open_requests_{50'000'000};
  SlotTable<Attempt> attempts_{50'000'000};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  Time now_ = 0;
  bool arrivals_over_ = false;
  JobSpec next_job_;
  FairShare store_;
  Time store_armed_ = kNever;
  std::vector<Change> changes_;  // pending and registered, by number; log_ lists the registered ones
  std::vector<std::uint64_t> log_;
  std::vector<rookgw::ListedWorker> first_list_;
  Time discovery_busy_until_ = 0;
  std::vector<std::pair<Time, double>> quota_;
  double job_rate_ = 0;                     // jobs per second that use the full capacity of the site
  std::vector<std::vector<int>> affected_;  // affected boxes or dispatchers, by fault
  std::vector<std::string> tokens_;
  std::unordered_map<std::string, std::uint32_t> token_index_;
  std::unordered_map<std::uint64_t, rookgw::LoadReport> carried_;  // load reports in flight, by event order
  std::vector<BoxNews> news_;
  std::vector<rookgw::Action> actions_;
  Checker checker_;
  ScoreKeeper score_keeper_;
  Digest digest_;
  RunResult result_;
};

}  // namespace lichenlug::lab

// The decisions of one dispatcher node: types, events, actions and class Scheduler.
//
// A Scheduler receives one event at a time, with the current time, and appends the resulting actions to a
// list. It does no I/O, reads no clock, starts no thread and shares no state with other instances, so that a
// node, a test or a simulator can drive it. The same settings, seed and events always produce the same
// actions.
//
// Units: times are microseconds on any monotonic clock; durations are microseconds; slots, memory, weights
// and shares are plain numbers. A Scheduler is not thread-safe: create one per node and call it from one
// thread. Strings and lists passed in are copied if they are kept.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace rookgw {

using Time = std::int64_t;        // microseconds: a point on the caller's clock, or a duration
using RequestId = std::uint64_t;  // unique within the lifetime of a node
inline constexpr int kNone = -1;  // no class, zone, kind, tenant or cell

// ---- Settings: passed once, when a node starts -----------------------------------------------------------

// Whether a request may run again: always / only in a group of workers that deduplicates by key / never.
enum class Effect { kRepeatable, kKeyed, kUnsafe };
enum class KeyScope { kAll, kZone, kCell };  // the group that deduplicates a keyed request

struct ClassSettings {
  std::string name;
  Time aim = 0;  // an answer within aim + stretch x its run time earns the full worth
  double stretch = 0;
  Time deadline = 0;  // total time that a client waits
  double worth = 1;
  double late_value = 0;  // share of the worth that an answer after the aim still earns
  Effect effect = Effect::kUnsafe;
  KeyScope scope = KeyScope::kAll;
  Time window = 0;   // keyed: how long repeats are deduplicated, from the first attempt that may have run
  int kind = kNone;  // required machine kind; kNone: any
  int priority = 0;
  bool stream = false;
};

struct TenantSettings {
  std::string name;
  double portion = 0;
  double quota_per_s = 0;  // requests per second within its share, over all nodes; 0: all exceed the share
};

struct Settings {
  int instances = 1;  // number of nodes in this tier
  int ordinal = 0;    // index of this node among them
  std::vector<std::string> zones, kinds;
  int my_zone = kNone;
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;  // share of its worth kept by a request over its tenant's share
  Time tick = 1000;             // events arrive at most this often
  // Limits
  int max_attempts = 1;
  bool probes = false, cancelling = false, second_copies = false, retry_after = false;
  Time max_retry_after = 0;
  Time connect_timeout = 200000;                    // how long the node tries to connect to a worker
  double cpu_us_per_s = 0, cpu_us_per_request = 0;  // 0: no such limit
  // Available information
  bool repeats_marked = false;   // RequestArrived::repeat marks a client's retries
  bool list_on_request = false;  // the worker list arrives only after a Subscribe
  bool reports_starts = false;   // AttemptUpdate::kStarted events arrive
  bool reports_accepts = false;  // AttemptUpdate::kAccepted events arrive
  Time progress = 0;             // interval of AttemptUpdate::kProgress events; 0: none
  enum class Reports { kNever, kProbe, kAnswers } reports = Reports::kNever;
  bool reports_slots = false, reports_memory = false, reports_waiting = false, reports_active = false;
  bool reports_weights = false, weights_live = false;  // ListedWorker::weight: a size / falls with load
  // Fees: deducted from the score, as shares
  double fee_cross_zone = 0, fee_fetch = 0, fee_handshake = 0, fee_late = 0, fee_probe = 0, fee_waste = 0;
  // Guarantees
  Time poll_interval = 0, drain_grace = 0;
  Time silence = 0;            // ejects a worker that starts no queued job for this long; 0: from class aims
  int failures_per_error = 2;  // failures counted per error response; 3 eject a worker for the class
  double cold_share = 1, overload_factor = 1;
  Time ramp_time = 0, overload_for = 0;
};

// ---- Events ----------------------------------------------------------------------------------------------

struct ListedWorker {
  enum class State { kServing, kDraining, kGone };
  std::string id;
  State state = State::kServing;
  Time since = 0;  // time of its last start; 0: long ago
  int cell = kNone, kind = kNone, zone = kNone;
  double weight = 1;
  double slots = 0;  // reported by the worker, shared by all nodes; 0: unknown, so estimated
  std::vector<std::uint64_t> holds = {};  // values that RequestArrived::needs may have, sorted
};

struct ListChanged {
  enum class Form { kPatch, kWhole, kStaleCopy, kFailed };  // changes / all / all, maybe stale / call failed
  Form form = Form::kPatch;
  std::int64_t version = 0;
  std::span<const ListedWorker> workers;  // only needs to live for the call
};

struct RequestArrived {
  RequestId id = 0;
  std::optional<std::uint64_t> key;  // hashed to find the home; without a key the class name is hashed
  std::uint64_t needs = 0;           // only workers with it in `holds` are eligible; 0: any
  double slots = 1, memory = 0;
  std::optional<Time> effort;  // estimated core time
  // Deadline of the final answer. If retries are not marked, a request with less time left than the longest
  // wait seen in its class counts as a retry whose aim began that much earlier.
  Time valid_until = 0;
  int tenant = kNone, cls = 0;
  bool repeat = false;
};

struct LoadReport {
  std::optional<double> free_slots, free_memory, waiting, active;
};

struct AttemptUpdate {
  enum class Kind { kAccepted, kStarted, kProgress };  // kAccepted: the worker has received the job
  RequestId id = 0;
  int attempt = 0;
  Kind kind = Kind::kStarted;
  double share_done = 0;
};

// kVoid: the attempt never ran and says nothing about the worker.
enum class Outcome { kServed, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kVoid };

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  std::string worker;
  Outcome outcome = Outcome::kServed;
  bool complete = false;  // the request needs no further answer
  Time took = 0;
  LoadReport report;
};

struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

struct RequestAbandoned {  // the client no longer waits for it
  RequestId id = 0;
};

struct ProbeEnded {
  std::string worker;
  bool ok = false;
  Time took = 0;
  LoadReport report;
};

struct PeerReport {  // what the other nodes report about a worker
  std::string worker;
  double slots = 0;     // slots in use by them in total, as far as they reported
  int failing = kNone;  // several nodes agree that it fails jobs of this class; `slots` is then unset
};

struct TimerFired {
  std::string token;
};

using Event = std::variant<ListChanged, RequestArrived, AttemptUpdate, AttemptEnded, StreamStarted,
                           RequestAbandoned, ProbeEnded, TimerFired, PeerReport>;

// ---- Actions ---------------------------------------------------------------------------------------------

struct Dispatch {  // attempts of a request are numbered from 0 in the order of these actions
  RequestId id = 0;
  std::string worker;
  Time timeout = 0;  // 0: until the client stops waiting
};
struct Decline {  // ends the request; the client may safely retry
  RequestId id = 0;
  Time retry_after = 0;
};
struct Fail {  // ends the request; it may or may not have run
  RequestId id = 0;
};
struct CancelAttempt {
  RequestId id = 0;
  int attempt = 0;
};
struct Probe {
  std::string worker;
};
struct SetTimer {
  Time span = 0;
  std::string token;
};
struct Subscribe {  // request the worker list and its further changes
};
struct Log {
  std::string text;
};

using Action = std::variant<Dispatch, Decline, Fail, CancelAttempt, Probe, SetTimer, Subscribe, Log>;

// ---- The decisions ---------------------------------------------------------------------------------------

// Sizes of a Scheduler's tables, to monitor that they stay bounded.
struct TableSizes {
  std::size_t workers = 0, requests = 0, waiting = 0, keys = 0;
};

class Scheduler {
 public:
  // Throws std::invalid_argument, naming the field, if the settings are invalid.
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Must be called once, before any event. Sets timers and subscribes to the worker list if it is not pushed.
  void Start(Time now, std::vector<Action>* actions);

  // Processes one event. A `now` before the latest one passed counts as the latest one. Events about unknown
  // requests, attempts, workers or timers are ignored, and so is a request whose id is already known. Throws
  // std::out_of_range for a class, tenant, zone or kind that is not in the settings.
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  // Adds a class and returns its index. Throws std::invalid_argument as the constructor does.
  int AddClass(ClassSettings added);

  // Sets the current number of nodes in the tier.
  void SetInstances(int instances);

  TableSizes sizes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rookgw

// The decisions of one dispatcher node: types, events, actions and class Scheduler.
//
// A Scheduler is told the time and one event at a time and appends what is to be done. It does no I/O, reads
// no clock, starts no thread and shares nothing with other instances, so it can be driven by a node, a test
// or a simulator alike. The same settings, seed and events always give the same actions.
//
// Units: times are microseconds on any clock that only goes forward; spans are microseconds; slots, memory,
// weights and shares are plain numbers. A Scheduler is not thread-safe: give each node one and call it from
// one thread. Strings and lists handed in are copied where they are kept.
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

using Time = std::int64_t;        // microseconds, a point on the caller's clock or a span
using RequestId = std::uint64_t;  // unique within a node's life
inline constexpr int kNone = -1;  // "no such class, zone, kind, tenant or cell"

// ---- Settings: given once, at the start of a node's life -------------------------------------------------

enum class Effect {
  kRepeatable,
  kKeyed,
  kUnsafe
};                                           // may repeat freely / within a group that drops repeats / never
enum class KeyScope { kAll, kZone, kCell };  // the group of workers that drops a keyed request's repeats

struct ClassSettings {
  std::string name;
  Time aim = 0;  // an answer within aim + stretch x own work earns the worth
  double stretch = 0;
  Time deadline = 0;  // how long a client waits in all
  double worth = 1;
  double late_value = 0;  // share of the worth kept by an answer after the aim
  Effect effect = Effect::kUnsafe;
  KeyScope scope = KeyScope::kAll;
  Time window = 0;   // keyed: how long repeats are dropped, from the first attempt that may have run
  int kind = kNone;  // machine kind it needs, or any
  int priority = 0;
  bool stream = false;
};

struct TenantSettings {
  std::string name;
  double portion = 0;
  double quota_per_s = 0;  // requests a second over all nodes inside its share; 0: none is inside
};

struct Settings {
  int instances = 1;  // nodes of this tier
  int ordinal = 0;    // this node's number among them
  std::vector<std::string> zones, kinds;
  int my_zone = kNone;
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;  // part of its worth that a request over its tenant's share keeps
  Time tick = 1000;             // events come at most this often
  // Limits
  int max_attempts = 1;
  bool probes = false, cancelling = false, second_copies = false, retry_after = false;
  Time max_retry_after = 0;
  Time connect_timeout = 200000;  // how long the node tries to open a connection to a worker
  double cpu_us_per_s = 0, cpu_us_per_request = 0;  // 0: no such limit
  // What is told
  bool repeats_marked = false;   // RequestArrived::repeat tells a client's repeats
  bool list_on_request = false;  // the list comes only when asked for
  bool reports_starts = false;   // AttemptUpdate::kStarted comes
  bool reports_accepts = false;  // AttemptUpdate::kAccepted comes
  Time progress = 0;             // AttemptUpdate::kProgress comes this often; 0: never
  enum class Reports { kNever, kProbe, kAnswers } reports = Reports::kNever;
  bool reports_slots = false, reports_memory = false, reports_waiting = false, reports_active = false;
  bool reports_weights = false, weights_live = false;  // ListedWorker::weight says the size / falls with load
  // Fees: points off the result, as shares
  double fee_cross_zone = 0, fee_fetch = 0, fee_handshake = 0, fee_late = 0, fee_probe = 0, fee_waste = 0;
  // Guarantees
  Time poll_interval = 0, drain_grace = 0;
  Time silence = 0;  // a worker this long silent with jobs unstarted is ejected; 0: by the classes' aims
  int error_failures = 2;  // what an answer with an error counts for; 3 puts the worker aside for its class
  double cold_share = 1, overload_factor = 1;
  Time ramp_time = 0, overload_for = 0;
};

// ---- Events ----------------------------------------------------------------------------------------------

struct ListedWorker {
  enum class State { kServing, kDraining, kGone };
  std::string id;
  State state = State::kServing;
  Time since = 0;  // when it last started; 0: long ago
  int cell = kNone, kind = kNone, zone = kNone;
  double weight = 1;
  double slots = 0;  // that it says it has, shared by all nodes; 0: not told, they are learned
  std::vector<std::uint64_t> holds = {};  // what RequestArrived::needs may name, sorted
};

struct ListChanged {
  enum class Form { kPatch, kWhole, kSaved, kFailed };  // changes / all / all, maybe old / a call failed
  Form form = Form::kPatch;
  std::int64_t version = 0;
  std::span<const ListedWorker> workers;  // needs to live for the call only
};

struct RequestArrived {
  RequestId id = 0;
  std::optional<std::uint64_t> key;  // hashed to the home; without one the class is
  std::uint64_t needs = 0;           // only workers that hold it are eligible; 0: any
  double slots = 1, memory = 0;
  std::optional<Time> effort;  // a guess of its core time
  // A final answer is owed by then. Where repeats are not marked, a request with less time left than the
  // longest wait seen in its class counts as a repeat whose aim began that much earlier.
  Time valid_until = 0;
  int tenant = kNone, cls = 0;
  bool repeat = false;
};

struct LoadReport {
  std::optional<double> free_slots, free_memory, waiting, active;
};

struct AttemptUpdate {
  enum class Kind { kAccepted, kStarted, kProgress };  // kAccepted: the worker said that it has the job
  RequestId id = 0;
  int attempt = 0;
  Kind kind = Kind::kStarted;
  double share_done = 0;
};

// kVoid: the attempt never ran and says nothing of the worker.
enum class Outcome { kServed, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kVoid };

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  std::string worker;
  Outcome outcome = Outcome::kServed;
  bool complete = false;  // nothing more is owed for the request
  Time took = 0;
  LoadReport report;
};

struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

struct RequestAbandoned {  // nobody waits for it any more
  RequestId id = 0;
};

struct ProbeEnded {
  std::string worker;
  bool ok = false;
  Time took = 0;
  LoadReport report;
};

struct PeerReport {  // what the other nodes tell of a worker
  std::string worker;
  double slots = 0;     // they hold there together, as far as they told
  int failing = kNone;  // nodes that agree say that it fails jobs of this class; `slots` is then not told
};

struct TimerFired {
  std::string token;
};

using Event = std::variant<ListChanged, RequestArrived, AttemptUpdate, AttemptEnded, StreamStarted,
                           RequestAbandoned, ProbeEnded, TimerFired, PeerReport>;

// ---- Actions ---------------------------------------------------------------------------------------------

struct Dispatch {  // the first for a request is attempt 0, the next 1, and so on
  RequestId id = 0;
  std::string worker;
  Time timeout = 0;  // 0: as long as the client waits
};
struct Decline {  // ends the request; the client may safely come again
  RequestId id = 0;
  Time retry_after = 0;
};
struct Fail {  // ends the request; promises nothing
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
struct Subscribe {  // ask for the list and its changes from now on
};
struct Log {
  std::string text;
};

using Action = std::variant<Dispatch, Decline, Fail, CancelAttempt, Probe, SetTimer, Subscribe, Log>;

// ---- The decisions ---------------------------------------------------------------------------------------

// How much a Scheduler holds, to watch that it stays bounded.
struct TableSizes {
  std::size_t workers = 0, requests = 0, waiting = 0, keys = 0;
};

class Scheduler {
 public:
  // Throws std::invalid_argument, naming the field, when settings make no sense.
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // First call of a life, before any event; sets timers and asks for the list where it must be asked.
  void Start(Time now, std::vector<Action>* actions);

  // Tells one event. `now` never goes back: an earlier time counts as the latest one told. Events about
  // requests, attempts, workers or timers that are not held are passed over, and so is a request whose id is
  // held already. A class, tenant, zone or kind outside the settings throws std::out_of_range.
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  // Adds a class and returns its number. Throws std::invalid_argument as the constructor does.
  int AddClass(ClassSettings added);

  // How many nodes the tier has now.
  void SetInstances(int instances);

  TableSizes sizes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rookgw

// The decisions of one dispatcher node. Interface: include/rookgw/brain.h. Design: docs/design.md.
//
// Read top-down. A job's key hashes to its home on a ring of workers; its set widens clockwise from there
// over eligible workers until their usable room covers the key's estimated demand; the least loaded member
// runs it. That is the ordinary path (section 1), fed by sections 2 (demand) and 3 (room). Every send and
// every ending passes the gate of section 4, which keeps the four rules. The rest are the exceptions.
#include "rookgw/brain.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace rookgw {
namespace {

constexpr Time kMs = 1000, kSecond = 1000 * kMs;
constexpr Time kShrinkEvery = kSecond;      // least time between reductions of a set
constexpr Time kRateMemory = 5 * kSecond;   // rates are averages over about this long
constexpr Time kReportMemory = 1500 * kMs;  // a report's news fades to the fleet's mean over about this long
constexpr Time kReportLag = 500 * kMs;      // own sends this long before a report came may not be in it
constexpr Time kKeepGone = 30 * kSecond;    // news of attempts at a worker may still come after it is gone
constexpr Time kTakePatience = 240 * kMs;   // workers that were well said within 160 ms that they have a job
constexpr std::size_t kMostKeys = 20000;    // keys remembered; the oldest go first
constexpr double kPoints = 16;              // ring points of a worker of mean size: evens out the arcs
constexpr double kMostPoints = 64;
constexpr std::size_t kRankAll = 8;  // sets up to this size are ranked, wider ones sampled
constexpr double kLeastRoom = 0.5;   // of a worker's slots: keeps sets narrow where nothing is free
constexpr double kAimWork = 0.6;     // of a run, on the safe side, is own work that stretches the aim
constexpr double kHopeWork = 0.8;    // the same, on the other safe side, for calling off what was sent
constexpr double kZoneGap = 0.1;  // of a zone's slots free: under it keys cross to zones emptier by as much
constexpr std::size_t kOverflow = 2;  // workers looked at past a set in which none can start the job
constexpr int kSamples = 4;
constexpr std::size_t kLongestWalk = 256;  // ring steps for one decision, so that its cost has an end

std::uint64_t Mix(std::uint64_t x) {  // splitmix64's finisher: the same on every node
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t HashText(const std::string& text) {  // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
  return Mix(h);
}

struct Mean {  // a running mean that starts as a plain average and then forgets
  double value = 0, weight = 0;
  void Add(double x, double most = 200) {
    weight = std::min(weight + 1, most);
    value += (x - value) / weight;
  }
};

struct Move {  // an own send (+slots) or end (-slots) that a report may not show yet
  Time at;
  double slots;
};

struct Trust {  // in a worker's taking jobs of one class
  int untaken = 0, doubt = 0;
  Time rests_until = 0;
};

struct Worker {
  std::string id;
  std::uint64_t hash = 0, seen_in = 0;  // and the last walk that came past it
  ListedWorker::State state = ListedWorker::State::kServing;
  bool listed = false;
  Time since = 0;
  int cell = kNone, kind = kNone, zone = kNone;
  double weight = 1;
  int points = 0;
  // Room
  Time report_at = -1, full_at = 0;
  double free = 0, usual_free = 0, most_free = 0, least_free = -1, learned = 0, held = 0;
  std::vector<Move> moves;
  // Health
  int unstarted = 0, strikes = 0;
  Time silent_since = 0, ejected_until = 0, probed_at = 0;
  std::vector<Trust> trust;  // by class
  // Cold
  double budget = 0;
  Time budget_at = 0, unlisted_at = 0;
};

enum class Fate : std::uint8_t { kOut, kNeverRan, kMayHaveRun };

struct Attempt {
  int worker, cell, zone;
  Time sent, started = 0;
  Fate fate = Fate::kOut;
  bool untaken = true, missed = false;  // no word of it yet; and none when there should have been
};

struct Request {
  RequestId id = 0;
  std::uint64_t hash = 0;
  double slots = 1;
  Time valid_until = 0, latest_start = 0;
  int cls = 0, tenant = kNone;
  bool over_share = false, ended = false, waiting = false, streaming = false;
  std::uint64_t turn = 0;
  double rank = 0;  // in the waiting line
  std::vector<Attempt> attempts;
};

struct Key {
  double count = 0;  // decayed number of arrivals
  Time seen = 0, shrunk = 0;
  std::size_t width = 1;
};

}  // namespace

class Brain::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    Validate();
    run_.resize(s_.classes.size()), longest_wait_.resize(s_.classes.size());
    quota_.resize(s_.tenants.size());
    kind_size_.resize(s_.kinds.size()), kind_slowness_.resize(s_.kinds.size());
    zone_fill_.resize(s_.zones.size());
  }

  void Start(Time now) {
    now_ = now;
    for (std::size_t t = 0; t < quota_.size(); ++t) quota_[t] = {now, QuotaBurst(static_cast<int>(t))};
    if (s_.list_on_request) AskForList();
    Act(SetTimer{kSweepEvery, "sweep"});
  }

  void Handle(Time now, const Event& event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& e) { On(e); }, event);
    ArmTimer();
  }

  std::vector<Action>* out = nullptr;
  Holdings holdings() const { return {workers_.size(), requests_.size(), waiting_.size(), keys_.size()}; }

 private:
  // ---- 1. The ordinary path ----

  void On(const RequestArrived& e) {
    const ClassSettings& cls = s_.classes.at(e.cls);
    if (e.tenant != kNone) s_.tenants.at(e.tenant);
    auto [it, fresh] = requests_.try_emplace(e.id);
    if (!fresh) return;
    Request& r = it->second;
    r.id = e.id;
    r.hash = e.key ? Mix(*e.key ^ 0x9e3779b97f4a7c15ULL) : HashText(cls.name);
    r.slots = std::max(e.slots, 0.0);
    r.valid_until = e.valid_until, r.cls = e.cls, r.tenant = e.tenant;
    // A client's repeat keeps the time of its first try, told by how much of the longest wait seen is left to
    // it: once its aim has passed it is not worth slots that others could still use.
    longest_wait_[e.cls] = std::max(longest_wait_[e.cls], r.valid_until - now_);
    const bool repeat = e.repeat || !s_.repeats_marked;
    const Time first_try = repeat ? r.valid_until - longest_wait_[e.cls] : now_;
    r.latest_start = std::min(first_try + cls.aim, r.valid_until);
    r.over_share = TakeQuota(e.tenant);
    r.turn = ++turns_;
    due_.push({r.valid_until - EndMargin(), r.id});
    arrivals_.Add(now_);
    const double demand = CountArrival(r);
    if (!Place(r, demand)) Wait(r);
  }

  // Finds the set and sends to its least loaded member. False: nobody eligible can start it in its aim.
  bool Place(Request& r, double demand) {
    if (ring_.empty()) return false;
    Key& key = keys_[r.hash];
    const std::size_t home = HomeOf(r.hash), longest = std::min(ring_.size(), kLongestWalk);
    ++walk_;
    members_.clear(), across_.clear();
    double room = 0;
    std::size_t needed = 0;
    bool any_idle = false;
    for (std::size_t step = 0; step < longest; ++step) {
      const int w = ring_[(home + step) % ring_.size()].second;
      if (std::exchange(workers_[w].seen_in, walk_) == walk_ || !Eligible(r, w)) continue;
      if (Across(w, r)) {
        if (across_.size() < kOverflow) across_.push_back(w);
        continue;
      }
      members_.push_back(w);
      room += std::max(0.0, Room(w, r));
      any_idle = any_idle || Idle(w, r);
      if (needed == 0 && room >= demand) needed = members_.size();
      if (needed == 0 || members_.size() < key.width) continue;
      if (any_idle || members_.size() >= std::max(needed, key.width) + kOverflow) break;
    }
    if (members_.empty()) members_.swap(across_);
    if (members_.empty()) return false;
    if (needed == 0) needed = members_.size();
    if (needed >= key.width || now_ - key.shrunk >= kShrinkEvery) key.width = needed, key.shrunk = now_;
    const std::size_t width = std::min(key.width, members_.size());
    const int best = LeastLoaded(r, width);
    // A job that would queue in its set looks past it first: a new copy costs less than a wait, and where a
    // few keys draw much of the traffic their sets would queue beside idle workers.
    if (Idle(best, r)) return Send(r, best);
    members_.insert(members_.end(), across_.begin(), across_.end());
    for (std::size_t i = width; i < members_.size(); ++i)  // the nearest, so that overflow stays together too
      if (Idle(members_[i], r)) return Send(r, members_[i]);
    return Usable(best, r) && Send(r, best);
  }

  // Nodes that share a set hold the same old reports: in wide sets each ranks a few members drawn by its own
  // seed, so that they do not all crowd the one that looked best.
  int LeastLoaded(const Request& r, std::size_t width) {
    int best = members_[0];
    double least = std::numeric_limits<double>::infinity();
    const bool rank = width <= kRankAll;
    for (std::size_t i = 0; i < (rank ? width : kSamples); ++i) {
      const int w = members_[rank ? i : random_() % width];
      const double load = 1 - Free(workers_[w]) / Total(workers_[w]);
      if (load < least) least = load, best = w;
    }
    if (rank || Usable(best, r)) return best;
    for (std::size_t i = 0; i < width; ++i)
      if (Usable(members_[i], r)) return members_[i];
    return best;
  }

  // Where crossing zones is charged, sets are made of the own zone's workers and others take what overflows.
  // Where the own zone is fuller than the others, a share of the keys has its sets on the ring of all zones:
  // the same keys at every node that sees the same, so that they keep their copies.
  bool Across(int index, const Request& r) const {
    if (s_.fee_cross_zone <= 0 || s_.my_zone == kNone || workers_[index].zone == s_.my_zone) return false;
    return static_cast<double>(Mix(r.hash) >> 11) * 0x1p-53 >= spill_;
  }

  void BalanceZones() {
    if (s_.fee_cross_zone <= 0 || s_.my_zone == kNone) return;
    Mean others;
    for (std::size_t z = 0; z < zone_fill_.size(); ++z)
      if (static_cast<int>(z) != s_.my_zone && zone_fill_[z].weight > 0) others.Add(zone_fill_[z].value);
    const double own = zone_fill_[s_.my_zone].value;  // free slots by slots
    const double step = kSweepEvery / static_cast<double>(kRateMemory);
    if (own < std::min(kZoneGap, others.value - kZoneGap)) spill_ = std::min(1.0, spill_ + step);
    if (own > std::min(2 * kZoneGap, others.value)) spill_ = std::max(0.0, spill_ - step);
  }

  std::size_t HomeOf(std::uint64_t hash) const {
    return std::lower_bound(ring_.begin(), ring_.end(), std::pair{hash, -1}) -
           ring_.begin();  // past: the first
  }

  bool Eligible(const Request& r, int index) {
    const Worker& w = workers_[index];
    const int kind = s_.classes[r.cls].kind;
    if (kind != kNone && w.kind != kind) return false;
    const Trust& trust = w.trust[r.cls];
    if (Ejected(w) || now_ < trust.rests_until || (s_.takes_told && trust.doubt > 0 && trust.untaken > 0))
      return false;
    for (const Attempt& a : r.attempts)
      if (a.worker == index) return false;
    return MaySend(r, index);
  }

  // ---- 2. Demand: rate x slots x run time ----

  // Counts an arrival and returns the key's demand in slots. The arrival itself is left out of the rate: at
  // the moment of an arrival a count that holds it is always too high.
  double CountArrival(const Request& r) {
    if (keys_.size() >= kMostKeys) ForgetKeys();
    Key& key = keys_[r.hash];
    if (key.seen != 0) key.count *= std::exp(-static_cast<double>(now_ - key.seen) / kRateMemory);
    key.seen = now_;
    return Demand(key.count++, r);
  }

  double DemandOf(const Request& r) { return Demand(keys_[r.hash].count, r); }

  double Demand(double count, const Request& r) const {
    return count / kRateMemory * Nodes() * r.slots * RunTime(r.cls);
  }

  // Nodes whose traffic falls on the same sets, as far as it is like this node's.
  double Nodes() const {
    if (!FleetWide()) return 1;
    const bool zoned = s_.fee_cross_zone > 0 && s_.my_zone != kNone && !s_.zones.empty();
    return std::max(1.0, static_cast<double>(s_.instances) / (zoned ? s_.zones.size() : 1));
  }

  bool FleetWide() const { return s_.reports != Settings::Reports::kNever && s_.reports_slots; }

  // Mean run time of the class; before its first samples that of all classes, before any the class's aim.
  double RunTime(int cls) const {
    const double fallback = run_all_.weight >= 5 ? run_all_.value : static_cast<double>(s_.classes[cls].aim);
    return std::max<double>(kMs, run_[cls].weight >= 5 ? run_[cls].value : fallback);
  }

  // Run time on this kind of machine, by the mean of all.
  double Slowness(const Worker& w) const {
    if (w.kind == kNone || kind_slowness_[w.kind].weight < 20) return 1;
    return std::clamp(kind_slowness_[w.kind].value, 0.25, 4.0);
  }

  double MeanRun() const {
    return std::max<double>(kMs, run_all_.weight > 0 ? run_all_.value : s_.classes[0].aim);
  }

  void ForgetKeys() {
    std::vector<std::pair<Time, std::uint64_t>> ages;
    for (const auto& [hash, key] : keys_) ages.push_back({key.seen, hash});
    std::nth_element(ages.begin(), ages.begin() + ages.size() / 2, ages.end());
    for (std::size_t i = 0; i < ages.size() / 2; ++i) keys_.erase(ages[i].second);
  }

  // ---- 3. Room: what a worker can still take ----

  // Free slots less waiting jobs, as far as known: the last report, fading to the fleet's mean as it ages,
  // less what this node has sent since it was made; without reports a learned total less own held slots.
  double Free(const Worker& w) const {
    const double total = Total(w);
    if (!FleetWide()) return total - w.held;
    double free = mean_free_.weight > 0 ? mean_free_.value * total : total;
    if (w.report_at >= 0) {
      const double age = now_ - w.report_at;
      free += (w.usual_free - free) * std::exp(-age / kReportMemory);
      const bool full = w.full_at != 0 && now_ - w.full_at < MeanRun();  // reports made before cannot undo it
      if (full) free = std::min(free, w.least_free);
      if (!full) free += (w.free - w.usual_free) * std::exp(-(age + kReportLag) / (2 * MeanRun()));
    }
    for (const Move& m : w.moves)
      if (m.at > w.report_at - kReportLag) free -= m.slots;
    // A job of this node's that has not started tells at once, whatever old reports say, how long the queue
    // is.
    if (s_.starts_told && w.unstarted > 0 && !blind_)
      free = std::min(free, 1 - (now_ - w.silent_since) / MeanRun() * total);
    return free;
  }

  double Total(const Worker& w) const {
    if (FleetWide()) return std::max({w.most_free, mean_total_.value, 1.0});
    if (w.learned > 0) return w.learned;
    const double others = learned_held_ > 0 ? learned_total_ / learned_held_ : 2;  // at the others' mean load
    return std::max(1.0, w.held * others);
  }

  // Room counts the short queue that a job can stand in and still start within half its aim.
  double Room(int index, const Request& r) const {
    const Worker& w = workers_[index];
    const double free = Free(w) + Total(w) * 0.5 * s_.classes[r.cls].aim / RunTime(r.cls);
    return std::max(free, kLeastRoom * Total(w));
  }

  bool Usable(int index, const Request& r) const {
    const Worker& w = workers_[index];
    if (FleetWide() ? mean_total_.weight == 0 : w.learned == 0) return true;  // nothing is known against it
    const double behind = r.slots - Free(w);       // slots that have to come free first
    if (r.over_share && behind > 0) return false;  // a tenant's flood fills what is free, no queue
    const double wait = behind <= 0 ? 0 : behind / Total(w) * MeanRun() * Slowness(w);
    // A queue is counted on only as far as one was ever reported: some workers have none.
    if (FleetWide() && Free(w) - r.slots < least_fill_ * Total(w) - 0.5) return false;
    return now_ + wait <= StartBy(w, r, kAimWork);
  }

  // The time by which an average job of its class has to start at this worker to end within its aim.
  double StartBy(const Worker& w, const Request& r, double own_work) const {
    return r.latest_start + (own_work * s_.classes[r.cls].stretch - Slowness(w)) * RunTime(r.cls);
  }

  // Has a free slot for it now. A job that leaves its set pays for a new copy; it should not queue as well.
  bool Idle(int index, const Request& r) const {
    return Free(workers_[index]) >= r.slots && Usable(index, r);
  }

  void NoteMove(Worker& w, double slots) {
    w.held += slots;
    if (w.moves.size() >= 16)
      std::erase_if(w.moves, [this](const Move& m) { return m.at < now_ - kReportMemory; });
    w.moves.push_back({now_, slots});
  }

  void NoteReport(Worker& w, const LoadReport& report) {
    if (!report.free_slots) return;
    double waiting = report.waiting.value_or(0);
    // Where only the jobs held are told: what they are more than the slots in use must be waiting.
    if (!report.waiting && report.active && *report.free_slots < 1 && w.most_free > 0)
      waiting = std::max(0.0, *report.active - w.most_free);
    w.free = *report.free_slots - waiting;
    least_fill_ = std::min(least_fill_, w.free / std::max(1.0, w.most_free));
    const double keep =
        w.report_at < 0 ? 0 : std::exp(-static_cast<double>(now_ - w.report_at) / kReportMemory);
    w.usual_free = w.free + keep * (w.usual_free - w.free);
    w.most_free =
        std::max(w.most_free, *report.free_slots +
                                  (report.active && *report.free_slots >= 1 ? *report.active - waiting : 0));
    w.least_free = std::min(w.least_free, w.free);
    w.report_at = now_;
    std::erase_if(w.moves, [this](const Move& m) { return m.at <= now_ - kReportLag; });
    mean_total_.Add(w.most_free);
    mean_free_.Add(w.free / Total(w));
    if (w.zone != kNone) zone_fill_[w.zone].Add(w.free / Total(w), 50);
  }

  // 'Full' is fresher news than any report and weighs as one that finds no room at all.
  void NoteFull(Worker& w) {
    w.least_free = std::min(w.least_free, w.free);
    w.usual_free += (w.least_free - w.usual_free) / 2;
    w.full_at = now_;
  }

  // ---- 4. The gate: every send and every ending ----

  // The four rules, for one more attempt of r at this worker.
  bool MaySend(const Request& r, int index) {
    Worker& w = workers_[index];
    if (r.ended || now_ >= r.valid_until - EndMargin()) return false;         // no answer would be in time
    if (!w.listed || w.state != ListedWorker::State::kServing) return false;  // drains kept
    if (static_cast<int>(r.attempts.size()) >= s_.max_attempts) return false;
    if (Cold(w) && !ColdMayTake(w, r)) return false;  // not pushed over
    if (Open(r) >= (s_.second_copies ? 2 : 1)) return false;
    const Attempt* first = FirstThatMayHaveRun(r);
    if (first == nullptr) return true;
    const ClassSettings& cls = s_.classes[r.cls];
    if (cls.effect == Effect::kRepeatable) return true;
    if (cls.effect == Effect::kUnsafe) return false;
    if (now_ + 2 * s_.tick >= first->sent + cls.window) return false;
    if (cls.scope == KeyScope::kZone) return w.zone != kNone && w.zone == first->zone;
    if (cls.scope == KeyScope::kCell) return w.cell != kNone && w.cell == first->cell;
    return true;
  }

  static std::ptrdiff_t Open(const Request& r) {
    return std::ranges::count(r.attempts, Fate::kOut, &Attempt::fate);
  }

  static const Attempt* FirstThatMayHaveRun(const Request& r) {
    for (const Attempt& a : r.attempts)
      if (a.fate != Fate::kNeverRan) return &a;
    return nullptr;
  }

  bool MayDecline(const Request& r) const {
    const ClassSettings& cls = s_.classes[r.cls];
    return FirstThatMayHaveRun(r) == nullptr || cls.effect == Effect::kRepeatable ||
           (cls.effect == Effect::kKeyed && cls.scope == KeyScope::kAll);
  }

  bool Send(Request& r, int index) {
    if (!MaySend(r, index)) return false;
    Worker& w = workers_[index];
    if (Cold(w)) w.budget -= r.slots * RunTime(r.cls) / kSecond;
    r.attempts.push_back({index, w.cell, w.zone, now_});
    NoteMove(w, r.slots);
    if (w.unstarted++ == 0) w.silent_since = now_;
    ++w.trust[r.cls].untaken;
    StopWaiting(r);
    Act(Dispatch{r.id, w.id, 0});
    if (s_.takes_told) due_.push({now_ + kTakePatience, r.id});
    if (DropsHopeless(r)) due_.push({HopelessAt(r), r.id});
    return true;
  }

  // Ends a request, by a refusal where that is harmless.
  void End(Request& r) {
    if (r.ended) return;
    if (MayDecline(r))
      Act(Decline{r.id, ComeBackAfter()});
    else
      Act(Fail{r.id});
    Close(r);
  }

  // When a refused client had best come again: the jobs that fill the slots now have then ended, on average.
  Time ComeBackAfter() const {
    return s_.retry_after ? std::min(static_cast<Time>(MeanRun()), s_.max_retry_after) : 0;
  }

  // Nothing more is owed: no waiting, and what is still out is taken back.
  void Close(Request& r) {
    StopWaiting(r);
    r.ended = true;
    if (s_.cancelling)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].fate == Fate::kOut) Act(CancelAttempt{r.id, static_cast<int>(i)});
    Forget(r);
  }

  // An ended request is kept until its last attempt is closed: till then it holds slots.
  void Forget(const Request& r) {
    if (Open(r) == 0) requests_.erase(r.id);
  }

  Time EndMargin() const { return 2 * s_.tick; }  // an end decided now is seen a tick later

  // ---- 5. News of attempts ----

  void On(const AttemptNote& e) {
    Request* r = Find(e.id);
    if (r == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (a.fate != Fate::kOut) return;
    Worker& w = workers_[a.worker];
    if (std::exchange(a.untaken, false)) --w.trust[r->cls].untaken;
    if (e.kind == AttemptNote::Kind::kStarted && a.started == 0) {
      a.started = now_;
      --w.unstarted;
    }
    SignOfLife(w);
  }

  void On(const AttemptEnded& e) {
    Request* r = Find(e.id);
    auto named = index_.find(e.worker);
    if (named != index_.end() && e.outcome != Outcome::kMoot) {
      NoteReport(workers_[named->second], e.report);
      if (e.outcome == Outcome::kFull) NoteFull(workers_[named->second]);
    }
    if (r == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (a.fate != Fate::kOut) return;
    Worker& w = workers_[a.worker];
    NoteMove(w, -r->slots);
    if (a.started == 0) --w.unstarted;
    if (std::exchange(a.untaken, false)) --w.trust[r->cls].untaken;
    const bool never_ran =
        e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kMoot;
    a.fate = never_ran ? Fate::kNeverRan : Fate::kMayHaveRun;
    Learn(*r, a, w, e.outcome);
    if (e.complete && !r->ended) r->ended = true, StopWaiting(*r);
    if (r->ended || e.outcome == Outcome::kServed)
      Forget(*r);
    else
      TryAgain(*r);
    ServeWaiting(4);
  }

  void Learn(const Request& r, const Attempt& a, Worker& w, Outcome outcome) {
    if (outcome == Outcome::kServed) {
      const double took = now_ - (a.started != 0 ? a.started : a.sent);
      if (w.kind != kNone) kind_slowness_[w.kind].Add(took / RunTime(r.cls));
      run_[r.cls].Add(took), run_all_.Add(took);
      Doubt(r, w.trust[r.cls], -1);
    }
    if (outcome == Outcome::kError) Doubt(r, w.trust[r.cls], 2);
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kTimeout)
      Strike(w);
    else if (outcome != Outcome::kCancelled && outcome != Outcome::kMoot)
      SignOfLife(w);
    if (FleetWide()) return;
    const double had = w.held + r.slots;
    const double was = w.learned;
    if (outcome == Outcome::kServed) w.learned = std::max(w.learned, had) + r.slots / std::max(had, 1.0);
    if (outcome == Outcome::kFull || outcome == Outcome::kTimeout)
      w.learned = std::max(1.0, 0.8 * std::min(had, w.learned > 0 ? w.learned : had));
    if (was == 0 && w.learned > 0) learned_held_ += std::max(had, 1.0);
    learned_total_ += w.learned - was;
  }

  // After a failed attempt the walk goes on clockwise, past the workers already tried.
  void TryAgain(Request& r) {
    if (Open(r) > 0) return;
    const bool pointless = now_ > r.latest_start || static_cast<int>(r.attempts.size()) >= s_.max_attempts ||
                           (FirstThatMayHaveRun(r) != nullptr && s_.classes[r.cls].effect == Effect::kUnsafe);
    if (pointless) return End(r);
    if (!Place(r, DemandOf(r))) Wait(r);
  }

  void On(const StreamStarted& e) {
    if (Request* r = Find(e.id)) r->streaming = true;
  }

  void On(const RequestGone& e) {
    if (Request* r = Find(e.id)) Close(*r);
  }

  // ---- 6. Waiting and refusing ----

  double WorthOf(const Request& r) const {
    const double worth = s_.classes[r.cls].worth * (r.over_share ? s_.over_share_worth : 1);
    return worth / std::max(1.0, r.slots * RunTime(r.cls));
  }

  void Wait(Request& r) {
    if (r.waiting || r.ended) return;
    r.waiting = true;
    r.rank = -WorthOf(r);
    waiting_.insert({r.rank, r.turn, r.id});
    due_.push({r.latest_start, r.id});
  }

  void StopWaiting(Request& r) {
    if (!r.waiting) return;
    r.waiting = false;
    waiting_.erase({r.rank, r.turn, r.id});
  }

  void ServeWaiting(int most) {
    if (waiting_.empty()) return;
    scratch_.clear();
    for (auto it = waiting_.begin(); it != waiting_.end() && most > 0; ++it, --most)
      scratch_.push_back(std::get<2>(*it));
    for (RequestId id : scratch_)
      if (Request* r = Find(id)) Place(*r, DemandOf(*r));
  }

  // A job that has not started when even a longer one than usual would be late is called off where that
  // helps: in overload a queue of such jobs makes all behind them late too.
  bool DropsHopeless(const Request& r) const {
    return s_.cancelling && s_.starts_told && s_.classes[r.cls].late_value == 0;
  }

  Time HopelessAt(const Request& r) const {
    const double by = StartBy(workers_[r.attempts.back().worker], r, kHopeWork);
    return static_cast<Time>(std::max<double>(by, r.latest_start)) + s_.tick;
  }

  bool Hopeless(const Request& r) const {
    if (!DropsHopeless(r) || r.attempts.empty()) return false;
    for (const Attempt& a : r.attempts)
      if (a.fate == Fate::kOut && a.started != 0) return false;
    return now_ >= HopelessAt(r);
  }

  // Requests whose time is up: the waiting ones at their latest start, any at its last moment for an answer.
  void EndDue() {
    while (!due_.empty() && due_.top().first <= now_) {
      const RequestId id = due_.top().second;
      due_.pop();
      Request* r = Find(id);
      if (r == nullptr || r->ended || r->streaming) continue;
      if (now_ >= r->valid_until - EndMargin() || (r->waiting && now_ >= r->latest_start) || Hopeless(*r))
        End(*r);
      else
        FindUntaken(*r);
    }
  }

  double QuotaPerS(int t) const { return s_.tenants[t].quota_per_s / std::max(1, s_.instances); }
  double QuotaBurst(int t) const { return std::max(2.0, 2 * QuotaPerS(t)); }  // two seconds' worth

  bool TakeQuota(int tenant) {  // true: over its share
    if (tenant == kNone) return false;
    auto& [at, left] = quota_[tenant];
    left = std::min(QuotaBurst(tenant), left + QuotaPerS(tenant) * (now_ - at) / kSecond);
    at = now_;
    if (left < 1) return true;
    left -= 1;
    return false;
  }

  // ---- 7. Health ----

  bool Ejected(const Worker& w) const { return now_ < w.ejected_until; }

  void SignOfLife(Worker& w) {
    w.strikes = 0, w.ejected_until = 0;
    w.silent_since = w.unstarted > 0 ? now_ : 0;
  }

  void Strike(Worker& w) {
    w.strikes = std::min(w.strikes + 1, 5);
    w.ejected_until = now_ + (kSecond / 4 << w.strikes);
    w.silent_since = w.unstarted > 0 ? now_ : 0;
  }

  // Some workers leave all jobs of one class without a word; some fail most at once, look idle for it and
  // draw ever more. One in doubt rests in that class, then gets one job at a time. Some have to go on.
  void Doubt(const Request& r, Trust& trust, int more) {
    trust.doubt = std::clamp(trust.doubt + more, 0, 6);
    auto rests = [&](int i) { return now_ < workers_[i].trust[r.cls].rests_until; };
    const bool may = 3 * std::ranges::count_if(listed_, rests) < 2 * std::ssize(listed_);
    if (more > 0 && trust.doubt >= 3 && may)
      trust.rests_until = now_ + (kSecond / 8 << std::min(trust.doubt, 5));
  }

  void FindUntaken(Request& r) {
    if (!s_.takes_told || r.attempts.empty()) return;
    Attempt& a = r.attempts.back();
    if (!a.untaken || now_ < a.sent + kTakePatience) return;
    if (!std::exchange(a.missed, true)) return due_.push({now_ + 10 * kMs, r.id});  // own stall?
    Trust& trust = workers_[a.worker].trust[r.cls];
    a.untaken = false, --trust.untaken;
    Doubt(r, trust, 3);
    if (now_ <= r.latest_start && s_.classes[r.cls].effect != Effect::kUnsafe)
      Act(CancelAttempt{r.id, static_cast<int>(r.attempts.size()) - 1});
  }

  // A worker that holds jobs unstarted for as long as a whole answer may take has most likely hung.
  void FindSilent() {
    if (!s_.starts_told) return;
    Time patience = 0;
    for (std::size_t c = 0; c < s_.classes.size(); ++c)
      patience = std::max<Time>(patience, s_.classes[c].aim + s_.classes[c].stretch * RunTime(c));
    auto silent = [&](const Worker& w) { return w.unstarted > 0 && now_ - w.silent_since >= patience; };
    auto away = [&](int i) { return silent(workers_[i]) || Ejected(workers_[i]); };
    blind_ =
        2 * std::ranges::count_if(listed_, away) > std::ssize(listed_);  // so many: this node's own fault
    for (int i : listed_)
      if (!blind_ && silent(workers_[i]) && !Ejected(workers_[i])) Strike(workers_[i]);
  }

  // ---- 8. Cold workers ----

  bool Cold(const Worker& w) const { return w.since > 0 && now_ - w.since < s_.ramp_time; }

  // This node's part of what a cold worker may be sent: half the limit, over all instances. The allowance
  // starts in debt by this node's place among them, so that nodes take turns.
  void FillCold(Worker& w) {
    if (w.budget_at == 0) {
      const double place =
          static_cast<double>((s_.ordinal + w.hash % s_.instances) % s_.instances) / s_.instances;
      w.budget = -place * RunTime(0) / kSecond;
      w.budget_at = now_;
    }
    const double age = static_cast<double>(now_ - w.since) / s_.ramp_time;
    const double share = s_.cold_share + (1 - s_.cold_share) * std::clamp(age, 0.0, 1.0);
    const double rate =
        0.5 * s_.overload_factor * share * LeastTotal() / s_.instances;  // slot seconds a second
    w.budget = std::min(w.budget + rate * (now_ - w.budget_at) / kSecond,
                        std::max(rate * s_.overload_for / kSecond, RunTime(0) / kSecond));
    w.budget_at = now_;
  }

  double LeastTotal() const { return FleetWide() ? std::max(1.0, 0.8 * mean_total_.value) : 1.0; }

  bool ColdMayTake(Worker& w, const Request& r) {
    FillCold(w);
    return w.budget >= r.slots * RunTime(r.cls) / kSecond;
  }

  // ---- 9. Probes ----

  void On(const ProbeEnded& e) {
    auto it = index_.find(e.worker);
    if (it == index_.end()) return;
    NoteReport(workers_[it->second], e.report);
    if (e.ok) SignOfLife(workers_[it->second]);
  }

  // Round the ring, about one probe a request: the fee is then the fee for one probe a request.
  void SendProbes() {
    if (!s_.probes || s_.reports == Settings::Reports::kNever || ring_.empty()) return;
    probe_credit_ = std::min(probe_credit_ + arrivals_.Rate(now_) * kSweepEvery, 20.0);
    for (std::size_t looked = 0; probe_credit_ >= 1 && looked < listed_.size(); ++looked) {
      Worker& w = workers_[listed_[probe_next_++ % listed_.size()]];
      if (w.state != ListedWorker::State::kServing || now_ - std::max(w.report_at, w.probed_at) < kReportLag)
        continue;
      w.probed_at = now_;
      probe_credit_ -= 1;
      Act(Probe{w.id});
    }
  }

  // ---- 10. The list ----

  void On(const ListChanged& e) {
    if (e.form == ListChanged::Form::kFailed) {
      subscribed_ = false;
      ask_failures_ = std::min(ask_failures_ + 1, 4);
      const Time backoff = kSecond / 4 << ask_failures_;
      ask_at_ = now_ + backoff / 2 + static_cast<Time>(random_() % backoff);
      return;
    }
    if (e.form != ListChanged::Form::kSaved) subscribed_ = true, ask_failures_ = 0;
    if (e.form != ListChanged::Form::kPatch)
      for (Worker& w : workers_) w.listed = false;
    for (const ListedWorker& entry : e.workers) {
      auto [it, fresh] = index_.try_emplace(entry.id, static_cast<int>(workers_.size()));
      if (fresh) {
        if (spare_.empty()) spare_.push_back(static_cast<int>(workers_.size())), workers_.emplace_back();
        it->second = spare_.back(), spare_.pop_back();
        Worker& added = workers_[it->second] = Worker{};
        added.id = entry.id, added.hash = HashText(entry.id), added.trust.resize(s_.classes.size());
      }
      Worker& w = workers_[it->second];
      if (entry.since != w.since) w.budget_at = 0, w.report_at = -1, w.learned = 0;
      w.listed = entry.state != ListedWorker::State::kGone;
      w.state = entry.state, w.since = entry.since, w.cell = entry.cell;
      w.kind = entry.kind, w.zone = entry.zone, w.weight = entry.weight;
    }
    BuildRing();
    ServeWaiting(4);
  }

  // Each worker stands on the ring at a number of points in proportion to its size, so that homes are dealt
  // out by capacity and what overflows one worker goes to many others. Live sizes fall with load: there, the
  // largest size told of a machine kind stands for all of it, for a ring that moved with load would lose its
  // copies.
  void BuildRing() {
    double sum = 0;
    std::size_t listed = 0;
    for (Worker& w : workers_) {
      if (s_.weights_live && w.kind != kNone) kind_size_[w.kind] = std::max(kind_size_[w.kind], w.weight);
      if (!w.listed) continue;
      sum += SizeOf(w), ++listed;
    }
    const double mean = listed > 0 && sum > 0 ? sum / listed : 1;
    if (mean > 1.25 * mean_size_ || mean < 0.8 * mean_size_) mean_size_ = mean;
    bool changed = false;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      Worker& w = workers_[i];
      const int points =
          w.listed ? std::clamp(std::round(kPoints * SizeOf(w) / mean_size_), 1.0, kMostPoints) : 0;
      changed = changed || points != w.points;
      w.points = points;
      if (w.listed) {
        w.unlisted_at = 0;
      } else if (w.unlisted_at == 0) {
        w.unlisted_at = now_;
      } else if (w.held == 0 && !w.id.empty() && now_ - w.unlisted_at > kKeepGone) {
        index_.erase(w.id);
        w.id.clear();
        spare_.push_back(static_cast<int>(i));
      }
    }
    if (!changed) return;
    ring_.clear(), listed_.clear();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const Worker& w = workers_[i];
      if (w.listed) listed_.push_back(static_cast<int>(i));
      for (int p = 0; p < w.points; ++p) ring_.push_back({Mix(w.hash + p), static_cast<int>(i)});
    }
    auto id = [this](int i) { return std::string_view(workers_[i].id); };
    std::ranges::sort(ring_, {}, [&id](const auto& p) { return std::pair{p.first, id(p.second)}; });
    std::ranges::sort(listed_, {}, id);
  }

  double SizeOf(const Worker& w) const {
    const double size = s_.weights_live && w.kind != kNone ? kind_size_[w.kind] : w.weight;
    return size > 0 ? size : 1;
  }

  void AskForList() {
    Act(Subscribe{});
    ask_at_ = now_ + std::max<Time>(s_.ask_every / 2, kSecond);
  }

  // ---- 11. Timers, bookkeeping ----

  static constexpr Time kSweepEvery = 50 * kMs;

  void On(const TimerFired& e) {
    if (e.token == "due") {
      if (now_ >= armed_) armed_ = 0;  // else an older timer: the one armed last still comes
      EndDue();
    } else if (e.token == "sweep") {
      Act(SetTimer{kSweepEvery, "sweep"});
      EndDue();
      FindSilent();
      BalanceZones();
      SendProbes();
      ServeWaiting(16);
      if (s_.list_on_request && !subscribed_ && now_ >= ask_at_) AskForList();
    }
  }

  void ArmTimer() {
    while (!due_.empty() && Find(due_.top().second) == nullptr) due_.pop();
    if (due_.empty()) return;
    const Time next = std::max(due_.top().first, now_ + 1);
    if (armed_ > now_ && armed_ <= next)
      return;  // one timer at a time: each re-arming would come back as well
    armed_ = next;
    Act(SetTimer{armed_ - now_, "due"});
  }

  Request* Find(RequestId id) {
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }

  void Act(Action action) { out->push_back(std::move(action)); }

  void Validate() const {
    auto need = [](bool good, const char* what) {
      if (!good) throw std::invalid_argument(what);
    };
    need(!s_.classes.empty(), "classes: at least one is needed");
    need(s_.instances >= 1, "instances: must be 1 or more");
    need(s_.ordinal >= 0, "ordinal: must not be negative");
    need(s_.max_attempts >= 1, "max_attempts: must be 1 or more");
    need(s_.tick > 0, "tick: must be above 0");
    need(s_.ramp_time >= 0 && s_.overload_for >= 0, "ramp_time, overload_for: must not be negative");
    need(s_.cold_share >= 0 && s_.cold_share <= 1, "cold_share: must be from 0 to 1");
    need(s_.overload_factor >= 0, "overload_factor: must not be negative");
    for (const ClassSettings& c : s_.classes) {
      need(c.aim >= 0, "classes.aim: must not be negative");
      need(c.stretch >= 0 && std::isfinite(c.stretch), "classes.stretch: must not be negative");
      need(c.worth >= 0 && std::isfinite(c.worth), "classes.worth: must not be negative");
      need(c.window >= 0, "classes.window: must not be negative");
      need(c.kind < static_cast<int>(s_.kinds.size()), "classes.kind: no such kind");
    }
    for (const TenantSettings& t : s_.tenants)
      need(t.quota_per_s >= 0 && std::isfinite(t.quota_per_s), "tenants.quota_per_s: must not be negative");
  }

  struct RateMeter {
    double count = 0;
    Time at = 0;
    void Add(Time now) { count = Decayed(now) + 1, at = now; }
    double Decayed(Time now) const { return count * std::exp(-static_cast<double>(now - at) / kRateMemory); }
    double Rate(Time now) const { return Decayed(now) / kRateMemory; }
  };

  Settings s_;
  std::mt19937_64 random_;
  Time now_ = 0, armed_ = 0, ask_at_ = 0;
  std::vector<Worker> workers_;                      // by interning index
  std::unordered_map<std::string, int> index_;       // looked up only, never walked
  std::vector<std::pair<std::uint64_t, int>> ring_;  // hash and index of all listed workers
  std::unordered_map<RequestId, Request> requests_;  // looked up only
  std::unordered_map<std::uint64_t, Key> keys_;      // walked only to find the oldest half, by a total order
  std::set<std::tuple<double, std::uint64_t, RequestId>> waiting_;  // most worth first, then oldest
  std::priority_queue<std::pair<Time, RequestId>, std::vector<std::pair<Time, RequestId>>, std::greater<>>
      due_;
  std::vector<int> members_, across_, spare_;
  std::vector<RequestId> scratch_;
  std::vector<Mean> run_;
  std::vector<Time> longest_wait_;  // by class, from arrival to the end of the client's patience
  std::vector<Mean> zone_fill_, kind_slowness_;
  double spill_ = 0;    // share of the keys whose sets are on the ring of all zones
  bool blind_ = false;  // so many workers silent at once that this node's own view is at fault
  std::vector<double> kind_size_;
  double mean_size_ = 1e-9;
  std::vector<int> listed_;  // indices of the listed workers, by id
  std::uint64_t walk_ = 0;
  Mean run_all_, mean_free_, mean_total_;
  double least_fill_ = 0;  // the deepest queue ever reported, as (negative) free slots by slots
  double learned_total_ = 0, learned_held_ = 0, probe_credit_ = 0;
  std::vector<std::pair<Time, double>> quota_;
  RateMeter arrivals_;
  std::uint64_t turns_ = 0;
  std::size_t probe_next_ = random_();
  bool subscribed_ = false;
  int ask_failures_ = 0;
};

Brain::Brain(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Brain::~Brain() = default;
Brain::Brain(Brain&&) noexcept = default;
Brain& Brain::operator=(Brain&&) noexcept = default;

void Brain::Start(Time now, std::vector<Action>* actions) {
  impl_->out = actions;
  impl_->Start(now);
}

void Brain::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  impl_->out = actions;
  impl_->Handle(now, event);
}

Holdings Brain::holdings() const { return impl_->holdings(); }

}  // namespace rookgw

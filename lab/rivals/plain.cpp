// The plain rivals. They keep the four rules by the simplest means and differ only in how they choose a box.
// They do not hold jobs back, rank them or learn: what the module gains over them is what its design is
// worth.
#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <stdexcept>
#include <unordered_map>

#include "lab/rivals/policy.h"
#include "lab/rivals/wire.h"

namespace lichenlug::lab {
namespace {

using namespace rookgw;

struct PlainBox {
  ListedWorker entry;
  int out = 0;  // own attempts at it
  double reported = 0;
  Time away_until = 0;
  double cold_credit = 0;
  Time cold_at = 0;
};

class Plain : public Policy {
 public:
  explicit Plain(PolicyInputs inputs)
      : s_(std::move(inputs.settings)), truth_(inputs.truth), random_(inputs.seed) {}

  void Start(Time now, std::vector<Action>* actions) override {
    now_ = now, out_ = actions;
    if (s_.list_on_request) out_->push_back(Subscribe{});
    out_->push_back(SetTimer{kSweep, "sweep"});
  }

  void Handle(Time now, const Event& event, std::vector<Action>* actions) override {
    now_ = std::max(now_, now), out_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

 protected:
  struct Request {
    RequestArrived arrived;
    std::vector<int> boxes;  // of the attempts
    bool open = false, ended = false;
    int may_have_run = -1;  // the box of the first attempt that may have
    Time ran_at = 0;
  };

  // One of `able`, which is not empty; below 0: none is worth it.
  virtual int Choose(const std::vector<int>& able, const Request& request) = 0;

  static constexpr Time kSweep = 50'000;
  Settings s_;
  const Truth* truth_;
  std::mt19937_64 random_;
  Time now_ = 0;
  std::vector<PlainBox> boxes_;

 private:
  bool Able(int i, const Request& r) {
    PlainBox& box = boxes_[i];
    if (box.entry.state != ListedWorker::State::kServing || now_ < box.away_until) return false;
    if (std::ranges::find(r.boxes, i) != r.boxes.end()) return false;
    const ClassSettings& cls = s_.classes[r.arrived.cls];
    if (cls.kind != kNone && box.entry.kind != cls.kind) return false;
    if (r.may_have_run >= 0 && cls.effect != Effect::kRepeatable) {
      const ListedWorker& first = boxes_[r.may_have_run].entry;
      if (cls.effect == Effect::kUnsafe || now_ + 2 * s_.tick >= r.ran_at + cls.window) return false;
      if (cls.scope == KeyScope::kCell && box.entry.cell != first.cell) return false;
      if (cls.scope == KeyScope::kZone && box.entry.zone != first.zone) return false;
    }
    return !Cold(box) || box.cold_credit >= 1;
  }

  // A box that warms up gets a slow trickle: half a job a second at first, over all dispatchers.
  bool Cold(PlainBox& box) {
    if (box.entry.since == 0 || now_ - box.entry.since >= s_.ramp_time) return false;
    box.cold_credit = std::min(1.0, box.cold_credit + (now_ - box.cold_at) * 0.5e-6 / s_.instances);
    box.cold_at = now_;
    return true;
  }

  void Send(RequestId id, Request& r) {
    able_.clear();
    const bool in_time = now_ < r.arrived.valid_until - 2 * s_.tick;
    const bool tries_left = static_cast<int>(r.boxes.size()) < s_.max_attempts;
    for (int i = 0; in_time && tries_left && i < static_cast<int>(boxes_.size()); ++i)
      if (Able(i, r)) able_.push_back(i);
    if (able_.empty()) return End(id, r);
    const int chosen = Choose(able_, r);
    if (chosen < 0) return End(id, r);
    if (boxes_[chosen].entry.since != 0) boxes_[chosen].cold_credit -= 1;
    ++boxes_[chosen].out;
    r.boxes.push_back(chosen), r.open = true;
    out_->push_back(Dispatch{id, boxes_[chosen].entry.id, 0});
  }

  void End(RequestId id, Request& r) {
    if (r.ended) return;
    r.ended = true;
    const ClassSettings& cls = s_.classes[r.arrived.cls];
    const bool harmless = r.may_have_run < 0 || cls.effect == Effect::kRepeatable ||
                          (cls.effect == Effect::kKeyed && cls.scope == KeyScope::kAll);
    if (harmless && !r.open)
      out_->push_back(Decline{id, 0});
    else
      out_->push_back(Fail{id});
    if (!r.open) requests_.erase(id);
  }

  void On(const RequestArrived& e) {
    Request& r = requests_[e.id];
    r.arrived = e;
    due_.push_back({e.valid_until - 2 * s_.tick, e.id});
    Send(e.id, r);
  }

  void On(const AttemptEnded& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    const int box = r.boxes.at(e.attempt);
    --boxes_[box].out;
    if (e.report.active) boxes_[box].reported = *e.report.active;
    r.open = false;
    if (e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kTimeout)
      boxes_[box].away_until = now_ + 1'000'000;
    const bool never =
        e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kVoid;
    if (!never && r.may_have_run < 0) r.may_have_run = box, r.ran_at = now_;
    if (e.complete || r.ended || e.outcome == Outcome::kServed) {
      requests_.erase(it);
      return;
    }
    Send(e.id, r);
  }

  void On(const RequestAbandoned& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    it->second.ended = true;
    if (!it->second.open) requests_.erase(it);
  }

  void On(const ListChanged& e) {
    if (e.form == ListChanged::Form::kFailed) {
      out_->push_back(SetTimer{500'000 + static_cast<Time>(random_() % 500'000), "ask"});
      return;
    }
    if (e.form != ListChanged::Form::kPatch)
      for (PlainBox& box : boxes_) box.entry.state = ListedWorker::State::kGone;
    for (const ListedWorker& entry : e.workers) {
      auto [it, fresh] = index_.try_emplace(entry.id, static_cast<int>(boxes_.size()));
      if (fresh) boxes_.emplace_back();
      if (boxes_[it->second].entry.since != entry.since) boxes_[it->second].cold_credit = 0;
      boxes_[it->second].entry = entry;
    }
  }

  void On(const TimerFired& e) {
    if (e.token == "ask") out_->push_back(Subscribe{});
    if (e.token != "sweep") return;
    out_->push_back(SetTimer{kSweep, "sweep"});
    // Deadlines of one class come in order; mixed classes are looked at a little late, never too late.
    for (std::size_t i = due_.size(); i > 0; --i) {
      const auto [at, id] = due_.front();
      due_.pop_front();
      const auto it = requests_.find(id);
      if (it == requests_.end() || it->second.ended) continue;
      if (at <= now_ + kSweep)
        End(id, it->second);
      else
        due_.push_back({at, id});
    }
    if (s_.probes && !boxes_.empty() && s_.reports != Settings::Reports::kNever)
      for (int i = 0; i < 10; ++i) out_->push_back(Probe{boxes_[probe_next_++ % boxes_.size()].entry.id});
  }

  void On(const ProbeEnded& e) {
    const auto it = index_.find(e.worker);
    if (it != index_.end() && e.report.active) boxes_[it->second].reported = *e.report.active;
  }

  void On(const AttemptUpdate&) {}
  void On(const rookgw::PeerReport&) {}
  void On(const StreamStarted&) {}

  std::vector<Action>* out_ = nullptr;
  std::unordered_map<std::string, int> index_;
  std::unordered_map<RequestId, Request> requests_;
  std::deque<std::pair<Time, RequestId>> due_;
  std::vector<int> able_;
  std::size_t probe_next_ = 0;
};

class RandomChoice : public Plain {
  using Plain::Plain;
  int Choose(const std::vector<int>& able, const Request&) override { return able[random_() % able.size()]; }
};

class RoundRobin : public Plain {
  using Plain::Plain;
  int Choose(const std::vector<int>& able, const Request&) override {
    const auto next = std::ranges::upper_bound(able, last_);
    return last_ = next == able.end() ? able.front() : *next;
  }
  int last_ = -1;
};

// The least by a measure; among equals one at random.
class LeastBy : public Plain {
 protected:
  using Plain::Plain;
  virtual double Measure(int box, const Request& request) = 0;
  int Choose(const std::vector<int>& able, const Request& request) override {
    double least = std::numeric_limits<double>::infinity();
    int best = able.front(), equal = 0;
    for (int box : able) {
      const double measure = Measure(box, request);
      if (measure < least)
        least = measure, best = box, equal = 1;
      else if (measure == least && random_() % ++equal == 0)
        best = box;
    }
    return best;
  }
};

class LeastOutstanding : public LeastBy {
 public:
  using LeastBy::LeastBy;

 private:
  double Measure(int box, const Request&) override { return boxes_[box].out; }
};

class LeastReported : public LeastBy {
 public:
  using LeastBy::LeastBy;

 private:
  double Measure(int box, const Request&) override { return boxes_[box].reported + boxes_[box].out * 1e-3; }
};

class Oracle : public LeastBy {
 public:
  using LeastBy::LeastBy;

 private:
  double Measure(int box, const Request& r) override {
    return truth_->EndAt(boxes_[box].entry.id, r.arrived.id);
  }

  // What would end after its aim at the best of boxes only makes others late.
  int Choose(const std::vector<int>& able, const Request& r) override {
    const int best = LeastBy::Choose(able, r);
    const ClassSettings& cls = s_.classes[r.arrived.cls];
    const double aim = cls.aim + cls.stretch * truth_->WorkOf(r.arrived.id);
    return Measure(best, r) <= aim ? best : -1;
  }
};

class TwoChoices : public Plain {
  using Plain::Plain;
  int Choose(const std::vector<int>& able, const Request&) override {
    const int a = able[random_() % able.size()], b = able[random_() % able.size()];
    return boxes_[a].out <= boxes_[b].out ? a : b;
  }
};

class JoinIdle : public Plain {
  using Plain::Plain;
  int Choose(const std::vector<int>& able, const Request&) override {
    std::vector<int> idle;
    for (int box : able)
      if (boxes_[box].out == 0) idle.push_back(box);
    const std::vector<int>& from = idle.empty() ? able : idle;
    return from[random_() % from.size()];
  }
};

class Module : public Policy {
 public:
  explicit Module(PolicyInputs inputs) : scheduler_(std::move(inputs.settings), inputs.seed) {}
  void Start(Time now, std::vector<Action>* actions) override { scheduler_.Start(now, actions); }
  void Handle(Time now, const Event& event, std::vector<Action>* actions) override {
    scheduler_.Handle(now, event, actions);
  }

 private:
  Scheduler scheduler_;
};

// The module with one rule broken from outside, to see that the checker sees it.
class Broken : public Module {
 public:
  Broken(PolicyInputs inputs, int rule) : Module(std::move(inputs)), rule_(rule) {}

  void Handle(Time now, const Event& event, std::vector<Action>* actions) override {
    const std::size_t before = actions->size();
    Event told = event;
    if (const auto* list = std::get_if<ListChanged>(&event); list != nullptr && rule_ >= 3) {
      entries_.assign(list->workers.begin(), list->workers.end());
      for (ListedWorker& w : entries_) {
        if (rule_ == 3) w.state = ListedWorker::State::kServing;  // drains are not heard
        if (rule_ == 4 && w.since > newest_since_ && w.state == ListedWorker::State::kServing)
          newest_since_ = w.since, newest_ = w.id, herd_until_ = now + 3'000'000;
      }
      ListChanged bent = *list;
      bent.workers = entries_;
      told = bent;
    }
    if (const auto* ended = std::get_if<AttemptEnded>(&event); ended != nullptr && rule_ == 2) {
      AttemptEnded bent = *ended;  // what may have run is taken for refused
      if (bent.outcome == Outcome::kError || bent.outcome == Outcome::kReset) bent.outcome = Outcome::kFull;
      told = bent;
    }
    Module::Handle(now, told, actions);
    const std::size_t after = actions->size();
    for (std::size_t i = before; i < after; ++i) {
      if (auto* dispatch = std::get_if<Dispatch>(&(*actions)[i])) {
        if (rule_ == 4 && now < herd_until_) dispatch->worker = newest_;  // all to the box that has just come
        last_ = dispatch->worker;
      } else if (const auto* decline = std::get_if<Decline>(&(*actions)[i]); decline && rule_ == 1) {
        if (!last_.empty()) actions->push_back(Dispatch{decline->id, last_, 0});  // after the final answer
      }
    }
  }

 private:
  const int rule_;
  std::vector<ListedWorker> entries_;
  std::string newest_, last_;
  Time newest_since_ = 0, herd_until_ = 0;
};

constexpr std::string_view kWirePrefix = "wire:";

using Maker = std::function<std::unique_ptr<Policy>(PolicyInputs)>;

template <typename T>
Maker Of() {
  return
      [](PolicyInputs inputs) -> std::unique_ptr<Policy> { return std::make_unique<T>(std::move(inputs)); };
}

Maker BrokenAt(int rule) {
  return [rule](PolicyInputs inputs) -> std::unique_ptr<Policy> {
    return std::make_unique<Broken>(std::move(inputs), rule);
  };
}

const std::map<std::string, Maker>& Makers() {
  static const std::map<std::string, Maker> makers = {
      {"module", Of<Module>()},
      {"random", Of<RandomChoice>()},
      {"round-robin", Of<RoundRobin>()},
      {"least-outstanding", Of<LeastOutstanding>()},
      {"least-reported", Of<LeastReported>()},
      {"two-choices", Of<TwoChoices>()},
      {"join-idle", Of<JoinIdle>()},
      {"oracle", Of<Oracle>()},
      {"broken-1", BrokenAt(1)},
      {"broken-2", BrokenAt(2)},
      {"broken-3", BrokenAt(3)},
      {"broken-4", BrokenAt(4)},
  };
  return makers;
}

}  // namespace

std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyInputs inputs) {
  if (name.starts_with(kWirePrefix))
    return MakeWirePolicy(name.substr(kWirePrefix.size()), std::move(inputs));
  const auto it = Makers().find(name);
  if (it != Makers().end()) return it->second(std::move(inputs));
  std::string known;
  for (const auto& [key, maker] : Makers()) known += (known.empty() ? "" : ", ") + key;
  known += ", wire:COMMAND";
  throw std::invalid_argument("no policy \"" + name + "\"; known are " + known);
}

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    for (const auto& [key, maker] : Makers()) all.push_back(key);
    return all;
  }();
  return names;
}

}  // namespace lichenlug::lab

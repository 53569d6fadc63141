// A node under test: default test settings, and a Scheduler with its clock, list and actions.
#pragma once

#include <string>
#include <vector>

#include "rookgw/brain.h"

namespace rookgw::test {

inline constexpr Time kMs = 1000, kSecond = 1000 * kMs;

inline Settings PlainSettings() {
  Settings s;
  s.zones = {"east", "west"};
  s.kinds = {"large", "small"};
  s.my_zone = 0;
  s.max_attempts = 3;
  s.tick = 2 * kMs;
  s.cancelling = true;
  s.reports_starts = true;
  s.reports = Settings::Reports::kAnswers;
  s.reports_slots = s.reports_waiting = true;
  s.cold_share = 0.2;
  s.overload_factor = 3;
  s.overload_for = kSecond;
  s.ramp_time = 20 * kSecond;
  s.drain_grace = 500 * kMs;
  s.poll_interval = 10 * kSecond;
  const std::pair<const char*, Effect> classes[] = {
      {"repeatable", Effect::kRepeatable}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}};
  for (const auto& [name, effect] : classes) {
    ClassSettings c;
    c.name = name;
    c.aim = 400 * kMs;
    c.stretch = 2;
    c.deadline = 5 * kSecond;
    c.effect = effect;
    c.scope = KeyScope::kCell;
    c.window = 3 * kSecond;
    s.classes.push_back(c);
  }
  return s;
}

enum PlainClass { kRepeatableClass, kKeyedClass, kUnsafeClass };

inline ListedWorker Serving(const std::string& id, int cell = 0) {
  ListedWorker w;
  w.id = id;
  w.cell = cell;
  w.kind = w.zone = 0;
  return w;
}

inline LoadReport Reported(double free_slots, double waiting = 0) {
  LoadReport report;
  report.free_slots = free_slots;
  report.waiting = waiting;
  return report;
}

class Node {
 public:
  explicit Node(Settings settings = PlainSettings(), std::uint64_t seed = 1, Time at = 1000 * kSecond)
      : now(at), scheduler(std::move(settings), seed) {
    scheduler.Start(now, &actions);
    fresh_from_ = 0;
  }

  // Passes an event to the scheduler; Fresh() and the queries below then cover the actions that it caused.
  void Tell(const Event& event) {
    fresh_from_ = actions.size();
    scheduler.Handle(now, event, &actions);
  }

  void List(const std::vector<ListedWorker>& workers, ListChanged::Form form = ListChanged::Form::kWhole) {
    Tell(ListChanged{form, ++version_, workers});
  }

  void ListMany(int count, double free_slots) {
    std::vector<ListedWorker> workers;
    for (int i = 0; i < count; ++i) workers.push_back(Serving("w" + std::to_string(i), i / 4));
    List(workers);
    for (const ListedWorker& w : workers) Report(w.id, free_slots);
  }

  void Report(const std::string& worker, double free_slots, double waiting = 0) {
    Tell(ProbeEnded{worker, true, kMs, Reported(free_slots, waiting)});
  }

  // A new request; returns the worker it was sent to, or "" if it was not sent.
  std::string Ask(RequestId id, std::optional<std::uint64_t> key = 7, int cls = kUnsafeClass,
                  int tenant = kNone) {
    RequestArrived e;
    e.id = id;
    e.key = key;
    e.cls = cls;
    e.tenant = tenant;
    e.valid_until = now + 5 * kSecond;
    Tell(e);
    return SentTo(id);
  }

  void Ended(RequestId id, const std::string& worker, Outcome outcome, int attempt = 0,
             LoadReport report = {}) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.worker = worker;
    e.outcome = outcome;
    e.complete = outcome == Outcome::kServed;
    e.report = report;
    Tell(e);
  }

  void Started(RequestId id, int attempt = 0) {
    Tell(AttemptUpdate{id, attempt, AttemptUpdate::Kind::kStarted, 0});
  }

  // Advances the clock, firing timers as they fall due; Fresh() and the queries below then cover all of it.
  void Run(Time span) {
    const std::size_t from = actions.size();
    const Time until = now + span;
    TakeTimers();
    while (!timers_.empty()) {
      auto next = timers_.begin();
      for (auto it = timers_.begin(); it != timers_.end(); ++it)
        if (it->first < next->first) next = it;
      if (next->first > until) break;
      const std::pair<Time, std::string> timer = *next;
      timers_.erase(next);
      now = std::max(now, timer.first);
      scheduler.Handle(now, TimerFired{timer.second}, &actions);
      TakeTimers();
    }
    now = until;
    fresh_from_ = from;
  }

  template <typename T>
  std::vector<T> Fresh() const {  // actions of this type caused by the last event or Run()
    std::vector<T> found;
    for (std::size_t i = fresh_from_; i < actions.size(); ++i)
      if (const T* a = std::get_if<T>(&actions[i])) found.push_back(*a);
    return found;
  }

  std::string SentTo(RequestId id) const {
    for (const Dispatch& d : Fresh<Dispatch>())
      if (d.id == id) return d.worker;
    return "";
  }

  bool Declined(RequestId id) const {
    for (const Decline& d : Fresh<Decline>())
      if (d.id == id) return true;
    return false;
  }

  bool Failed(RequestId id) const {
    for (const Fail& f : Fresh<Fail>())
      if (f.id == id) return true;
    return false;
  }

  Time now;
  std::vector<Action> actions;
  Scheduler scheduler;

 private:
  void TakeTimers() {
    if (seen_ > actions.size()) seen_ = 0;  // the test has cleared `actions`
    for (; seen_ < actions.size(); ++seen_)
      if (const SetTimer* t = std::get_if<SetTimer>(&actions[seen_]))
        timers_.push_back({now + t->span, t->token});
  }

  std::vector<std::pair<Time, std::string>> timers_;
  std::size_t seen_ = 0, fresh_from_ = 0;
  std::int64_t version_ = 0;
};

}  // namespace rookgw::test

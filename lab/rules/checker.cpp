#include "lab/rules/checker.h"

#include <algorithm>

namespace lichenlug::lab {

using rookgw::Effect;
using rookgw::KeyScope;
using rookgw::Outcome;

Checker::Checker(const Site& site) : site_(site), away_(site.dispatchers), wakes_(site.dispatchers) {}

void Checker::Break(int rule, Time now, const Request* request, int box, const std::string& what) {
  ++count_[rule];
  if (first_.contains(rule)) return;
  Breach& breach = first_[rule];
  breach = {
      rule, now, request != nullptr ? request->dispatcher : -1, box >= 0 ? "box-" + std::to_string(box) : "",
      what, {}};
  if (request == nullptr) return;
  for (const Step& step : request->history) breach.history.push_back(Worded(*request, step));
}

std::string Checker::Worded(const Request& request, const Step& step) const {
  static constexpr const char* kOutcomes[] = {"served",         "error", "full",      "timeout",
                                              "connect failed", "reset", "cancelled", "moot"};
  static constexpr const char* kAnswers[] = {"served", "refused", "failed", "its client is gone"};
  const std::string number = std::to_string(step.number);
  std::string what;
  switch (step.kind) {
    case Step::Kind::kTook:
      what = "dispatcher " + number + " takes a " + site_.classes[request.cls].name;
      break;
    case Step::Kind::kSent:
      what = "attempt " + number + " sent to box-" + std::to_string(step.what);
      break;
    case Step::Kind::kEnded:
      what = "attempt " + number + " ends: " + kOutcomes[step.what];
      break;
    case Step::Kind::kAnswered:
      what = std::string("answer: ") + kAnswers[step.what];
      break;
  }
  return std::to_string(step.at) + " us  " + what;
}

void Checker::Told(Time now, int dispatcher, int box, rookgw::ListedWorker::State state) {
  if (state == rookgw::ListedWorker::State::kServing)
    away_[dispatcher].erase(box);
  else
    away_[dispatcher].try_emplace(box, std::max(now, wakes_[dispatcher]));
}

void Checker::Restarted(int dispatcher) {
  away_[dispatcher].clear();
  std::erase_if(requests_, [dispatcher](const auto& entry) { return entry.second.dispatcher == dispatcher; });
}

void Checker::Paused(Time now, int dispatcher, Time until) {
  wakes_[dispatcher] = std::max(wakes_[dispatcher], until);
  for (auto& [box, since] : away_[dispatcher]) since = std::max(since, until);
  for (auto& [id, r] : requests_)
    if (r.dispatcher == dispatcher && !r.answered) r.answer_by += until - now;
}

void Checker::Took(Time now, int dispatcher, std::uint64_t request, int cls, Time answer_by) {
  Request& r = requests_[request];
  r.dispatcher = dispatcher, r.cls = cls,
  r.answer_by = answer_by + std::max<Time>(0, wakes_[dispatcher] - now);
  r.history.push_back({now, Step::Kind::kTook, dispatcher, 0});
}

void Checker::Sent(Time now, std::uint64_t request, int attempt, int box, int zone, int cell) {
  ++checks_;
  const auto it = requests_.find(request);
  if (it == requests_.end()) return Break(1, now, nullptr, box, "an attempt for a request that is not open");
  Request& r = it->second;
  r.history.push_back({now, Step::Kind::kSent, attempt, box});
  if (r.answered) Break(1, now, &r, box, "an attempt for a request that was answered");
  const ClassModel& cls = site_.classes[r.cls];
  const Attempt* ran = nullptr;
  for (const Attempt& a : r.attempts) {
    if (!a.over) Break(2, now, &r, box, "two attempts at once");
    if (!a.never_ran && ran == nullptr) ran = &a;
  }
  if (ran != nullptr && cls.effect == Effect::kUnsafe)
    Break(2, now, &r, box, "an unsafe job is sent again after it may have run");
  if (ran != nullptr && cls.effect == Effect::kKeyed) {
    const bool same = cls.scope == KeyScope::kAll || (cls.scope == KeyScope::kZone && ran->zone == zone) ||
                      (cls.scope == KeyScope::kCell && ran->cell == cell);
    if (!same) Break(2, now, &r, box, "a keyed job is sent outside the group that it may have run in");
    if (now >= ran->sent + cls.window) Break(2, now, &r, box, "a keyed job is sent again after its window");
  }
  if (const auto away = away_[r.dispatcher].find(box);
      away != away_[r.dispatcher].end() && now > away->second + site_.drain_grace)
    Break(
        3, now, &r, box,
        "sent " + std::to_string((now - away->second) / 1000) + " ms after it was told as draining or gone");
  r.attempts.push_back({box, zone, cell, now, false, false});
}

void Checker::Ended(Time now, std::uint64_t request, int attempt, Outcome outcome) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || attempt >= static_cast<int>(it->second.attempts.size())) return;
  Attempt& a = it->second.attempts[attempt];
  if (a.over) Break(1, now, &it->second, a.box, "an attempt ends twice");
  a.over = true;
  a.never_ran = outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kVoid;
  it->second.history.push_back({now, Step::Kind::kEnded, attempt, static_cast<int>(outcome)});
  if (it->second.answered && std::ranges::all_of(it->second.attempts, &Attempt::over)) requests_.erase(it);
}

void Checker::Answered(Time now, std::uint64_t request, Answer answer) {
  ++checks_;
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  Request& r = it->second;
  r.history.push_back({now, Step::Kind::kAnswered, 0, static_cast<int>(answer)});
  if (r.answered) Break(1, now, &r, -1, "a second final answer");
  r.answered = true;
  if (answer != Answer::kClientGone && now > r.answer_by + site_.answer_slack)
    Break(1, now, &r, -1, "the final answer is " + std::to_string((now - r.answer_by) / 1000) + " ms late");
  if (answer == Answer::kRefused) {
    const ClassModel& cls = site_.classes[r.cls];
    const bool ran = std::ranges::any_of(r.attempts, [](const Attempt& a) { return !a.never_ran; });
    if (ran &&
        (cls.effect == Effect::kUnsafe || (cls.effect == Effect::kKeyed && cls.scope != KeyScope::kAll)))
      Break(2, now, &r, r.attempts.back().box, "refused though it may have run");
  }
  if (std::ranges::all_of(r.attempts, &Attempt::over)) requests_.erase(it);
}

void Checker::Ran(Time now, std::uint64_t job, std::uint64_t request, int cls, int box, int zone, int cell) {
  const ClassModel& model = site_.classes[cls];
  if (model.effect == Effect::kRepeatable) return;
  ++checks_;
  auto [it, fresh] = runs_.try_emplace(job, Run{zone, cell, 0, now});
  ++it->second.count;
  if (fresh) return;
  const auto open = requests_.find(request);
  const Request* r = open != requests_.end() ? &open->second : nullptr;
  if (model.effect == Effect::kUnsafe)
    return Break(2, now, r, box, "an unsafe job runs for the " + std::to_string(it->second.count) + ". time");
  const bool same = model.scope == KeyScope::kAll ||
                    (model.scope == KeyScope::kZone && it->second.zone == zone) ||
                    (model.scope == KeyScope::kCell && it->second.cell == cell);
  if (!same) Break(2, now, r, box, "a keyed job runs in two groups");
}

void Checker::Toppled(Time now, int box, double told_share) {
  if (told_share < 2.0 / 3) return;
  Break(4, now, nullptr, box,
        "pushed over while cold, " + std::to_string(static_cast<int>(100 * told_share)) +
            "% of the work from dispatchers that knew of its start");
}

void Checker::Finish(Time now) {
  std::vector<std::uint64_t> owed;
  for (const auto& [id, r] : requests_)
    if (!r.answered) owed.push_back(id);
  std::ranges::sort(owed);
  for (std::uint64_t id : owed) Break(1, now, &requests_.at(id), -1, "no final answer");
}

}  // namespace lichenlug::lab

#include "routing/service_scheduler.h"

#include <algorithm>
#include <cmath>

#include "routing/zones.h"

namespace lichenlug::routing {
namespace {

constexpr std::size_t kMaxClasses = 64;  // further requests join an existing class with equal effects
// A client that has retried does not try a third time, and even a late answer has value for it.
constexpr int kClientRetryAimFactor = 3;
constexpr Time kMaxClientRetryAim = kSecond;
// A late answer still has value, so no request is given up because its run takes longer than its objective.
constexpr double kUnlimitedStretch = 1e6;
constexpr double kLateValue = 0.5;
constexpr double kPrecedenceStep = 10;   // in powers of two of worth; exceeds the spread of run times
constexpr int kMaxPrecedence = 90;       // keeps the worth above 0
constexpr double kCrossZoneFee = 0.001;  // any positive fee makes the module prefer its own zone
constexpr int kMaxAttempts = 16;         // the caller enforces the request's `tries`
constexpr Time kMaxRetryAfter = kSecond;
// Many dispatchers share a runner, so each sees too few errors to wait for more.
constexpr int kFailuresPerError = 3;

rookgw::ClassSettings SettingsOf(const ClassKey& key) {
  rookgw::ClassSettings settings;
  settings.name = std::to_string(key.objective) + (key.repeatable ? " repeatable" : " once") +
                  (key.stream ? " stream " : " whole ") + std::to_string(key.precedence) +
                  (key.came_back ? " again" : "");
  settings.aim = key.came_back ? std::min(kClientRetryAimFactor * key.objective, kMaxClientRetryAim)
                               : key.objective / kAimDivisor;
  settings.stretch = kUnlimitedStretch;
  settings.late_value = kLateValue;
  settings.worth = std::exp2(-kPrecedenceStep * std::min(key.precedence, kMaxPrecedence));
  settings.effect = key.repeatable ? rookgw::Effect::kRepeatable : rookgw::Effect::kUnsafe;
  settings.priority = key.precedence;
  settings.stream = key.stream;
  return settings;
}

// Class 0 is the fallback when the class table is full, so it must not repeat anything.
ClassKey FallbackClass(const ServiceScheduler::Setup& setup) {
  ClassKey first = setup.first_class;
  first.repeatable = false;
  return first;
}

rookgw::Settings SettingsOf(const ServiceScheduler::Setup& setup) {
  rookgw::Settings settings;
  settings.instances = std::max(1, setup.live_dispatchers);
  if (setup.prefer_own_zone) {
    settings.zones = {"own", "others"};
    settings.my_zone = kOwnZone;
    settings.fee_cross_zone = kCrossZoneFee;
  }
  settings.classes = {SettingsOf(FallbackClass(setup))};
  settings.max_attempts = kMaxAttempts;
  settings.cancelling = true;
  settings.retry_after = true;
  settings.max_retry_after = kMaxRetryAfter;
  settings.repeats_marked = true;  // the module must not try to detect client retries by itself
  settings.reports_starts = true;
  settings.silence = setup.silence;
  settings.failures_per_error = kFailuresPerError;
  return settings;
}

}  // namespace

ClassKey ClassKey::FromArrival(const Arrival& arrival) {
  return {.objective = std::max<Time>(0, arrival.objective),
          .repeatable = arrival.repeatable,
          .stream = arrival.kind == RouteKind::kStream,
          .precedence = std::max(0, arrival.precedence),
          .came_back = arrival.came_back};
}

ServiceScheduler::ServiceScheduler(Time now, const Setup& setup)
    : scheduler_(SettingsOf(setup), setup.seed), classes_{FallbackClass(setup)} {
  std::vector<rookgw::Action> actions;
  scheduler_.Start(now, &actions);
  ExtractTimers(now, 0, &actions);
}

void ServiceScheduler::HandleEvent(Time now, const rookgw::Event& event,
                                   std::vector<rookgw::Action>* actions) {
  const std::size_t from = actions->size();
  scheduler_.Handle(now, event, actions);
  ExtractTimers(now, from, actions);
}

void ServiceScheduler::FireTimers(Time now, std::vector<rookgw::Action>* actions) {
  std::vector<std::string> due;
  std::erase_if(timers_, [&](const auto& timer) {
    if (timer.first > now) return false;
    due.push_back(timer.second);
    return true;
  });
  for (std::string& token : due) HandleEvent(now, rookgw::TimerFired{std::move(token)}, actions);
}

std::optional<Time> ServiceScheduler::NextTimer() const {
  if (idle() || timers_.empty()) return std::nullopt;
  return std::ranges::min(timers_).first;
}

int ServiceScheduler::ClassOf(const ClassKey& key) {
  const auto exact = std::ranges::find(classes_, key);
  if (exact != classes_.end()) return static_cast<int>(exact - classes_.begin());
  if (classes_.size() < kMaxClasses) {
    classes_.push_back(key);
    return scheduler_.AddClass(SettingsOf(key));
  }
  const auto similar = std::ranges::find_if(classes_, [&](const ClassKey& it) {
    return it.repeatable == key.repeatable && it.stream == key.stream;
  });
  return similar == classes_.end() ? 0 : static_cast<int>(similar - classes_.begin());
}

void ServiceScheduler::ExtractTimers(Time now, std::size_t from, std::vector<rookgw::Action>* actions) {
  const auto added = actions->begin() + static_cast<std::ptrdiff_t>(from);
  const auto is_timer = [](const rookgw::Action& action) {
    return std::holds_alternative<rookgw::SetTimer>(action);
  };
  for (auto it = added; it != actions->end(); ++it)
    if (const auto* timer = std::get_if<rookgw::SetTimer>(&*it))
      timers_.emplace_back(now + timer->span, timer->token);
  actions->erase(std::remove_if(added, actions->end(), is_timer), actions->end());
}

}  // namespace lichenlug::routing

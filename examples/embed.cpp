// A minimal node: builds settings in code, passes a few events to a Scheduler and prints its actions.
#include <rookgw/brain.h>

#include <cstdio>

namespace {

struct Printer {
  void operator()(const rookgw::Dispatch& a) const {
    std::printf("dispatch %llu to %s\n", static_cast<unsigned long long>(a.id), a.worker.c_str());
  }
  void operator()(const rookgw::Decline& a) const {
    std::printf("decline %llu\n", static_cast<unsigned long long>(a.id));
  }
  void operator()(const rookgw::Fail& a) const {
    std::printf("fail %llu\n", static_cast<unsigned long long>(a.id));
  }
  void operator()(const rookgw::CancelAttempt& a) const {
    std::printf("cancel attempt %d of %llu\n", a.attempt, static_cast<unsigned long long>(a.id));
  }
  void operator()(const rookgw::Probe& a) const { std::printf("probe %s\n", a.worker.c_str()); }
  void operator()(const rookgw::SetTimer& a) const {
    std::printf("timer '%s' in %lld us\n", a.token.c_str(), static_cast<long long>(a.span));
  }
  void operator()(const rookgw::Subscribe&) const { std::printf("subscribe to the list\n"); }
  void operator()(const rookgw::Log& a) const { std::printf("log: %s\n", a.text.c_str()); }
};

}  // namespace

int main() {
  rookgw::Settings settings;
  settings.zones = {"here"};
  settings.kinds = {"box"};
  settings.max_attempts = 3;
  settings.ramp_time = 10'000'000;
  settings.overload_for = 1'000'000;
  settings.overload_factor = 3;
  settings.cold_share = 0.2;
  rookgw::ClassSettings render;
  render.name = "render";
  render.aim = 400'000;
  render.deadline = 5'000'000;
  render.effect = rookgw::Effect::kRepeatable;
  settings.classes = {render};

  rookgw::Scheduler scheduler(settings, /*seed=*/1);
  std::vector<rookgw::Action> actions;
  rookgw::Time now = 1'000'000;
  scheduler.Start(now, &actions);

  rookgw::ListedWorker workers[2];
  workers[0].id = "worker-a";
  workers[1].id = "worker-b";
  for (auto& w : workers) w.kind = w.zone = 0;
  scheduler.Handle(now, rookgw::ListChanged{rookgw::ListChanged::Form::kWhole, 1, workers}, &actions);

  rookgw::RequestArrived request;
  request.id = 1;
  request.key = 42;
  request.valid_until = now + 5'000'000;
  scheduler.Handle(now, request, &actions);

  for (const rookgw::Action& action : actions) std::visit(Printer{}, action);
}

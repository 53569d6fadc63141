#include "simulated_fleet.h"

#include <cmath>

#include "duties/load_history.h"

namespace lichenlug::placement {
namespace {

constexpr Time kStep = 10 * kMillisecond, kHeartbeat = 1200 * kMillisecond,
               kReportInterval = 250 * kMillisecond;
constexpr Time kRenewInterval = kSecond;
constexpr Time kLostAfter = 2500 * kMillisecond, kOriginWindow = 5 * kSecond;
constexpr double kCapacity = 200000;

messages::Service MakeService(const SimulationOptions& options) {
  messages::Service service;
  service.set_name("llm");
  messages::Engine& engine = *service.mutable_engine();
  engine.set_slots(options.slots);
  engine.set_weights_mb(kCapacity);
  engine.set_adapter_slots(8);
  engine.set_loads_per_s(options.loads_per_s);
  for (int i = 0; i < options.models; ++i) {
    messages::Model& model = *engine.add_models();
    model.set_name("m" + std::to_string(i));
    model.set_weights_mb(i % 3 == 0 ? 34300 : i % 3 == 1 ? 72700 : 65100);
    model.set_load_s(i % 3 == 0 ? 1.3 : i % 3 == 1 ? 2.9 : 2.5);
    model.set_adapters(i % 3 == 0 ? options.adapters : 0);
    model.set_adapter_mb(66);
  }
  return service;
}

}  // namespace

SimulatedFleet::SimulatedFleet(SimulationOptions options)
    : options_(options), random_(options.seed), service_(MakeService(options)) {
  catalog_.Assign(service_.engine());
  for (int i = 0; i < options.runners; ++i) {
    SimulatedRunner runner;
    runner.id = "r" + std::to_string(starts_++);
    runner.address = "10.0.0." + std::to_string(i) + ":80";
    runner.zone = "z" + std::to_string(i % options.zones);
    runner.next_heartbeat = now_ + Between(0, kHeartbeat);
    if (options.prefilled && catalog_.Fits(runner.held, {"m0", ""})) runner.held.Add({"m0", ""});
    runners_.push_back(runner);
  }
  for (int model = 1; options.prefilled && model < options.models; ++model)
    for (SimulatedRunner& runner : runners_)
      if (catalog_.Fits(runner.held, {ModelName(model), ""})) {
        runner.held.Add({ModelName(model), ""});
        break;
      }
  for (SimulatedRunner& runner : runners_) {
    for (const auto& [model, adapters] : runner.held.models()) disks_[runner.address].insert(model);
    Heartbeat(&runner);
  }
  reports_.resize(3);
  placement_ = NewHolder();
}

void SimulatedFleet::Run(Time span) {
  for (const Time end = now_ + span; now_ < end; now_ += kStep) {
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    StepRunners();
    StepClients();
    StepHolder();
  }
}

void SimulatedFleet::StepRunners() {
  for (SimulatedRunner& runner : runners_) {
    if (runner.in_progress && now_ >= runner.done_at) {
      if (runner.in_progress->kind == Order::Kind::kLoad)
        runner.held.Add(runner.in_progress->key),
            disks_[runner.address].insert(runner.in_progress->key.model);
      else
        runner.held.Remove(runner.in_progress->key);
      runner.in_progress.reset();
    }
    if (now_ >= runner.next_heartbeat && !runner.silent) Heartbeat(&runner);
  }
}

// The record reaches the holder only if it contains something new.
void SimulatedFleet::Heartbeat(SimulatedRunner* runner) {
  runner->next_heartbeat = now_ + kHeartbeat;
  messages::RunnerRecord record;
  record.set_runner_id(runner->id);
  record.set_service("llm");
  record.set_address(runner->address);
  record.set_zone(runner->zone);
  record.set_slots(options_.slots);
  record.set_state(runner->draining ? messages::RUNNER_DRAINING : messages::RUNNER_READY);
  record.set_call_count(++runner->heartbeats);
  for (const auto& [model, adapters] : runner->held.models()) {
    messages::HeldModel& held = *record.add_models();
    held.set_name(model);
    for (const std::string& adapter : adapters) held.add_adapters(adapter);
  }
  if (mutate_record) mutate_record(&record);
  At(now_ + Between(kMillisecond, 60 * kMillisecond), [this, record] {
    messages::RunnerRecord& known = records_[record.runner_id()];
    messages::RunnerRecord same = record;
    same.set_call_count(known.call_count());
    if (record.call_count() > known.call_count() && same.SerializeAsString() != known.SerializeAsString())
      known = record, input_changed_ = true;
  });
}

void SimulatedFleet::SetDemand(const Key& key, double requests_per_s, double work_s) {
  client_demand_[key] = {requests_per_s, work_s, 0};
}

void SimulatedFleet::SetZipfDemand(double requests_per_s, int first_model, int models) {
  client_demand_.clear();
  double sum = 0;
  for (int i = 0; i < models; ++i) sum += 1 / std::pow(i + 1, 1.5);
  for (int i = 0; i < models; ++i)
    SetDemand({ModelName((first_model + i) % options_.models), ""},
              requests_per_s / std::pow(i + 1, 1.5) / sum);
}

void SimulatedFleet::Crash(std::size_t number, Time downtime) {
  SimulatedRunner& runner = runners_[number];
  const std::string lost = runner.id;
  At(now_ + kLostAfter, [this, lost] {
    records_.erase(lost);
    input_changed_ = true;
  });
  SimulatedRunner restarted;
  restarted.id = "r" + std::to_string(starts_++);
  restarted.address = runner.address;
  restarted.zone = runner.zone;
  restarted.next_heartbeat = now_ + downtime;
  restarted.silent = true;
  runner = restarted;
  At(now_ + downtime, [this, number, id = restarted.id] {
    if (runners_[number].id == id) runners_[number].silent = false;
  });
}

bool SimulatedFleet::IsLoaded(const Key& key) const {
  for (const SimulatedRunner& runner : runners_)
    if (!runner.silent && !runner.draining && runner.held.Holds(key)) return true;
  return false;
}

void SimulatedFleet::StepClients() {
  const double seconds = static_cast<double>(kStep) / kSecond;
  for (auto& [key, entry] : client_demand_) {
    const bool served = IsLoaded(key);
    requested_ += entry.per_s * seconds;
    if (!served) unserved_ += entry.per_s * seconds;
    entry.unserved = (entry.unserved + (served ? 0 : entry.per_s * seconds)) * 0.99;
  }
  if (now_ < next_report_) return;
  next_report_ = now_ + kReportInterval;
  input_changed_ = true;
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    messages::DemandReport& report = reports_[i];
    report.Clear();
    report.set_name("d" + std::to_string(i));
    report.set_incarnation(1);
    report.set_number(++report_number_);
    const auto share = static_cast<double>(reports_.size());
    for (const auto& [key, entry] : client_demand_) {
      if (entry.per_s <= 0) continue;
      messages::ModelDemand& demand = *report.add_models();
      demand.set_service("llm");
      demand.set_model(key.model);
      demand.set_adapter(key.adapter);
      demand.set_arrivals_per_s(entry.per_s / share);
      demand.set_running(IsLoaded(key) ? entry.per_s * entry.work_s / share : 0);
      demand.set_unserved(entry.unserved < 0.05 ? 0 : entry.unserved / share);
    }
  }
}

std::unique_ptr<Placement> SimulatedFleet::NewHolder() {
  Placement::Settings settings;
  settings.service = "llm";
  settings.holder = "d" + std::to_string(holders_++);
  settings.seed = options_.seed;
  settings.origin_window = kOriginWindow;
  settings.heartbeat = options_.assumed_heartbeat;
  return std::make_unique<Placement>(settings);
}

void SimulatedFleet::FailOver(Time pause) {
  holds_ = false;
  input_changed_ = true;
  const std::uint64_t epoch = ++epoch_;
  At(now_ + pause, [this, epoch] {
    if (epoch != epoch_) return;
    holds_ = input_changed_ = true;
    if (published_loads_) duties::AgeLoads(now_ - lease_started_at_, &*published_loads_);
    lease_started_at_ = now_;
  });
  placement_ = NewHolder();
}

// A renewal is chosen at once here. A holder that had to wait would keep the allowance of the previous one.
void SimulatedFleet::RenewLease() {
  if (!holds_ || now_ < lease_started_at_ + kRenewInterval) return;
  if (auto published = placement_->LoadHistoryForRenewal(now_, epoch_, false))
    published_loads_ = std::move(published);
  lease_started_at_ = now_;
  input_changed_ = true;
}

void SimulatedFleet::StepHolder() {
  RenewLease();
  const std::optional<Time> timer = placement_->NextTimer();
  if (!input_changed_ && (!timer || *timer > now_)) return;
  input_changed_ = false;
  RunnerList records;
  for (const auto& [id, record] : records_)
    records.push_back(std::make_shared<const messages::RunnerRecord>(record));
  Placement::Input input;
  input.service = &service_;
  input.runners = &records;
  input.demand = &reports_;
  input.epoch = epoch_;
  input.holds = holds_;
  input.loads = published_loads_ ? &*published_loads_ : nullptr;
  input.lease_started_at = lease_started_at_;
  std::vector<duties::HttpCall> calls;
  placement_->Act(now_, input, &calls);
  if (!holds_ && !calls.empty()) violations_.push_back("calls sent without holding the duty");
  for (const duties::HttpCall& call : calls) Send(call);
}

void SimulatedFleet::Send(const duties::HttpCall& call) {
  if (on_call) on_call(call);
  call.method == "POST" ? ++orders_ : ++probes_;
  const Time one_way_delay = Between(kMillisecond, 8 * kMillisecond);
  const bool lost = Chance(options_.lost_request), late = !lost && Chance(options_.late_request);
  const auto deliver = [this, tag = call.tag, from = placement_.get()](Time at, duties::HttpResult result) {
    if (mutate) mutate(&result);
    At(at, [this, tag, from, result] {
      if (placement_.get() == from) placement_->Completed(now_, tag, result);
    });
  };
  if (lost || late) {
    deliver(now_ + call.timeout, {});
    if (late) At(now_ + Between(kSecond, options_.max_delay), [this, call] { Serve(call, true); });
    return;
  }
  At(now_ + one_way_delay, [this, call, one_way_delay, deliver] {
    const duties::HttpResult result = Serve(call, false);
    const bool unanswered = result.status == 0 || Chance(options_.lost_answer);
    deliver(unanswered ? now_ + call.timeout : now_ + one_way_delay,
            unanswered ? duties::HttpResult{} : result);
  });
}

}  // namespace lichenlug::placement

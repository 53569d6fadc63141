#include "testbed.h"

#include <algorithm>

namespace lichenlug::routing {

Testbed::Testbed() : configuration_(std::make_shared<messages::Configuration>()) {
  messages::Service* pool = configuration_->add_services();
  pool->set_name("pool");
  pool->mutable_engine()->set_slots(64);
  for (const char* name : {"m1", "m2", "m3", "m4", "unloaded"}) {
    messages::Model* model = pool->mutable_engine()->add_models();
    model->set_name(name);
    model->set_load_s(2);
    model->set_adapters(4);
  }
  configuration_->add_services()->set_name("desk");
  for (int precedence : {0, 1, 2}) configuration_->add_routes()->set_precedence(precedence);
}

messages::RunnerRecord& Testbed::AddRunner(const std::string& id, const std::string& service, int slots,
                                           const std::vector<std::string>& models) {
  messages::RunnerRecord& record = runners_[id];
  record.set_runner_id(id);
  record.set_service(service);
  record.set_address("10.0.0.1:" + std::to_string(8000 + runners_.size()));
  record.set_zone(zone);
  record.set_slots(slots);
  record.set_call_count(1);
  for (const std::string& name : models) {
    const std::size_t slash = name.find('/');
    const std::string model = name.substr(0, slash);
    auto* held = record.mutable_models();
    auto found = std::find_if(held->begin(), held->end(), [&](const auto& it) { return it.name() == model; });
    messages::HeldModel* entry = found == held->end() ? record.add_models() : &*found;
    entry->set_name(model);
    if (slash != std::string::npos) entry->add_adapters(name.substr(slash + 1));
  }
  return record;
}

std::shared_ptr<const Snapshot> Testbed::MakeSnapshot() const {
  auto runners = std::make_shared<RunnerList>();
  for (const auto& [id, record] : runners_)
    runners->push_back(std::make_shared<const messages::RunnerRecord>(record));
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->revision = 1;
  snapshot->configuration = std::make_shared<messages::Configuration>(*configuration_);
  snapshot->runners = std::move(runners);
  snapshot->live_dispatchers = live_dispatchers;
  snapshot->runners_known = runners_known;
  snapshot->zone = zone;
  snapshot->bounds = bounds;
  return snapshot;
}

Arrival MakeArrival(RequestNumber number, Time now, const std::string& model) {
  const std::size_t slash = model.find('/');
  Arrival arrival;
  arrival.request = number;
  arrival.service = model.empty() ? "desk" : "pool";
  arrival.route = "r";
  arrival.model = model.substr(0, slash);
  if (slash != std::string::npos) arrival.adapter = model.substr(slash + 1);
  arrival.kind = model.empty() ? RouteKind::kUnsafe : RouteKind::kStream;
  arrival.repeatable = !model.empty();
  arrival.tries = 2;
  arrival.objective = 300 * kMillisecond;
  arrival.deadline = now + 12 * kSecond;
  return arrival;
}

TestDispatcher::TestDispatcher(const Testbed& testbed, std::uint64_t seed)
    : now(kStartTime), decisions(0, seed) {
  Install(testbed);
}

TestDispatcher::TestDispatcher(const Testbed& testbed, std::uint64_t seed, Time started)
    : now(started), decisions(started, seed) {
  Install(testbed);
}

std::vector<Decision> TestDispatcher::Install(const Testbed& testbed) {
  std::vector<Decision> out;
  decisions.Install(now, testbed.MakeSnapshot(), &out);
  return out;
}

std::vector<Decision> TestDispatcher::Arrived(const Arrival& arrival) {
  std::vector<Decision> out;
  decisions.Arrived(now, arrival, &out);
  return out;
}

std::vector<Decision> TestDispatcher::Ended(const StartAttempt& attempt, AttemptOutcome outcome, bool final) {
  std::vector<Decision> out;
  decisions.AttemptEnded(now, attempt.request, attempt.attempt, outcome, final, &out);
  return out;
}

std::vector<Decision> TestDispatcher::CompleteFirstAttempt(RequestNumber number) {
  std::vector<Decision> out;
  decisions.AttemptEnded(now, number, 0, AttemptOutcome::kServed, true, &out);
  return out;
}

std::vector<Decision> TestDispatcher::Gone(RequestNumber number) {
  std::vector<Decision> out;
  decisions.Gone(now, number, &out);
  return out;
}

std::vector<Decision> TestDispatcher::Advance(Time span) {
  std::vector<Decision> out;
  const Time until = now + span;
  while (true) {
    const std::optional<Time> due = decisions.NextTimer();
    if (!due || *due > until) break;
    now = std::max(now, *due);
    decisions.Tick(now, &out);
  }
  now = until;
  return out;
}

std::string TestDispatcher::SendRequest(const std::string& model) {
  const auto started = DecisionsOfType<StartAttempt>(Arrived(MakeArrival(next_request++, now, model)));
  return started.empty() ? std::string() : started.front().runner_id;
}

}  // namespace lichenlug::routing

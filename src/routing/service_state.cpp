#include "routing/service_state.h"

namespace lichenlug::routing {
namespace {

// Engines send events frequently; other services may stay silent until their complete answer.
constexpr Time kEngineSilenceTimeout = kSecond, kDefaultSilenceTimeout = 2 * kSecond;

}  // namespace

void ServiceState::Configure(const messages::Service& service) {
  configured = true;
  has_engine = service.has_engine();
  load_times.clear();
  for (const messages::Model& model : service.engine().models())
    load_times[model.name()] = static_cast<Time>(model.load_s() * kSecond);
}

ServiceScheduler& ServiceState::Scheduler(Time now, const ClassKey& first, std::uint64_t seed,
                                          int live_dispatchers) {
  if (scheduler) return *scheduler;
  scheduler = std::make_unique<ServiceScheduler>(
      now, ServiceScheduler::Setup{.seed = seed,
                                   .live_dispatchers = live_dispatchers,
                                   .prefer_own_zone = prefer_own_zone,
                                   .silence = has_engine ? kEngineSilenceTimeout : kDefaultSilenceTimeout,
                                   .first_class = first});
  const RunnerTable::Changes all = runners.All();
  std::vector<rookgw::Action> none;  // there are no requests yet
  scheduler->HandleEvent(
      now, rookgw::ListChanged{.form = rookgw::ListChanged::Form::kWhole, .version = 0, .workers = all},
      &none);
  return *scheduler;
}

Time ServiceState::LoadTime(const std::string& model, const std::string& adapter) const {
  if (!adapter.empty() && runners.AnyReady(HoldingOf(model, {}))) return 0;
  const auto found = load_times.find(model);
  return found == load_times.end() ? 0 : found->second;
}

}  // namespace lichenlug::routing

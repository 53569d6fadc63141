#include "lab/system/system.h"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "lab/system/http_call.h"
#include "lab/system/sample.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxSeeds = 3;
constexpr Time kKillTimeout = 5 * kSecond;
const std::vector<std::string> kZones = {"east", "west"};

// A network of 127.0.0.0/8 that no other run on this machine uses: runs may be concurrent.
std::string UniqueNetwork() {
  constexpr int kValuesPerByte = 250;
  static int runs = 0;
  const int number = static_cast<int>(getpid()) + 7919 * runs++;
  return "127." + std::to_string(1 + number / kValuesPerByte % kValuesPerByte) + "." +
         std::to_string(number % kValuesPerByte) + ".";
}

std::filesystem::path CreateTemporaryDirectory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "lichenlug-system-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("can't create a temporary directory: " + pattern);
  return pattern;
}

}  // namespace

System::System(const SystemPlan& plan)
    : folder_(CreateTemporaryDirectory()), platform_(loop_.io(), &ledger_) {
  MakeDispatchers(plan);
  MakeRunners(plan);
  std::vector<Ingress::Dispatcher> fronts;
  for (const auto& dispatcher : dispatchers_)
    if (dispatcher->settings().serves_clients)
      fronts.push_back({dispatcher->ready_address(), dispatcher->front_address(), 0, false});
  ingress_ = std::make_unique<Ingress>(&loop_, std::move(fronts));
  operator_ = std::make_unique<Operator>(&loop_, ControlAddresses());
  clients_ = std::make_unique<Clients>(&loop_, ingress_.get(), &ledger_);
}

System::~System() {
  for (const auto& dispatcher : dispatchers_) dispatcher->Kill(kKillTimeout);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void System::MakeDispatchers(const SystemPlan& plan) {
  const std::string network = UniqueNetwork();
  const int count = plan.core + plan.diskless;
  std::vector<std::string> seeds;
  for (int index = 0; index < count && seeds.size() < kMaxSeeds; ++index)
    seeds.push_back(ControlAddress(network + std::to_string(index + 1)));
  for (int index = 0; index < count; ++index) {
    DispatcherSettings settings;
    settings.name = "dispatcher-" + std::to_string(index + 1);
    settings.ip = network + std::to_string(index + 1);
    settings.zone = kZones[static_cast<std::size_t>(index) % kZones.size()];
    settings.seeds = seeds;
    settings.platform_address = platform_.address();
    settings.has_disk = index < plan.core;
    settings.serves_clients = plan.core_serves_clients || !settings.has_disk;
    settings.tolerated_losses = plan.tolerated_losses;
    settings.memory_mb = plan.memory_mb, settings.descriptors = plan.descriptors;
    settings.times = plan.times;
    dispatchers_.push_back(
        std::make_unique<Dispatcher>(&loop_, plan.program, folder_ / settings.name, settings));
  }
}

void System::MakeRunners(const SystemPlan& plan) {
  for (int index = 0; index < plan.runners; ++index) {
    RunnerSettings settings;
    settings.id = "runner-" + std::to_string(index + 1);
    settings.service = sample::kService;
    settings.zone = kZones[static_cast<std::size_t>(index) % kZones.size()];
    settings.models = {sample::kBusyModel};
    if (index == 0) settings.models.push_back(sample::kRareModel);
    settings.heartbeat_interval = plan.times.heartbeat_ms * kMillisecond;
    settings.drain_bound = plan.times.drain_ms * kMillisecond;
    runners_.push_back(std::make_unique<Runner>(&loop_, settings, &ledger_));
  }
}

std::vector<std::string> System::ControlAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& dispatcher : dispatchers_) addresses.push_back(dispatcher->control_address());
  return addresses;
}

bool System::Found(Time timeout) {
  StartDispatchers();
  StartRunners();
  return TakeFirstConfiguration(timeout) && WaitReady(timeout);
}

void System::StartDispatchers() {
  for (const auto& dispatcher : dispatchers_) dispatcher->Start(true);
}

void System::StartRunners() {
  for (const auto& runner : runners_) runner->StartHeartbeats(ControlAddresses());
}

bool System::TakeFirstConfiguration(Time timeout) {
  Change first;
  first.body = sample::Configuration(1).dump();
  return operator_->Send(first, timeout).status == 200;
}

bool System::SaysReady(std::size_t dispatcher) {
  const Json status = Status(dispatcher);
  return status.is_object() && status.value("ready", false);
}

// The ingress may not have noticed yet that a dispatcher was down, so the status of each is polled first.
bool System::WaitReady(Time timeout) {
  const Time deadline = loop_.Now() + timeout;
  for (std::size_t index = 0; index < dispatchers_.size(); ++index) {
    if (!loop_.RunUntil([&] { return SaysReady(index); }, deadline - loop_.Now())) return false;
  }
  const auto all_ready = [this] {
    return ingress_->AllReady() &&
           std::all_of(runners_.begin(), runners_.end(), [](const auto& one) { return one->acknowledged(); });
  };
  return loop_.RunUntil(all_ready, deadline - loop_.Now());
}

bool System::WaitEdition(std::int64_t edition, Time timeout) {
  const Time deadline = loop_.Now() + timeout;
  for (std::size_t index = 0; index < dispatchers_.size();) {
    const Json status = dispatchers_[index]->Running() ? Status(index) : Json();
    const bool in_force = !dispatchers_[index]->Running() ||
                          (status.is_object() && status.value("edition", std::int64_t{0}) >= edition);
    if (in_force) {
      ++index;
    } else if (loop_.Now() > deadline) {
      return false;
    }
  }
  return true;
}

Json System::Status(std::size_t dispatcher) {
  HttpCall call;
  call.path = wire::kStatusPath;
  const HttpMessage answer = CallAndWait(&loop_, dispatchers_[dispatcher]->control_address(), call);
  return answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
}

std::string System::Logs() const {
  std::string all;
  for (const auto& dispatcher : dispatchers_) all += "---- " + dispatcher->name() + "\n" + dispatcher->Log();
  return all;
}

}  // namespace lichenlug::standins

#include "lab/control/world.h"

#include <algorithm>
#include <set>
#include <utility>

#include "lab/control/bounds.h"

namespace lichenlug::lab::control {

namespace {

constexpr Time kDrainBound = 2 * kSecond;  // from the acknowledgement of a drain to its effect
constexpr Time kLease = 3 * kSecond;
constexpr Time kMaxRecoveryTime = 10 * kSecond;  // from the end of all faults
constexpr Time kCheckInterval = 100 * kMillisecond;
constexpr Time kHeartbeatInterval = 1200 * kMillisecond;
constexpr Time kMaxDayLength = 200 * kSecond;

std::string InternalAddress(MachineIndex index) { return "10.0.0." + std::to_string(index + 1) + ":7660"; }
std::string ControlAddress(MachineIndex index) { return "10.0.0." + std::to_string(index + 1) + ":7661"; }

const char* KindOf(const messages::Envelope& envelope) {
  switch (envelope.body_case()) {
    case messages::Envelope::kMembership:
      return "membership";
    case messages::Envelope::kRegistry:
      return "registry";
    case messages::Envelope::kDistribution:
      return "distribution";
    case messages::Envelope::kConsensus:
      return "consensus";
    case messages::Envelope::kFounding:
      return "founding";
    case messages::Envelope::kDuties:
      return "duties";
    case messages::Envelope::kGroupHints:
      return "group hints";
    case messages::Envelope::BODY_NOT_SET:
      break;
  }
  return "empty";
}

Time CallDelay(std::mt19937_64* random) { return std::uniform_int_distribution<Time>(200, 2000)(*random); }

}  // namespace

Testbed::Testbed(const Day& day)
    : day_(day),
      random_(day.seed * 2 + 1),
      network_(&events_, &random_),
      history_(&violations_),
      in_force_(&violations_, day.in_force_within),
      drains_(&violations_, kDrainBound),
      holders_(&violations_, kLease),
      disturbed_until_(day.machines(), 0),
      last_disturbed_(day.machines(), 0),
      loses_answers_until_(day.machines(), 0),
      start_after_exit_(day.machines(), 0),
      fence_checked_(day.seed % 2 == 0) {
  for (MachineIndex i = 0; i < day_.machines(); ++i) {
    machines_.push_back(std::make_unique<Machine>(this, i, SettingsOf(i)));
    by_internal_address_.emplace(InternalAddress(i), i);
    network_.AddMachine(i < day_.stores ? kFastLink : LinkSpeed{day_.diskless_bytes_per_microsecond});
  }
  for (std::size_t i = 0; i < day_.runners; ++i)
    runners_.push_back(std::make_unique<Runner>(this, &events_, &drains_, i, kHeartbeatInterval));
  if (!day_.late_heartbeat_after) return;
  for (auto& runner : runners_) runner->RepeatHeartbeatAfterEnd(*day_.late_heartbeat_after);
}

Testbed::~Testbed() = default;

node::NodeSettings Testbed::SettingsOf(MachineIndex index) const {
  node::NodeSettings settings;
  const bool has_disk = index < day_.stores;
  settings.name = "machine-" + std::to_string(100 + index);
  settings.zone = "zone-" + std::to_string(1 + index % day_.zones);
  settings.region = "region";
  settings.internal_address = InternalAddress(index);
  settings.control_address = ControlAddress(index);
  settings.ready_address = "10.0.0.1:1";
  for (MachineIndex i = 0; i < std::min<std::size_t>(day_.stores, 3); ++i)
    settings.seed_addresses.push_back(InternalAddress(i));
  settings.first_run = true;
  settings.counts_for_quorum = has_disk;
  settings.store_folder = has_disk ? "disk" : "";
  settings.tolerated_machines = day_.tolerated;
  settings.heartbeat_interval = kHeartbeatInterval;
  settings.platform_address = "10.9.9.9:80";
  settings.duty_usage = true;
  settings.bounds.lease = kLease;
  settings.bounds.configuration_in_force = day_.in_force_within;
  settings.bounds.drain = kDrainBound;
  settings.bounds.contact = kConnectedAfter;
  return settings;
}

void Testbed::StartAll() {
  for (MachineIndex i = 0; i < machines_.size(); ++i)
    StartAfter(i, std::uniform_int_distribution<Time>(0, kStartSpread)(random_));
  for (auto& runner : runners_) events_.After(kSecond, [&runner = *runner] { runner.Start(); });
  Operator::Task first;
  first.tag = "first";
  first.base = Version{};
  first.configuration_bytes = day_.configuration_bytes;
  first.deadline = kMaxDayLength;
  operators_.push_back(std::make_unique<Operator>(this, &events_, &history_, &in_force_, std::move(first)));
  events_.At(day_.first_change_at, [this] { operators_.front()->Begin(); });
}

Outcome Testbed::Run() {
  StartAll();
  for (const Event& event : day_.events) events_.At(event.at, [this, event] { Inject(event); });
  Time next_check = 0;
  const auto ended = [this] {
    return events_.now() >= std::max(day_.faults_end, last_start_) + kMaxRecoveryTime;
  };
  while (!(ended() && pending_starts_ == 0) && events_.now() < kMaxDayLength) {
    next_check += kCheckInterval;
    events_.RunUntil(next_check);
    Check();
  }
  Finish();
  return outcome_;
}

// ---- Environment of the machines -----------------------------------------------------------------------

void Testbed::SendMessage(MachineIndex from, const std::string& address, messages::Envelope envelope) {
  const auto found = by_internal_address_.find(address);
  if (found == by_internal_address_.end()) return;
  const MachineIndex to = found->second;
  const std::size_t bytes = envelope.ByteSizeLong();
  ++messages_;
  outcome_.bytes_by_kind[KindOf(envelope)] += bytes;
  AddToDigest(static_cast<std::uint64_t>(events_.now()) * 31 + from * 1009 + to * 17 + bytes * 65'537);
  auto shared = std::make_shared<messages::Envelope>(std::move(envelope));
  network_.Send(from, to, bytes, [this, to, shared] { machines_[to]->Deliver(std::move(*shared)); });
}

void Testbed::CallPlatform(MachineIndex from, const duties::HttpCall& call,
                           std::function<void(duties::HttpResult)> answer) {
  const int status = holders_.Called(events_.now(), from, call.fence, fence_checked_);
  events_.After(CallDelay(&random_), [answer = std::move(answer), status] { answer({status, ""}); });
}

void Testbed::Installed(MachineIndex machine, const routing::Snapshot& snapshot) {
  AddToDigest(static_cast<std::uint64_t>(events_.now()) * 7 + machine + snapshot.revision * 101);
}

void Testbed::Exited(MachineIndex machine) {
  MarkDisturbed(machine, events_.now() + kCatchUpTime);
  StartAfter(machine, start_after_exit_[machine]);
}

MachineIndex Testbed::FindByControlAddress(const std::string& address) const {
  for (MachineIndex i = 0; i < machines_.size(); ++i) {
    if (machines_[i]->settings().control_address == address) return i;
  }
  return machines_.size();
}

void Testbed::Call(MachineIndex machine, node::ControlRequest request, Time timeout, OnResponse on_response) {
  auto pending = std::make_shared<OnResponse>(std::move(on_response));
  const auto respond = [pending](const std::optional<node::ControlResponse>& response) {
    if (const OnResponse callback = std::exchange(*pending, nullptr)) callback(response);
  };
  events_.After(timeout, [respond] { respond(std::nullopt); });
  events_.After(CallDelay(&random_), [this, machine, request = std::move(request), respond] {
    if (!machines_[machine]->IsRunning()) return respond(std::nullopt);  // connection refused
    machines_[machine]->HandleCall(request, [this, machine, respond](const node::ControlResponse& response) {
      if (loses_answers_until_[machine] > events_.now()) return;
      events_.After(CallDelay(&random_), [respond, response] { respond(response); });
    });
  });
}

// ---- Invariant checks ----------------------------------------------------------------------------------

bool Testbed::IsDisturbed(MachineIndex machine) const {
  return !machines_[machine]->IsRunning() || events_.now() < disturbed_until_[machine];
}

// If more stores are disturbed than the deployment tolerates, no machine counts as connected.
void Testbed::UpdateDisturbances() {
  const Time now = events_.now();
  int stores = 0;
  for (MachineIndex i = 0; i < machines_.size(); ++i) {
    if (!IsDisturbed(i)) continue;
    last_disturbed_[i] = now;
    if (i < day_.stores) ++stores;
  }
  if (stores > day_.tolerated) std::fill(last_disturbed_.begin(), last_disturbed_.end(), now);
}

std::int64_t Testbed::EditionAt(MachineIndex machine) const {
  const routing::Snapshot* snapshot = machines_[machine]->snapshot();
  const bool has_one = snapshot != nullptr && snapshot->configuration != nullptr;
  return has_one ? snapshot->configuration->edition() : 0;
}

void Testbed::Check() {
  UpdateDisturbances();
  for (MachineIndex i = 0; i < machines_.size(); ++i) {
    if (IsDisturbed(i) || events_.now() - last_disturbed_[i] < kCheckInterval) continue;
    in_force_.Check(events_.now(), i, last_disturbed_[i], EditionAt(i));
    std::set<std::string> ready;
    const routing::Snapshot* snapshot = machines_[i]->snapshot();
    if (snapshot == nullptr || snapshot->runners == nullptr) continue;
    for (const auto& runner : *snapshot->runners) {
      if (runner->state() == messages::RUNNER_READY) ready.insert(runner->runner_id());
    }
    drains_.Check(events_.now(), i, last_disturbed_[i], ready);
  }
  const Time settled = std::max(day_.faults_end, last_start_);
  if (events_.now() >= settled && pending_starts_ == 0 && !outcome_.recovered_after && AllUpToDate())
    outcome_.recovered_after = events_.now() - settled;
}

bool Testbed::AllUpToDate() const {
  for (MachineIndex i = 0; i < machines_.size(); ++i) {
    if (!machines_[i]->IsReady() || EditionAt(i) < history_.newest()) return false;
  }
  return history_.newest() > 0;
}

void Testbed::Finish() {
  const Time now = events_.now();
  outcome_.elapsed = now;
  if (!outcome_.recovered_after)
    violations_.Record(now, "recovery",
                       "not all machines are ready with the newest configuration 10 s after the last fault");
  for (MachineIndex i = 0; i < machines_.size(); ++i) {
    Operator::Task read;
    read.first_machine = i;
    read.deadline = now + 2 * kSecond;
    operators_.push_back(std::make_unique<Operator>(this, &events_, &history_, &in_force_, read));
    operators_.back()->Begin();
  }
  events_.RunUntil(now + 4 * kSecond);
  for (std::size_t i = operators_.size() - machines_.size(); i < operators_.size(); ++i) {
    if (operators_[i]->reads() == 0)
      violations_.Record(now, "readable", "the configuration could not be read 10 s after the last fault");
  }
  const std::uint64_t budget = ByteBudget(day_, history_.acknowledged(), starts_, now);
  if (network_.bytes() > budget) {
    violations_.Record(now, "bytes",
                       std::to_string(network_.bytes()) + " bytes were sent, but only " +
                           std::to_string(budget) + " are accounted for");
  }
  outcome_.violations = violations_.all();
  outcome_.changes = history_.acknowledged();
  for (const auto& each : operators_) outcome_.reads += each->reads();
  outcome_.drains = drains_.acknowledged();
  outcome_.platform_calls = holders_.calls();
  outcome_.messages = messages_;
  outcome_.bytes = network_.bytes();
  outcome_.dropped = network_.dropped();
}

void Testbed::AddToDigest(std::uint64_t number) {
  outcome_.digest = (outcome_.digest ^ number) * 0x100000001b3ull;
  outcome_.digest ^= outcome_.digest >> 29;
}

// Days without faults with 3 to 28 machines take 5.1 to 6.7 kB per machine and second with three stores, 6.8
// to 8.3 with five, 7.9 to 10.2 with seven: the traffic of each machine to the stores grows with their
// number.
std::uint64_t ByteBudget(const Day& day, std::size_t changes, std::size_t starts, Time elapsed) {
  constexpr std::uint64_t kBytesPerMachineSecond = 3'500, kBytesPerMachineSecondAndStore = 1'250;
  constexpr std::uint64_t kBytesPerChangeAndMachine = 8'000;
  const auto seconds = static_cast<std::uint64_t>(elapsed / kSecond);
  const std::uint64_t steady =
      seconds * day.machines() * (kBytesPerMachineSecond + kBytesPerMachineSecondAndStore * day.stores);
  // The complete first configuration is sent to all machines, to some twice, and to each store that joins its
  // group; each start reads it once or twice.
  const std::uint64_t full_transfers = 3 * day.machines() + 6 * day.stores + 3 * starts;
  return steady + full_transfers * (day.configuration_bytes + 1000) +
         changes * day.machines() * kBytesPerChangeAndMachine;
}

Outcome Play(const Day& day) { return Testbed(day).Run(); }

}  // namespace lichenlug::lab::control

#include "controlplane/control_plane.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "controlplane/group_planner.h"
#include "controlplane/node_roles.h"
#include "controlplane/part_settings.h"
#include "controlplane/snapshot.h"
#include "controlplane/status.h"

namespace lichenlug::controlplane {

namespace {

constexpr std::size_t kMostControlBody = 16u << 20;
constexpr Time kServeUnconfirmedAfter = 3 * kSecond;  // a peer's word will do when no majority can be asked
constexpr Time kReportEvery = 500 * kMillisecond;

const std::string kRunnersPath = "/-/runners/";
const std::string kConfigurationPath = "/-/timetable";
const std::string kStatusPath = "/-/status";

Time WallClock() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

ControlPlane::ControlPlane(EventLoop* loop, NodeSettings settings, dataplane::DataPlane* data_plane)
    : loop_(loop),
      settings_(std::move(settings)),
      data_plane_(data_plane),
      started_at_(EventLoop::Now()),
      wall_offset_(WallClock() - started_at_),
      seed_(RandomNumber()),
      incarnation_(static_cast<std::uint64_t>(WallClock())),
      registers_(
          std::make_unique<RegisterService>(loop_, settings_, incarnation_, seed_,
                                            [this](const std::string& address, messages::Envelope envelope) {
                                              Send(address, std::move(envelope));
                                            })),
      groups_(settings_, registers_.get(), seed_,
              [this](const std::string& address, messages::Envelope envelope) {
                Send(address, std::move(envelope));
              }),
      membership_(MembershipSettingsFor(settings_, incarnation_, seed_)),
      registry_(RegistrySettingsFor(settings_, seed_)),
      follower_(FollowerSettingsFor(settings_, seed_)),
      client_(loop_, settings_.name, settings_.platform_address),
      duties_(settings_, incarnation_, seed_, registers_.get(), &client_,
              [this](const std::string& address, messages::Envelope envelope) {
                Send(address, std::move(envelope));
              }),
      operator_api_(
          registers_.get(),
          [this](const messages::ConfigurationState& state, bool changed) { Learn(state, changed); },
          [this](const messages::ReplicaGroup& group) {
            return IsGrown(group, live_, settings_.tolerated_machines);
          }),
      runner_api_(settings_.internal_address, &registry_, registers_.get(),
                  [this](registry::RegistryOutput output) { Carry(std::move(output)); }),
      runners_(std::make_shared<std::vector<messages::RunnerRecord>>()),
      configuration_source_(
          seed_, registers_.get(), &follower_,
          [this](const messages::ConfigurationState& state, bool push) { Learn(state, push); }),
      lifecycle_(settings_.bounds.grace) {
  data_plane_->OnNewlyUnserved([this] { loop_->Post([this] { ReportDataPlane(EventLoop::Now()); }); });
}

ControlPlane::~ControlPlane() { transport_.reset(); }

bool ControlPlane::Start(std::string* error) {
  ready_server_ =
      std::make_unique<HttpServer>(loop_, 1024, [this](ControlRequest, HttpServer::Respond respond) {
        respond(PlainStatus(lifecycle_.is_ready() ? 200 : 503));
      });
  control_server_ = std::make_unique<HttpServer>(loop_, kMostControlBody,
                                                 [this](ControlRequest request, HttpServer::Respond respond) {
                                                   HandleControl(std::move(request), std::move(respond));
                                                 });
  if (!settings_.ready_address.empty() && !ready_server_->Listen(settings_.ready_address, error))
    return false;
  if (!settings_.control_address.empty() && !control_server_->Listen(settings_.control_address, error))
    return false;
  transport::Transport::Settings transport;
  transport.listen_address = settings_.internal_address;
  transport.sender_name = settings_.name;
  transport.sender_incarnation = incarnation_;
  transport_ = std::make_unique<transport::Transport>(
      loop_->base(), transport, [this](messages::Envelope envelope) { Receive(std::move(envelope)); });
  if (!transport_->Listen(error)) return false;
  registers_->OnAccepting([this](const std::string& register_name, const std::string& payload) {
    if (register_name != configuration::kRegisterName)
      return duties_.Accepting(EventLoop::Now(), register_name, payload);
    configuration_source_.Proposed(EventLoop::Now(), payload);
  });
  registers_->OpenStore([this](const std::string& replica_id) {
    replica_id_ = replica_id;
    membership_ring::MembershipOutput output;
    membership_.UpdateSelf(EventLoop::Now(), lifecycle_.is_ready(), replica_id_, &output);
    output.changed = true;
    Carry(std::move(output));
  });
  loop_->OnIdle([this] { Settle(); });
  membership_ring::MembershipOutput output;
  membership_.Start(EventLoop::Now(), &output);
  output.changed = true;
  Carry(std::move(output));
  ScheduleWake();
  return true;
}

void ControlPlane::ReloadSettings(const NodeSettings& settings) {
  if (settings.seed_addresses == settings_.seed_addresses) return;
  settings_.seed_addresses = settings.seed_addresses;
  membership_.SetSeeds(settings.seed_addresses);
  LOG(INFO) << "settings: the seeds are others now";
}

// ---- Messages ------------------------------------------------------------------------------------------

void ControlPlane::Send(const std::string& address, messages::Envelope envelope) {
  if (!transport_) return;
  envelope.set_sender_address(settings_.internal_address);
  transport_->Send(address, std::move(envelope));
}

void ControlPlane::Receive(messages::Envelope envelope) {
  const Time now = EventLoop::Now();
  const std::string& from = envelope.sender_address();
  switch (envelope.body_case()) {
    case messages::Envelope::kMembership: {
      membership_ring::MembershipOutput output;
      membership_.Receive(now, from, envelope.membership(), &output);
      return Carry(std::move(output));
    }
    case messages::Envelope::kRegistry: {
      registry::RegistryOutput output;
      registry_.Receive(now, from, envelope.registry(), &output);
      Carry(std::move(output));
      return runner_api_.CheckEnds(now);
    }
    case messages::Envelope::kDistribution: {
      configuration::FollowerOutput output;
      follower_.Receive(now, from, envelope.distribution(), &output);
      return Carry(std::move(output));
    }
    case messages::Envelope::kConsensus:
      return registers_->Receive(from, envelope.consensus());
    case messages::Envelope::kFounding:
      return registers_->ReceiveFounding(from, envelope.founding());
    case messages::Envelope::kDuties:
      return duties_.Receive(WallNow(), envelope.duties());
    case messages::Envelope::kGroupHints:
      return ReceiveGroupHints(now, from, envelope.group_hints());
    case messages::Envelope::BODY_NOT_SET:
      return;
  }
}

// A fresh process can read registers from the moment that it knows what was founded.
void ControlPlane::ReceiveGroupHints(Time now, const std::string& from, const messages::GroupHints& hints) {
  const bool could_read = registers_->KnowsFounding();
  groups_.Receive(from, hints);
  if (could_read || !registers_->KnowsFounding()) return;
  configuration_source_.RegistersKnown(now);
  configuration_source_.ReadInTime(now, !replica_id_.empty());
}

void ControlPlane::Carry(membership_ring::MembershipOutput output) {
  for (auto& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_membership() = std::move(send.message);
    Send(send.address, std::move(envelope));
  }
  if (output.changed) MembersChanged(EventLoop::Now());
}

void ControlPlane::Carry(registry::RegistryOutput output) {
  for (auto& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_registry() = std::move(send.message);
    Send(send.address, std::move(envelope));
  }
  if (!output.changed) return;
  runners_ = std::make_shared<const std::vector<messages::RunnerRecord>>(registry_.Runners());
  duties_.SetRunners(runners_);
  snapshot_changed_ = true;
}

void ControlPlane::Carry(configuration::FollowerOutput output) {
  for (auto& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_distribution() = std::move(send.message);
    Send(send.address, std::move(envelope));
  }
  if (!output.installed) return;
  duties_.SetConfiguration(follower_.Current()->configuration);
  duties_.SetMembers(EventLoop::Now(), live_);
  configuration_source_.Installed();
  snapshot_changed_ = true;
}

void ControlPlane::MembersChanged(Time now) {
  const std::vector<Member> before = std::move(live_);
  live_ = membership_.Live();
  std::vector<Member> others;
  for (const Member& member : live_) {
    if (member.name != settings_.name) others.push_back(member);
  }
  const auto lives = [&](const std::string& address) {
    return std::any_of(live_.begin(), live_.end(), [&](const Member& m) { return m.address == address; });
  };
  for (const Member& member : before) {
    if (!lives(member.address)) transport_->Forget(member.address);
  }
  follower_.SetMembers(now, others);
  registry::RegistryOutput output;
  registry_.SetMembers(now, others, &output);
  Carry(std::move(output));
  duties_.SetMembers(now, live_);
  if (before.size() != live_.size()) LOG(INFO) << "members: " << live_.size() << " live";
  snapshot_changed_ = true;
}

// ---- Calls ---------------------------------------------------------------------------------------------

void ControlPlane::HandleControl(ControlRequest request, HttpServer::Respond respond) {
  using Method = configuration::ChangeRequest::Method;
  if (request.path.starts_with(kRunnersPath))
    return runner_api_.Handle(request.path.substr(kRunnersPath.size()), request, std::move(respond));
  if (request.path == kConfigurationPath) {
    if (request.method == "GET") return operator_api_.Get(std::move(respond));
    if (request.method == "PUT") return operator_api_.Change(Method::kPut, request, std::move(respond));
    if (request.method == "PATCH") return operator_api_.Change(Method::kPatch, request, std::move(respond));
    return respond(PlainStatus(405));
  }
  if (request.path == kStatusPath && request.method == "GET") return respond(Status());
  respond(PlainStatus(404));
}

ControlResponse ControlPlane::Status() const {
  StatusInput input;
  input.name = settings_.name;
  input.roles = RoleNames(RolesOf(settings_));
  input.ready = lifecycle_.is_ready();
  input.confirmed = configuration_source_.confirmed();
  input.replica_id = replica_id_;
  input.live = live_;
  input.runners = runners_.get();
  input.version = follower_.Current();
  input.holdings = duties_.Holdings(EventLoop::Now());
  input.placement = duties_.Explain(EventLoop::Now());
  input.requests = data_plane_->TakeReport();
  for (const std::string& name : AllRegisters())
    input.groups.emplace_back(name, registers_->KnownGroup(name));
  ControlResponse response;
  response.body = StatusJson(input);
  return response;
}

// ---- Time ----------------------------------------------------------------------------------------------

void ControlPlane::Wake() { TickMachines(EventLoop::Now()); }

void ControlPlane::TickMachines(Time now) {
  const auto due = [now](const std::optional<Time>& timer) { return timer && *timer <= now; };
  if (due(membership_.NextTimer())) {
    membership_ring::MembershipOutput output;
    membership_.Tick(now, &output);
    Carry(std::move(output));
  }
  if (due(registry_.NextTimer())) {
    registry::RegistryOutput output;
    registry_.Tick(now, &output);
    Carry(std::move(output));
  }
  if (due(follower_.NextTimer())) {
    configuration::FollowerOutput output;
    follower_.Tick(now, &output);
    Carry(std::move(output));
  }
  if (due(registers_->NextTimer())) registers_->Tick(now);
  if (due(runner_api_.NextTimer())) runner_api_.CheckEnds(now);
  if (now >= next_report_) ReportDataPlane(now);
  if (due(duties_.NextTimer())) duties_.Tick(now, WallNow());
  configuration_source_.ReadInTime(now, !replica_id_.empty());
  const bool is_draining = lifecycle_.is_draining();
  if (now >= groups_.NextTimer()) groups_.Tick(now, live_, is_draining ? std::string() : replica_id_);
  if (is_draining) ExitIfDrained(now);
}

void ControlPlane::Settle() {
  const Time now = EventLoop::Now();
  if (snapshot_changed_) PublishSnapshot(now);
  UpdateReadiness(now);
  ScheduleWake();
}

void ControlPlane::ScheduleWake() {
  Time next = std::min(next_report_, groups_.NextTimer());
  for (const auto& timer :
       {membership_.NextTimer(), registry_.NextTimer(), follower_.NextTimer(), registers_->NextTimer(),
        duties_.NextTimer(), runner_api_.NextTimer(), configuration_source_.NextTimer()}) {
    if (timer) next = std::min(next, *timer);
  }
  if (lifecycle_.is_draining()) next = std::min(next, EventLoop::Now() + kDrainPoll);
  loop_->SetTimer(next, [this] { Wake(); });
}

// ---- Configuration -------------------------------------------------------------------------------------

void ControlPlane::Learn(const messages::ConfigurationState& state, bool push) {
  configuration_source_.Confirmed();
  configuration::FollowerOutput output;
  follower_.Learn(EventLoop::Now(), state, push, &output);
  Carry(std::move(output));
}

// ---- Data plane ----------------------------------------------------------------------------------------

void ControlPlane::ReportDataPlane(Time now) {
  next_report_ = now + kReportEvery;
  if (configuration_source_.confirmed()) duties_.Report(now, WallNow(), data_plane_->TakeReport());
}

void ControlPlane::PublishSnapshot(Time now) {
  const configuration::Follower::Version* version = follower_.Current();
  const bool may_serve =
      version != nullptr && (configuration_source_.confirmed() || now - started_at_ > kServeUnconfirmedAfter);
  if (version != nullptr && !may_serve) return;  // tried again at the next batch
  snapshot_changed_ = false;
  data_plane_->Install(SnapshotOf(
      settings_, version, runners_,
      {.runners_known = lifecycle_.has_started(), .members = live_.size(), .wall_offset = wall_offset_}));
}

void ControlPlane::UpdateReadiness(Time now) {
  if (lifecycle_.has_started()) return;
  const Lifecycle::Knowledge known{configuration_source_.confirmed(), follower_.Current() != nullptr,
                                   registry_.Settled(now)};
  if (!lifecycle_.BecomesReady(known)) return;
  snapshot_changed_ = true;  // the runners are known by now
  LOG(INFO) << "ready: edition " << follower_.Current()->edition << ", " << runners_->size() << " runners, "
            << live_.size() << " members";
  membership_ring::MembershipOutput output;
  membership_.UpdateSelf(now, /*ready=*/true, replica_id_, &output);
  Carry(std::move(output));
}

void ControlPlane::BeginDrain() {
  const Time now = EventLoop::Now();
  if (!lifecycle_.BeginDrain(now)) return;
  LOG(INFO) << "ends: what is in work is finished first";
  data_plane_->BeginDrain();
  duties_.Resign(now);
  // The others are told at once, so that no duty waits for this dispatcher.
  // One without a store is wanted in no replica group: the keeper hands this one's vote over, if it can.
  membership_ring::MembershipOutput output;
  membership_.UpdateSelf(now, /*ready=*/false, /*replica_id=*/"", &output);
  Carry(std::move(output));
}

// Whether some register still counts on this store although enough others live to take its place.
bool ControlPlane::VotesWhereOthersCould() const {
  if (!CanLeaveVotes(live_, settings_.name, settings_.tolerated_machines)) return false;
  const std::vector<std::string> names = AllRegisters();
  return std::any_of(names.begin(), names.end(), [this](const std::string& name) {
    return IsVoter(registers_->KnownGroup(name), replica_id_);
  });
}

// Stays a member, and hears of drained runners, until its last request is answered.
void ControlPlane::ExitIfDrained(Time now) {
  if (!lifecycle_.MayExit(now, {.requests = !data_plane_->Drained(), .votes = VotesWhereOthersCould()}))
    return;
  membership_ring::MembershipOutput output;
  membership_.Leave(now, &output);
  output.changed = false;
  Carry(std::move(output));
  loop_->Stop();
}

}  // namespace lichenlug::controlplane

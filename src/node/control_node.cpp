#include "node/control_node.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "node/component_settings.h"
#include "node/group_planner.h"
#include "node/node_roles.h"
#include "node/snapshot.h"
#include "node/status.h"

namespace lichenlug::node {

namespace {

constexpr Time kServeUnconfirmedAfter =
    3 * kSecond;  // then a configuration from a peer suffices if no majority is reachable
constexpr Time kReportInterval = 500 * kMillisecond;

const char* ToText(configuration::Arrival arrival) {
  switch (arrival) {
    case configuration::Arrival::kRegister:
      return "read from its register";
    case configuration::Arrival::kWhole:
      return "pushed whole";
    case configuration::Arrival::kDifference:
      return "pushed as a difference";
  }
  return "";
}

const std::string kRunnersPath = "/-/runners/";
const std::string kConfigurationPath = "/-/timetable";
const std::string kStatusPath = "/-/status";

}  // namespace

ControlNode::ControlNode(NodeHost* host, NodeSettings settings, const NodeIdentity& identity)
    : host_(host),
      settings_(std::move(settings)),
      started_at_(host->Now()),
      wall_offset_(host->WallNow() - started_at_),
      registers_(host, settings_, identity),
      groups_(host, settings_, &registers_, identity.seed),
      membership_(MembershipSettingsFor(settings_, identity.incarnation, identity.seed)),
      follower_(FollowerSettingsFor(settings_, identity.seed)),
      duties_(host, settings_, identity, &registers_),
      runners_(host, settings_, identity, &registers_,
               [this](std::shared_ptr<const RunnerList> runners) { RunnersChanged(std::move(runners)); }),
      operator_api_(
          host, &registers_,
          [this](const messages::ConfigurationState& state, bool changed) { Learn(state, changed); },
          [this](const messages::ReplicaGroup& group) {
            const AbsentMembers absent =
                groups_.AbsentMembersOf(host_->Now(), std::string(configuration::kRegisterName));
            return IsFaultTolerant(group, live_, settings_.tolerated_machines, absent);
          }),
      configuration_source_(
          host, identity.seed, &registers_, &follower_,
          [this](const messages::ConfigurationState& state, bool push) { Learn(state, push); }),
      lifecycle_(settings_.bounds.grace) {}

void ControlNode::Start() {
  registers_.SetAcceptCallback([this](const std::string& register_name, const std::string& payload) {
    if (register_name != configuration::kRegisterName)
      return duties_.OnAcceptRequest(host_->Now(), register_name, payload);
    configuration_source_.OnAcceptRequest(host_->Now(), payload);
  });
  registers_.SetStoreOpenedCallback(
      [this](RegisterService::StoreRecords* records) { runners_.RestoreEnds(records); });
  registers_.OpenStore([this](const std::string& replica_id) {
    replica_id_ = replica_id;
    membership_ring::MembershipOutput output;
    membership_.UpdateSelf(host_->Now(), lifecycle_.is_ready(), replica_id_, &output);
    output.changed = true;
    Execute(std::move(output));
  });
  membership_ring::MembershipOutput output;
  membership_.Start(host_->Now(), &output);
  output.changed = true;
  Execute(std::move(output));
}

void ControlNode::ReloadSettings(const NodeSettings& settings) {
  if (settings.seed_addresses == settings_.seed_addresses) return;
  settings_.seed_addresses = settings.seed_addresses;
  membership_.SetSeeds(settings.seed_addresses);
  LOG(INFO) << "settings: the seeds are others now";
}

// ---- Messages ------------------------------------------------------------------------------------------

void ControlNode::Receive(messages::Envelope envelope) {
  const Time now = host_->Now();
  const std::string& from = envelope.sender_address();
  switch (envelope.body_case()) {
    case messages::Envelope::kMembership: {
      membership_ring::MembershipOutput output;
      membership_.Receive(now, from, envelope.membership(), &output);
      return Execute(std::move(output));
    }
    case messages::Envelope::kRegistry:
      return runners_.Receive(from, envelope.registry());
    case messages::Envelope::kDistribution: {
      configuration::FollowerOutput output;
      follower_.Receive(now, from, envelope.distribution(), &output);
      return Execute(std::move(output));
    }
    case messages::Envelope::kConsensus:
      return registers_.Receive(from, envelope.consensus());
    case messages::Envelope::kFounding:
      return registers_.ReceiveFounding(from, envelope.founding());
    case messages::Envelope::kDuties:
      return duties_.Receive(WallNow(), envelope.duties());
    case messages::Envelope::kGroupHints:
      return ReceiveGroupHints(now, from, envelope.group_hints());
    case messages::Envelope::BODY_NOT_SET:
      return;
  }
}

// A newly started process can read registers as soon as it knows the founding group.
void ControlNode::ReceiveGroupHints(Time now, const std::string& from, const messages::GroupHints& hints) {
  const bool could_read = registers_.KnowsFounding();
  groups_.Receive(from, hints);
  if (could_read || !registers_.KnowsFounding()) return;
  configuration_source_.RegistersKnown(now);
  configuration_source_.ReadIfDue(now, !replica_id_.empty());
}

void ControlNode::Execute(membership_ring::MembershipOutput output) {
  for (auto& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_membership() = std::move(send.message);
    host_->Send(send.address, std::move(envelope));
  }
  if (output.changed) MembersChanged(host_->Now());
}

void ControlNode::RunnersChanged(std::shared_ptr<const RunnerList> runners) {
  duties_.SetRunners(std::move(runners));
  snapshot_changed_ = true;
}

void ControlNode::Execute(configuration::FollowerOutput output) {
  for (auto& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_distribution() = std::move(send.message);
    host_->Send(send.address, std::move(envelope));
  }
  if (!output.installed) return;
  LOG(INFO) << "configuration: edition " << follower_.Current()->edition << " in force, revision "
            << follower_.Current()->revision << ", " << ToText(output.arrival);
  duties_.SetConfiguration(follower_.Current()->configuration);
  duties_.SetMembers(host_->Now(), live_);
  configuration_source_.Installed();
  snapshot_changed_ = true;
}

void ControlNode::MembersChanged(Time now) {
  const std::vector<Member> before = std::move(live_);
  live_ = membership_.Live();
  std::vector<Member> others;
  for (const Member& member : live_) {
    if (member.name != settings_.name) others.push_back(member);
  }
  const auto is_live = [&](const std::string& address) {
    return std::any_of(live_.begin(), live_.end(), [&](const Member& m) { return m.address == address; });
  };
  for (const Member& member : before) {
    if (!is_live(member.address)) host_->Forget(member.address);
  }
  follower_.SetMembers(now, others);
  runners_.SetMembers(now, others);
  duties_.SetMembers(now, live_);
  if (before.size() != live_.size()) LOG(INFO) << "members: " << live_.size() << " live";
  snapshot_changed_ = true;
}

// ---- Calls ---------------------------------------------------------------------------------------------

void ControlNode::HandleControl(ControlRequest request, Respond respond) {
  using Method = configuration::ChangeRequest::Method;
  if (request.path.starts_with(kRunnersPath))
    return runners_.HandleCall(request.path.substr(kRunnersPath.size()), request, std::move(respond));
  if (request.path == kConfigurationPath) {
    if (request.method == "GET") return operator_api_.Get(std::move(respond));
    if (request.method == "PUT") return operator_api_.Change(Method::kPut, request, std::move(respond));
    if (request.method == "PATCH") return operator_api_.Change(Method::kPatch, request, std::move(respond));
    return respond(PlainStatus(405));
  }
  if (request.path == kStatusPath && request.method == "GET") return respond(Status());
  respond(PlainStatus(404));
}

ControlResponse ControlNode::Status() const {
  StatusInput input;
  input.name = settings_.name;
  input.roles = RoleNames(RolesOf(settings_));
  input.ready = lifecycle_.is_ready();
  input.confirmed = configuration_source_.confirmed();
  input.replica_id = replica_id_;
  input.live = live_;
  input.runners = runners_.runners().get();
  input.version = follower_.Current();
  input.distribution = follower_.statistics();
  input.ownership_statuses = duties_.OwnershipStatuses(host_->Now());
  input.placement = duties_.Explain(host_->Now());
  input.requests = host_->TakeReport();
  for (const std::string& name : AllRegisters()) input.groups.emplace_back(name, registers_.KnownGroup(name));
  ControlResponse response;
  response.body = StatusJson(input);
  return response;
}

// ---- Time ----------------------------------------------------------------------------------------------

void ControlNode::Tick() {
  const Time now = host_->Now();
  const auto due = [now](const std::optional<Time>& timer) { return timer && *timer <= now; };
  if (due(membership_.NextTimer())) {
    membership_ring::MembershipOutput output;
    membership_.Tick(now, &output);
    Execute(std::move(output));
  }
  if (due(runners_.NextTimer())) runners_.Tick(now);
  if (due(follower_.NextTimer())) {
    configuration::FollowerOutput output;
    follower_.Tick(now, &output);
    Execute(std::move(output));
  }
  if (due(registers_.NextTimer())) registers_.Tick(now);
  if (now >= next_report_) ReportDataPlane(now);
  if (due(duties_.NextTimer())) duties_.Tick(now, WallNow());
  configuration_source_.ReadIfDue(now, !replica_id_.empty());
  const bool is_draining = lifecycle_.is_draining();
  if (now >= groups_.NextTimer()) groups_.Tick(now, live_, is_draining ? std::string() : replica_id_);
  if (is_draining) ExitIfDrained(now);
}

void ControlNode::Settle() {
  const Time now = host_->Now();
  if (snapshot_changed_) PublishSnapshot(now);
  UpdateReadiness(now);
}

Time ControlNode::NextTimer() const {
  Time next = std::min(next_report_, groups_.NextTimer());
  for (const auto& timer : {membership_.NextTimer(), runners_.NextTimer(), follower_.NextTimer(),
                            registers_.NextTimer(), duties_.NextTimer(), configuration_source_.NextTimer()}) {
    if (timer) next = std::min(next, *timer);
  }
  if (lifecycle_.is_draining()) next = std::min(next, host_->Now() + kDrainPoll);
  return next;
}

// ---- Configuration -------------------------------------------------------------------------------------

void ControlNode::Learn(const messages::ConfigurationState& state, bool push) {
  if (!configuration_source_.confirmed()) {
    LOG(INFO) << "configuration: edition " << state.edition() << " confirmed by a majority "
              << (host_->Now() - started_at_) / kMillisecond << " ms after the start";
  }
  configuration_source_.Confirmed();
  configuration::FollowerOutput output;
  follower_.Learn(host_->Now(), state, push, &output);
  Execute(std::move(output));
}

// ---- Data plane ----------------------------------------------------------------------------------------

void ControlNode::DemandHasChanged() { ReportDataPlane(host_->Now()); }

void ControlNode::ReportDataPlane(Time now) {
  next_report_ = now + kReportInterval;
  if (configuration_source_.confirmed()) duties_.Report(now, WallNow(), host_->TakeReport());
}

void ControlNode::PublishSnapshot(Time now) {
  const configuration::Follower::Version* version = follower_.Current();
  const bool may_serve =
      version != nullptr && (configuration_source_.confirmed() || now - started_at_ > kServeUnconfirmedAfter);
  if (version != nullptr && !may_serve) return;  // retried after the next batch
  snapshot_changed_ = false;
  host_->Install(SnapshotOf(
      settings_, version, runners_.runners(),
      {.runners_known = lifecycle_.has_started(), .members = live_.size(), .wall_offset = wall_offset_}));
}

void ControlNode::UpdateReadiness(Time now) {
  if (lifecycle_.has_started()) return;
  const Lifecycle::ReadinessConditions conditions{configuration_source_.confirmed(),
                                                  follower_.Current() != nullptr, runners_.Settled(now)};
  if (!lifecycle_.BecomesReady(conditions)) return;
  snapshot_changed_ = true;  // the snapshot now reports that the runners are known
  LOG(INFO) << "ready: edition " << follower_.Current()->edition << ", " << runners_.runners()->size()
            << " runners, " << live_.size() << " members";
  membership_ring::MembershipOutput output;
  membership_.UpdateSelf(now, /*ready=*/true, replica_id_, &output);
  Execute(std::move(output));
}

void ControlNode::BeginDrain() {
  const Time now = host_->Now();
  if (!lifecycle_.BeginDrain(now)) return;
  LOG(INFO) << "draining: requests in flight are finished before exit";
  host_->DrainRequests();
  duties_.Resign(now);
  // Announces the drain at once, so that other dispatchers take over its duties without delay. A member
  // without a store is not wanted in any replica group, so the group keeper hands its votes over where it
  // can.
  membership_ring::MembershipOutput output;
  membership_.UpdateSelf(now, /*ready=*/false, /*replica_id=*/"", &output);
  Execute(std::move(output));
}

// Whether this store is still a voter of some register although enough other live members could replace it.
bool ControlNode::HasTransferableVotes() const {
  if (!CanHandOverVotes(live_, settings_.name, settings_.tolerated_machines)) return false;
  const std::vector<std::string> names = AllRegisters();
  return std::any_of(names.begin(), names.end(), [this](const std::string& name) {
    return IsVoter(registers_.KnownGroup(name), replica_id_);
  });
}

// Remains a member, and keeps receiving updates about drained runners, until its last request is answered.
// Requests are accepted until all other work is done, and are known to have stopped before the exit.
void ControlNode::ExitIfDrained(Time now) {
  const bool has_votes = HasTransferableVotes();
  if (lifecycle_.MayStopRequests(now, has_votes)) host_->StopRequestsWhenIdle();
  if (lifecycle_.MustStopRequests(now)) host_->StopRequestsNow();
  const bool stopped = host_->RequestsAreStopped();
  if (!lifecycle_.MayExit(now, {.requests = !stopped, .votes = has_votes})) return;
  LOG(INFO) << "exiting, requests " << (stopped ? "stopped" : "in progress")
            << (has_votes ? ", votes not handed over" : "");
  ReportDataPlane(now);  // requests that were served since the last report
  membership_ring::MembershipOutput output;
  membership_.Leave(now, &output);
  output.changed = false;
  Execute(std::move(output));
  host_->Exit();
}

}  // namespace lichenlug::node

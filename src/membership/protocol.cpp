#include "membership/protocol.h"

#include <algorithm>
#include <utility>

namespace lichenlug::membership_ring {
namespace {

constexpr Time kPauseThreshold = kSecond;  // a longer gap between calls means that this process was paused
constexpr Time kIsolatedAfter = kSecond;   // then the fault may be local, and suspicions are not gossiped
constexpr Time kRememberDead = 1800 * kSecond;
constexpr Time kRememberLeft = 600 * kSecond;
constexpr Time kForgetInterval = 10 * kSecond;
constexpr std::size_t kRandomTargets = 4;
constexpr std::size_t kLeaveTargets = 12;

FailureDetector::Settings DetectorSettings(const MembershipSettings& settings) {
  return {.heartbeat_interval = settings.heartbeat_interval,
          .suspect_after = settings.suspect_after,
          .dead_after = settings.dead_after,
          .monitors = static_cast<std::size_t>(std::max(settings.monitors, 1))};
}

}  // namespace

Protocol::Protocol(MembershipSettings settings)
    : settings_(std::move(settings)),
      self_(settings_.self),
      random_(settings_.seed ^ HashName(self_.name)),
      table_(ToRecord(self_)),
      detector_(DetectorSettings(settings_), &table_, &random_),
      contacts_(&table_, &random_),
      anti_entropy_(&table_, &random_) {
  contacts_.SetSeeds(settings_.seed_addresses);
}

void Protocol::Start(Time now, MembershipOutput* output) {
  started_ = true;
  started_at_ = last_call_ = now;
  contacts_.Start(now);
  next_heartbeat_ =
      now + static_cast<Time>(random_.Below(static_cast<std::uint64_t>(settings_.heartbeat_interval)));
  ContactSeeds({now, *output});
}

void Protocol::Tick(Time now, MembershipOutput* output) {
  if (!started_ || left_) return;
  const CallContext call{now, *output};
  DetectPause(call);
  ContactSeeds(call);
  const bool heartbeat_due = now >= next_heartbeat_;
  if (heartbeat_due) RunHeartbeatPeriod(call);
  if (heartbeat_due || (next_check_ && now >= *next_check_)) CheckOthers(call);
  SendGossip(call);
}

std::optional<Time> Protocol::NextTimer() const {
  if (!started_ || left_) return std::nullopt;
  Time next = std::min(next_heartbeat_, contacts_.next_seed_contact());
  if (next_check_) next = std::min(next, *next_check_);
  if (const auto due = gossip_.DueAt()) next = std::min(next, *due);
  return next;
}

void Protocol::DetectPause(const CallContext& call) {
  if (call.now - last_call_ > kPauseThreshold) detector_.RestartTimeouts(call.now);
  last_call_ = call.now;
}

void Protocol::RunHeartbeatPeriod(const CallContext& call) {
  next_heartbeat_ =
      std::max(next_heartbeat_ + settings_.heartbeat_interval, call.now + settings_.heartbeat_interval / 2);
  const auto heartbeat = MakeHeartbeat(gossip_.Recent(call.now), false);
  UpdateMonitors(call);
  for (const std::string& monitor : monitors_) SendToMember(call, monitor, heartbeat);
  FailureDetector::Findings findings;
  detector_.ProbeRandomMembers(call.now, &findings);
  HandleFindings(call, findings);
  if (const std::string address = contacts_.DeadMemberToContact(call.now); !address.empty()) {
    SendToAddress(call, address, MakeHeartbeat({}, true));
  }
  if (call.now >= next_forget_) {
    next_forget_ = call.now + kForgetInterval;
    table_.ForgetDeadBefore(call.now - kRememberDead, call.now - kRememberLeft);
  }
}

// Sends new monitors a heartbeat at once, without waiting for the next period.
void Protocol::UpdateMonitors(const CallContext& call) {
  if (seen_ring_version_ == table_.ring_version()) return;
  seen_ring_version_ = table_.ring_version();
  auto monitors = table_.Successors(self_.name, static_cast<std::size_t>(std::max(settings_.monitors, 1)));
  for (const std::string& monitor : monitors) {
    if (std::ranges::find(monitors_, monitor) != monitors_.end()) continue;
    SendToMember(call, monitor, MakeHeartbeat({}, false));
  }
  monitors_ = std::move(monitors);
}

void Protocol::CheckOthers(const CallContext& call) {
  FailureDetector::Findings findings;
  detector_.Check(call.now, &findings);
  HandleFindings(call, findings);
  next_check_ = detector_.NextCheck(call.now);
}

void Protocol::HandleFindings(const CallContext& call, const FailureDetector::Findings& findings) {
  for (const std::string& name : findings.ping) SendToMember(call, name, MakeHeartbeat({}, true));
  for (const std::string& name : findings.suspected) {
    SendToMember(call, name, MakeHeartbeat({name}, true));
  }
  call.output.changed |= !findings.dead.empty();
  if (call.now - last_received_ >= kIsolatedAfter) return;
  for (const std::string& name : findings.suspected) gossip_.Add(call.now, name);
  for (const std::string& name : findings.dead) gossip_.Add(call.now, name);
}

void Protocol::ContactSeeds(const CallContext& call) {
  for (const std::string& address : contacts_.SeedsToContact(call.now)) {
    if (table_.live_count() > 1) {
      SendToAddress(call, address, MakeHeartbeat({}, true));
      continue;
    }
    messages::MembershipMessage message;
    *message.mutable_join()->mutable_self() = table_.self();
    SendToAddress(call, address, std::move(message));
  }
}

void Protocol::SendGossip(const CallContext& call) {
  UpdateMonitors(call);
  const auto due = gossip_.DueAt();
  if (!due || call.now < *due) return;
  const std::vector<std::string> names = gossip_.TakeBurst(call.now);
  const auto message = MakeHeartbeat(names, false);
  for (const std::string& target : GossipTargets(names)) SendToMember(call, target, message);
}

// Gossip about this member goes to its monitors as well, which forward it.
std::vector<std::string> Protocol::GossipTargets(const std::vector<std::string>& names) {
  std::vector<std::string> targets;
  if (std::ranges::find(names, self_.name) != names.end()) targets = monitors_;
  const std::size_t live = table_.live_count();
  if (live == 0) return targets;
  for (std::size_t i = 0; i < kRandomTargets; ++i) {
    const std::string& name = table_.LiveAt(random_.Below(live));
    if (name != self_.name && std::ranges::find(targets, name) == targets.end()) targets.push_back(name);
  }
  return targets;
}

void Protocol::UpdateSelf(Time now, bool ready, const std::string& replica_id, MembershipOutput* output) {
  if (ready == self_.ready && replica_id == self_.replica_id) return;
  const CallContext call{now, *output};
  ChangeSelf(call, [&](MemberRecord* record) {
    record->set_ready(ready);
    record->set_replica_id(replica_id);
    record->set_version(record->version() + 1);
  });
  if (started_ && !left_) SendGossip(call);
}

void Protocol::Leave(Time now, MembershipOutput* output) {
  if (!started_ || left_) return;
  const CallContext call{now, *output};
  std::vector<std::string> targets = monitors_;
  for (std::size_t i = 0; i < kLeaveTargets; ++i) {
    targets.push_back(table_.LiveAt(random_.Below(table_.live_count())));
  }
  std::ranges::sort(targets);
  targets.erase(std::ranges::unique(targets).begin(), targets.end());
  ChangeSelf(call, [](MemberRecord* record) { record->set_state(messages::MEMBER_LEFT); });
  left_ = true;
  const auto leave_message = MakeHeartbeat({}, false);
  for (const std::string& name : targets) SendToMember(call, name, leave_message);
}

void Protocol::ChangeSelf(const CallContext& call, const std::function<void(MemberRecord*)>& change) {
  MemberRecord record = table_.self();
  change(&record);
  table_.SetSelf(record);
  self_ = ToMember(record);
  call.output.changed = true;
  gossip_.Add(call.now, self_.name);
}

messages::MembershipMessage Protocol::MakeHeartbeat(const std::vector<std::string>& gossip,
                                                    bool wants_reply) const {
  messages::MembershipMessage message;
  messages::MembershipHeartbeat& heartbeat = *message.mutable_heartbeat();
  *heartbeat.mutable_self() = table_.self();
  for (const std::string& name : gossip) {
    const Entry* entry = table_.Find(name);
    if (entry != nullptr && name != self_.name) *heartbeat.add_news() = entry->record;
  }
  heartbeat.set_table_hash(table_.hash());
  heartbeat.set_wants_reply(wants_reply);
  return message;
}

void Protocol::SendToMember(const CallContext& call, const std::string& name,
                            messages::MembershipMessage message) {
  if (const Entry* entry = table_.Find(name))
    SendToAddress(call, entry->record.address(), std::move(message));
}

void Protocol::SendToAddress(const CallContext& call, const std::string& address,
                             messages::MembershipMessage message) {
  if (address != self_.address) call.output.sends.push_back({address, std::move(message)});
}

void Protocol::SendTable(const CallContext& call, const std::string& address,
                         messages::MembershipTable table) {
  messages::MembershipMessage message;
  *message.mutable_table() = std::move(table);
  SendToAddress(call, address, std::move(message));
}

}  // namespace lichenlug::membership_ring

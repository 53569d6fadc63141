// Handling of received membership messages.
#include <algorithm>

#include "membership/protocol.h"

namespace lichenlug::membership_ring {
namespace {

constexpr Time kLearnDeadDuration = 10 * kSecond;  // after a start, dead members are learned from others
constexpr Time kOwnerNoticeInterval = 100 * kMillisecond;
constexpr Time kSuspicionCheckDelay =
    30 * kMillisecond;  // after gossip of a suspicion: delays the check, as more may follow

}  // namespace

void Protocol::Receive(Time now, const std::string& from, const messages::MembershipMessage& message,
                       MembershipOutput* output) {
  if (!started_ || left_ || from.empty() || from == self_.address) return;
  const CallContext call{now, *output};
  DetectPause(call);
  last_received_ = now;
  switch (message.body_case()) {
    case messages::MembershipMessage::kHeartbeat:
      OnHeartbeat(call, from, message.heartbeat());
      break;
    case messages::MembershipMessage::kJoin:
      OnJoin(call, from, message.join());
      break;
    case messages::MembershipMessage::kTable:
      OnTable(call, from, message.table());
      break;
    case messages::MembershipMessage::BODY_NOT_SET:
      return;
  }
  SendGossip(call);
}

void Protocol::OnHeartbeat(const CallContext& call, const std::string& from,
                           const messages::MembershipHeartbeat& heartbeat) {
  ApplyOwnerRecord(call, from, heartbeat.self());
  for (const MemberRecord& record : heartbeat.news()) ApplyRecord(call, record);
  if (heartbeat.self().state() != messages::MEMBER_ALIVE) return;
  if (heartbeat.wants_reply()) SendToAddress(call, from, MakeHeartbeat({}, false));
  if (heartbeat.table_hash() == table_.hash()) return;
  if (auto digest = anti_entropy_.OnHashMismatch(call.now)) SendTable(call, from, std::move(*digest));
}

void Protocol::OnJoin(const CallContext& call, const std::string& from,
                      const messages::MembershipJoin& join) {
  ApplyOwnerRecord(call, from, join.self());
  SendTable(call, from, anti_entropy_.ReplyToJoin(call.now));
}

void Protocol::OnTable(const CallContext& call, const std::string& from,
                       const messages::MembershipTable& table) {
  for (const MemberRecord& record : table.members()) ApplyRecord(call, record);
  if (auto answer = anti_entropy_.ReplyToTable(call.now, table)) SendTable(call, from, std::move(*answer));
}

void Protocol::ApplyRecord(const CallContext& call, const MemberRecord& record) {
  if (!IsValid(record)) return;
  if (record.name() == self_.name) return ApplySelfRecord(call, record);
  const Entry* known = table_.Find(record.name());
  const bool suspected_here = known != nullptr && IsSuspectedBy(known->record, self_.name);
  const auto applied = table_.Apply(call.now, record, call.now - started_at_ < kLearnDeadDuration);
  if (applied.is_new) gossip_.Add(call.now, record.name());
  if (applied.is_new && record.state() != messages::MEMBER_ALIVE) {
    next_check_ =
        std::min(next_check_.value_or(call.now + kSuspicionCheckDelay), call.now + kSuspicionCheckDelay);
  }
  if (applied.refuted && suspected_here) detector_.OnRefuted(call.now, record.name());
  call.output.changed |= applied.live_changed;
}

// A record sent by its owner is a sign of life. If the owner is known here in another state or incarnation,
// it is sent that record, so that it can refute it.
void Protocol::ApplyOwnerRecord(const CallContext& call, const std::string& from,
                                const MemberRecord& record) {
  const bool possible = record.state() == messages::MEMBER_ALIVE || record.state() == messages::MEMBER_LEFT;
  if (!IsValid(record) || !possible || record.address() != from) return;
  ApplyRecord(call, record);
  Entry* entry = table_.Find(record.name());
  if (entry == nullptr || record.name() == self_.name || record.state() == messages::MEMBER_LEFT) return;
  const bool same_life = entry->record.incarnation() == record.incarnation();
  if (same_life && IsLive(entry->record)) entry->last_heard = call.now;
  if (same_life && entry->record.state() == messages::MEMBER_ALIVE) return;
  if (call.now - entry->last_owner_notice < kOwnerNoticeInterval) return;
  entry->last_owner_notice = call.now;
  SendToAddress(call, from, MakeHeartbeat({record.name()}, false));
}

// A record of this member from an earlier incarnation, a suspicion or a wrong record is refuted by a higher
// incarnation.
void Protocol::ApplySelfRecord(const CallContext& call, const MemberRecord& record) {
  const MemberRecord& own = table_.self();
  if (record.incarnation() < own.incarnation()) return;
  const bool same_life = record.incarnation() == own.incarnation();
  if (same_life && record.state() == messages::MEMBER_ALIVE && CompareRecords(record, own) <= 0) return;
  ChangeSelf(call, [&](MemberRecord* changed) {
    changed->set_incarnation(record.incarnation() + 1);
    changed->set_version(std::max(changed->version(), record.version()) + 1);
  });
}

}  // namespace lichenlug::membership_ring

// Handling of received membership messages.
#include <algorithm>

#include "membership/protocol.h"

namespace lichenlug::membership_ring {
namespace {

constexpr Time kLearnsOfDeadFor = 10 * kSecond;  // after a start, dead members are learned from others
constexpr Time kBetweenTellings = 100 * kMillisecond;
constexpr Time kCheckSoon =
    30 * kMillisecond;  // after gossip of a suspicion: delays the check, as more may follow

}  // namespace

void Protocol::Receive(Time now, const std::string& from, const messages::MembershipMessage& message,
                       MembershipOutput* output) {
  if (!started_ || left_ || from.empty() || from == self_.address) return;
  const Call call{now, *output};
  NotePauses(call);
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
  SendNews(call);
}

void Protocol::OnHeartbeat(const Call& call, const std::string& from,
                           const messages::MembershipHeartbeat& heartbeat) {
  LearnFromOwner(call, from, heartbeat.self());
  for (const MemberRecord& record : heartbeat.news()) Learn(call, record);
  if (heartbeat.self().state() != messages::MEMBER_ALIVE) return;
  if (heartbeat.wants_reply()) SendToAddress(call, from, MakeHeartbeat({}, false));
  if (heartbeat.table_hash() == table_.hash()) return;
  if (auto digest = anti_entropy_.OnOtherHash(call.now)) SendTable(call, from, std::move(*digest));
}

void Protocol::OnJoin(const Call& call, const std::string& from, const messages::MembershipJoin& join) {
  LearnFromOwner(call, from, join.self());
  SendTable(call, from, anti_entropy_.AnswerJoin(call.now));
}

void Protocol::OnTable(const Call& call, const std::string& from, const messages::MembershipTable& table) {
  for (const MemberRecord& record : table.members()) Learn(call, record);
  if (auto answer = anti_entropy_.Answer(call.now, table)) SendTable(call, from, std::move(*answer));
}

void Protocol::Learn(const Call& call, const MemberRecord& record) {
  if (!IsValid(record)) return;
  if (record.name() == self_.name) return LearnAboutSelf(call, record);
  const Entry* known = table_.Find(record.name());
  const bool accused_here = known != nullptr && HasAccuser(known->record, self_.name);
  const auto applied = table_.Apply(call.now, record, call.now - started_at_ < kLearnsOfDeadFor);
  if (applied.news) news_.Add(call.now, record.name());
  if (applied.news && record.state() != messages::MEMBER_ALIVE) {
    next_check_ = std::min(next_check_.value_or(call.now + kCheckSoon), call.now + kCheckSoon);
  }
  if (applied.objected && accused_here) detector_.Objected(call.now, record.name());
  call.output.changed |= applied.live_changed;
}

// A record sent by its owner is a sign of life. If the owner is known here in another state or incarnation,
// it is sent that record, so that it can refute it.
void Protocol::LearnFromOwner(const Call& call, const std::string& from, const MemberRecord& record) {
  const bool possible = record.state() == messages::MEMBER_ALIVE || record.state() == messages::MEMBER_LEFT;
  if (!IsValid(record) || !possible || record.address() != from) return;
  Learn(call, record);
  Entry* entry = table_.Find(record.name());
  if (entry == nullptr || record.name() == self_.name || record.state() == messages::MEMBER_LEFT) return;
  const bool same_life = entry->record.incarnation() == record.incarnation();
  if (same_life && IsLive(entry->record)) entry->last_heard = call.now;
  if (same_life && entry->record.state() == messages::MEMBER_ALIVE) return;
  if (call.now - entry->last_told < kBetweenTellings) return;
  entry->last_told = call.now;
  SendToAddress(call, from, MakeHeartbeat({record.name()}, false));
}

// A record of this member from an earlier incarnation, a suspicion or a wrong record is refuted by a higher
// incarnation.
void Protocol::LearnAboutSelf(const Call& call, const MemberRecord& record) {
  const MemberRecord& own = table_.self();
  if (record.incarnation() < own.incarnation()) return;
  const bool same_life = record.incarnation() == own.incarnation();
  if (same_life && record.state() == messages::MEMBER_ALIVE && CompareKnowledge(record, own) <= 0) return;
  ChangeSelf(call, [&](MemberRecord* changed) {
    changed->set_incarnation(record.incarnation() + 1);
    changed->set_version(std::max(changed->version(), record.version()) + 1);
  });
}

}  // namespace lichenlug::membership_ring

#include "lab/membership/heartbeat.h"

#include <algorithm>

#include "lab/membership/rumours.h"

namespace lichenlug::lab {

Heartbeat::Heartbeat(const Settings& settings, const Seat& seat, Time now)
    : settings_(settings),
      seat_(seat),
      period_(std::max(settings.shortest, static_cast<Time>((seat.tier - 1) * (kBytes + 2) * kSecond /
                                                            settings.bytes_a_second))),
      due_at_(now),
      heard_(static_cast<std::size_t>(seat.tier)) {
  view_.own = seat.number;
  for (int n = 0; n < seat.tier; ++n) view_.members.push_back({n});
  Set(seat.number, MemberStatus::kAlive, seat.life / 1000 * 1000);
}

void Heartbeat::Set(int number, MemberStatus status, std::uint64_t life) {
  TierMember& member = view_.members[static_cast<std::size_t>(number)];
  if (member.status == status && member.life == life) return;
  member.status = status, member.life = life;
  ++view_.version;
}

Time Heartbeat::DueAt() const { return due_at_; }

std::vector<PeerProtocol::Datagram> Heartbeat::MakeDatagrams(Time now) {
  std::vector<Datagram> words;
  if (now < due_at_) return words;
  due_at_ = std::max(due_at_ + period_, now);
  std::string body(1, left_ ? 1 : 0);
  Put(&body, seat_.life / 1000, 6);
  for (int n = 0; n < seat_.tier; ++n)
    if (n != seat_.number) words.push_back({n, body});
  return words;
}

bool Heartbeat::HandleMessage(int peer, std::string_view body, Time now) {
  const auto left = Get(&body, 1), life = Get(&body, 6);
  if (!left || !life || *left > 1) return false;
  const TierMember& known = view_.members[static_cast<std::size_t>(peer)];
  const std::uint64_t told = *life * 1000;
  if (told < known.life || (told == known.life && known.status == MemberStatus::kLeft)) return true;
  heard_[static_cast<std::size_t>(peer)] = now;
  Set(peer, *left == 1 ? MemberStatus::kLeft : MemberStatus::kAlive, told);
  return true;
}

void Heartbeat::Beat(Time now) {
  if (!settings_.declares || now < look_at_) return;
  look_at_ = now + kCheckInterval;
  for (const TierMember& member : view_.members)
    if (member.number != seat_.number && member.status == MemberStatus::kAlive &&
        now - heard_[static_cast<std::size_t>(member.number)] > settings_.time_out)
      Set(member.number, MemberStatus::kDead, member.life);
}

void Heartbeat::Leave(Time now) {
  left_ = true;
  due_at_ = now;
}

}  // namespace lichenlug::lab

#include "lab/membership/rumours.h"

#include <cmath>

namespace lichenlug::lab {
namespace {

int Rank(MemberStatus status) {
  switch (status) {
    case MemberStatus::kUnknown:
      return 0;
    case MemberStatus::kAlive:
      return 1;
    case MemberStatus::kSuspected:
      return 2;
    case MemberStatus::kDead:
      return 3;
    default:
      return 4;  // left
  }
}

}  // namespace

void Put(std::string* body, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) *body += static_cast<char>(value >> (8 * i) & 255);
}

std::optional<std::uint64_t> Get(std::string_view* body, int bytes) {
  if (body->size() < static_cast<std::size_t>(bytes)) return std::nullopt;
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>((*body)[static_cast<std::size_t>(i)]))
             << (8 * i);
  body->remove_prefix(static_cast<std::size_t>(bytes));
  return value;
}

bool Rumour::Newer(const Rumour& than) const {
  if (life != than.life) return life > than.life;
  if ((status == MemberStatus::kLeft) != (than.status == MemberStatus::kLeft))
    return status == MemberStatus::kLeft;
  if (incarnation != than.incarnation) return incarnation > than.incarnation;
  return Rank(status) > Rank(than.status);
}

Rumours::Rumours(const Seat& seat, double times_each)
    : seat_(seat),
      times_(static_cast<int>(std::ceil(times_each * std::log2(seat.tier + 1)))),
      table_(static_cast<std::size_t>(seat.tier)),
      queued_(table_.size(), {-1, 0}) {
  view_.own = seat.number;
  for (int n = 0; n < seat.tier; ++n) {
    table_[static_cast<std::size_t>(n)].number = n;
    view_.members.push_back({n});
  }
  Set({seat.number, MemberStatus::kAlive, 0, 0, seat.life / 1000});
}

void Rumours::Set(const Rumour& rumour, bool pass_on) {
  const auto n = static_cast<std::size_t>(rumour.number);
  table_[n] = rumour;
  TierMember& member = view_.members[n];
  if (member.status != rumour.status || member.life != rumour.life * 1000) {
    member.status = rumour.status, member.life = rumour.life * 1000;
    ++view_.version;
  }
  if (pass_on) PassOn(rumour.number);
}

void Rumours::Confirm(int number, int accuser) {
  table_[static_cast<std::size_t>(number)].accuser = static_cast<std::uint16_t>(accuser);
  PassOn(number);
}

void Rumours::PassOn(int number) {
  auto& [told, order] = queued_[static_cast<std::size_t>(number)];
  if (told >= 0) queue_.erase({told, order, number});
  told = 0, order = ++order_;
  queue_.insert({told, order, number});
}

bool Rumours::Take(const Rumour& rumour, bool pass_on) {
  const Rumour& known = Of(rumour.number);
  if (!rumour.Newer(known)) return false;
  if (rumour.number != own()) {
    Set(rumour, pass_on);
    return true;
  }
  if (rumour.life != known.life || known.status == MemberStatus::kLeft)
    return false;  // of a clock that ran back
  ++objections_;
  Set({own(), MemberStatus::kAlive, static_cast<std::uint16_t>(rumour.incarnation + 1), 0, known.life});
  return true;
}

void Rumours::Leave() {
  Rumour rumour = Of(own());
  rumour.status = MemberStatus::kLeft;
  Set(rumour);
}

void Rumours::Append(std::string* body, int number) const {
  const Rumour& rumour = Of(number);
  Put(body, static_cast<std::uint64_t>(number), 2);
  Put(body, static_cast<std::uint64_t>(rumour.status), 1);
  Put(body, rumour.incarnation, 2);
  Put(body, rumour.accuser, 2);
  Put(body, rumour.life, 6);
}

void Rumours::Write(std::string* body, std::size_t most, int first) {
  if (first >= 0 && body->size() + kBytes <= most) Append(body, first);
  std::vector<std::tuple<int, std::uint64_t, int>> told;
  for (const auto& entry : queue_) {
    const int number = std::get<2>(entry);
    if (body->size() + kBytes > most) break;
    if (number == first) continue;
    Append(body, number);
    told.push_back(entry);
  }
  for (const auto& entry : told) {
    queue_.erase(entry);
    auto [times, order, number] = entry;
    const bool again = ++times < times_;
    if (again) queue_.insert({times, order, number});
    queued_[static_cast<std::size_t>(number)] = {again ? times : -1, order};
  }
}

void Rumours::Fill(std::string* body, std::size_t most) {
  for (int looked = 0; looked < tier() && body->size() + kBytes <= most; ++looked) {
    fill_ = (fill_ + 1) % tier();
    if (Of(fill_).status != MemberStatus::kUnknown) Append(body, fill_);
  }
}

std::optional<std::vector<Rumour>> Rumours::Read(std::string_view body) const {
  std::vector<Rumour> rumours;
  while (body.size() >= kBytes) {
    Rumour r;
    r.number = static_cast<int>(*Get(&body, 2));
    const auto status = *Get(&body, 1);
    r.status = static_cast<MemberStatus>(status);
    r.incarnation = static_cast<std::uint16_t>(*Get(&body, 2));
    r.accuser = static_cast<std::uint16_t>(*Get(&body, 2));
    r.life = *Get(&body, 6);
    if (r.number >= tier() || status > static_cast<std::uint64_t>(MemberStatus::kDead)) return std::nullopt;
    rumours.push_back(r);
  }
  if (body.size() > 1) return std::nullopt;  // one zero byte may stand behind
  return rumours;
}

}  // namespace lichenlug::lab

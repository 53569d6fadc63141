#include "lab/membership/swim.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::lab {

Swim::Swim(const Settings& settings, const Seat& seat, Time now)
    : settings_(settings),
      seat_(seat),
      started_(now),
      rumours_(seat, settings.times_each),
      random_(seat.seed, 81),
      period_at_(now + static_cast<Time>(random_.Below(static_cast<std::uint64_t>(settings.period)))),
      reconnect_at_(now),
      suspicions_(Index(seat.tier)) {}

// Of a datagram: kind, whether this one has just started (8) and whether it is of the table (4); number,
// life, incarnation, then what the kind wants, then rumours.
void Swim::Say(int peer, Kind kind, std::uint16_t number, int target, bool joins) {
  const Rumour& own = rumours_.Of(seat_.number);
  std::string body(1, static_cast<char>(static_cast<int>(kind) | (joining_ ? 8 : 0) | (joins ? 4 : 0)));
  Put(&body, number, 2);
  Put(&body, own.life, 6);
  Put(&body, own.incarnation, 2);
  if (kind == Kind::kAsk) Put(&body, static_cast<std::uint64_t>(target), 2);
  const MemberStatus status = rumours_.Of(peer).status;
  const bool tell_it =
      status == MemberStatus::kDead || (status == MemberStatus::kSuspected && settings_.lifeguard);
  if (joins)
    rumours_.Fill(&body, kMaxBody - 1);
  else
    rumours_.Write(&body, kMaxBody - 1, tell_it ? peer : -1);
  out_.push_back({peer, std::move(body)});
}

Time Swim::Lasts(const Suspicion& suspicion) const {
  if (!settings_.lifeguard) return settings_.suspicion;
  const auto least = static_cast<double>(settings_.suspicion), most = least * settings_.max_suspicion;
  const int wanted = std::min(settings_.confirmations, rumours_.View().present() - 3);
  if (wanted < 1) return settings_.suspicion;
  const double share = std::log(static_cast<double>(suspicion.accusers.size())) / std::log(wanted + 1);
  return static_cast<Time>(std::max(least, most - (most - least) * share));
}

Time Swim::DueAt() const {
  if (!out_.empty()) return started_;
  Time due = std::min(period_at_, reconnect_at_);
  for (const Probe& probe : probes_) due = std::min(due, probe.ask_at > 0 ? probe.ask_at : probe.fails_at);
  for (const auto& [number, help] : helping_)
    if (help.nack_at > 0) due = std::min(due, help.nack_at);
  return due;
}

std::vector<PeerProtocol::Datagram> Swim::MakeDatagrams(Time now) {
  if (rumours_.Of(seat_.number).status != MemberStatus::kLeft) {
    CheckProbes(now);
    if (now >= period_at_) Period(now);
    if (now >= reconnect_at_) Reconnect(now);
    for (auto& [number, help] : helping_)
      if (help.nack_at > 0 && now >= help.nack_at) {
        help.nack_at = 0;
        Say(help.peer, Kind::kNack, help.number);
      }
    std::erase_if(helping_, [now](const auto& entry) { return entry.second.until <= now; });
  } else {
    period_at_ = reconnect_at_ = now + kSecond;
    probes_.clear(), helping_.clear();
  }
  return std::exchange(out_, {});
}

void Swim::Period(Time now) {
  const Time period = settings_.period * (health_ + 1);
  period_at_ = std::max(period_at_ + period, now + period / 2);
  for (int i = 0; i < settings_.probes; ++i) {
    const int target = NextTarget();
    if (target < 0) break;
    if (std::ranges::any_of(probes_, [&](const Probe& probe) { return probe.target == target; })) break;
    probes_.push_back({target, ++number_, now + settings_.answer * (health_ + 1), now + period});
    Say(target, Kind::kPing, number_);
  }
}

int Swim::NextTarget() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!turn_.empty()) {
      const int target = turn_.back();
      turn_.pop_back();
      if (rumours_.Counts(target)) return target;
    }
    for (int n = 0; n < seat_.tier; ++n)
      if (n != seat_.number && rumours_.Counts(n)) turn_.push_back(n);
    for (std::size_t i = turn_.size(); i > 1; --i) std::swap(turn_[i - 1], turn_[random_.Below(i)]);
  }
  return -1;
}

int Swim::AnyBut(int target) {
  for (int tries = 0; tries < 20; ++tries) {
    const auto n = static_cast<int>(random_.Below(static_cast<std::uint64_t>(seat_.tier)));
    if (n != seat_.number && n != target && rumours_.Counts(n)) return n;
  }
  return -1;
}

void Swim::Reconnect(Time now) {
  std::vector<int> missed;
  bool unknown = false;
  for (int n = 0; n < seat_.tier; ++n) {
    const MemberStatus status = rumours_.Of(n).status;
    if (status == MemberStatus::kUnknown || status == MemberStatus::kDead) missed.push_back(n);
    unknown |= status == MemberStatus::kUnknown;
  }
  joining_ = joining_ && unknown && now - started_ < kJoins;
  reconnect_at_ = now + (joining_ ? settings_.period : kSecond);
  if (!missed.empty()) Say(missed[random_.Below(missed.size())], Kind::kPing, 0);
}

void Swim::CheckProbes(Time now) {
  for (Probe& probe : probes_) {
    if (probe.ask_at == 0 || now < probe.ask_at) continue;
    probe.ask_at = 0;
    std::vector<int> asked;
    for (int i = 0; i < settings_.helpers; ++i) {
      const int helper = AnyBut(probe.target);
      if (helper < 0 || std::ranges::find(asked, helper) != asked.end()) continue;
      asked.push_back(helper);
      Say(helper, Kind::kAsk, probe.number, probe.target);
    }
    probe.nacks_missing = static_cast<int>(asked.size());
  }
  for (std::size_t i = 0; i < probes_.size();) {
    if (now < probes_[i].fails_at) {
      ++i;
      continue;
    }
    const Probe failed = probes_[i];
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
    if (failed.nacks_missing > 0) Healthier(-failed.nacks_missing);
    Accuse(failed.target, now);
  }
  for (int n = 0; n < seat_.tier; ++n) {
    const Suspicion& suspicion = suspicions_[Index(n)];
    if (suspicion.since == 0) continue;
    Rumour rumour = rumours_.Of(n);
    if (rumour.status != MemberStatus::kSuspected) {
      suspicions_[Index(n)] = {};
    } else if (now - suspicion.since >= Lasts(suspicion)) {
      rumour.status = MemberStatus::kDead;
      Heard(rumour, now);
    }
  }
}

void Swim::Accuse(int number, Time now) {
  Rumour rumour = rumours_.Of(number);
  if (!rumours_.Counts(number)) return;
  rumour.status = MemberStatus::kSuspected;
  rumour.accuser = static_cast<std::uint16_t>(seat_.number);
  Heard(rumour, now);
}

void Swim::Heard(const Rumour& rumour, Time now, bool pass_on) {
  const std::uint64_t objections = rumours_.objections();
  const bool news = rumours_.Take(rumour, pass_on);
  if (rumours_.objections() != objections) Healthier(-1);
  if (rumour.number == seat_.number) return;
  Suspicion& suspicion = suspicions_[Index(rumour.number)];
  const Rumour& known = rumours_.Of(rumour.number);
  if (news) {
    suspicion = {};
    if (known.status == MemberStatus::kSuspected) suspicion = {now, {rumour.accuser}};
  } else if (settings_.lifeguard && rumour.status == MemberStatus::kSuspected &&
             known.status == MemberStatus::kSuspected && rumour.life == known.life &&
             rumour.incarnation == known.incarnation && suspicion.since > 0 &&
             static_cast<int>(suspicion.accusers.size()) <= settings_.confirmations &&
             std::ranges::find(suspicion.accusers, rumour.accuser) == suspicion.accusers.end()) {
    suspicion.accusers.push_back(rumour.accuser);
    rumours_.Confirm(rumour.number, rumour.accuser);
  }
}

void Swim::Healthier(int by) {
  if (settings_.lifeguard) health_ = std::clamp(health_ - by, 0, settings_.max_health);
}

bool Swim::HandleMessage(int peer, std::string_view body, Time now) {
  const auto head = Get(&body, 1), number = Get(&body, 2), life = Get(&body, 6), incarnation = Get(&body, 2);
  if (!head || !number || !life || !incarnation || (*head & ~15ULL) != 0) return false;
  const auto kind = static_cast<Kind>(*head & 3);
  const auto target = kind == Kind::kAsk ? Get(&body, 2) : 0;
  if (!target || *target >= static_cast<std::uint64_t>(seat_.tier)) return false;
  const auto rumours = rumours_.Read(body);
  if (!rumours) return false;
  if (*life < rumours_.Of(peer).life) return true;  // of a life that is over
  Heard({peer, MemberStatus::kAlive, static_cast<std::uint16_t>(*incarnation), 0, *life}, now);
  for (const Rumour& rumour : *rumours) Heard(rumour, now, (*head & 4) == 0);
  const auto asked = static_cast<std::uint16_t>(*number);
  const bool joins = (*head & 8) != 0;
  if (rumours_.Of(seat_.number).status == MemberStatus::kLeft) return true;
  switch (kind) {
    case Kind::kPing:
      Say(peer, Kind::kAck, asked, -1, joins);
      break;
    case Kind::kAsk:
      if (helping_.size() >= kMaxRelayedProbes || static_cast<int>(*target) == seat_.number) break;
      helping_[++number_] = {peer, asked, settings_.lifeguard ? now + settings_.answer : 0, now + kSecond};
      Say(static_cast<int>(*target), Kind::kPing, number_);
      break;
    case Kind::kAck:
    case Kind::kNack:
      if (const auto help = helping_.find(asked); kind == Kind::kAck && help != helping_.end()) {
        const Help found = help->second;
        helping_.erase(help);
        Say(found.peer, Kind::kAck, found.number);
      }
      for (std::size_t i = 0; i < probes_.size(); ++i) {
        if (probes_[i].number != asked) continue;
        if (kind == Kind::kNack) {
          --probes_[i].nacks_missing;
        } else {
          probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
          Healthier(1);
        }
        break;
      }
  }
  return true;
}

void Swim::Beat(Time now) { CheckProbes(now); }

void Swim::Leave(Time) {
  constexpr int kTold = 12;
  rumours_.Leave();
  for (int i = 0; i < kTold; ++i)
    if (const int peer = AnyBut(-1); peer >= 0) Say(peer, Kind::kNack, 0);
}

}  // namespace lichenlug::lab

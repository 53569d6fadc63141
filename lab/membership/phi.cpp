#include "lab/membership/phi.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lichenlug::lab {

Phi::Phi(const Settings& settings, const Seat& seat, Time now)
    : settings_(settings),
      seat_(seat),
      started_(now),
      rumours_(seat, settings.times_each),
      random_(seat.seed, 82),
      watched_(Index(seat.tier)),
      told_(Index(seat.tier)),
      due_at_(now + static_cast<Time>(random_.Below(static_cast<std::uint64_t>(settings.period)))) {
  Random steps(static_cast<std::uint64_t>(seat.tier), 83);  // the same for all members
  const auto wanted = static_cast<std::size_t>(std::min(settings.watchers, seat.tier - 1));
  while (watchers_.size() < wanted) {
    const int step = 1 + static_cast<int>(steps.Below(static_cast<std::uint64_t>(seat.tier - 1)));
    const int watcher = (seat.number + step) % seat.tier;
    if (std::ranges::find(watchers_, watcher) == watchers_.end()) watchers_.push_back(watcher);
  }
}

// Of a datagram: heartbeat (1), has just started (2), of the table (4); life, incarnation, rumours.
void Phi::Say(int peer, std::size_t most, bool heartbeat, bool fill) {
  const Rumour& own = rumours_.Of(seat_.number);
  std::string body(1, static_cast<char>((heartbeat ? 1 : 0) | (joining_ ? 2 : 0) | (fill ? 4 : 0)));
  Put(&body, own.life, 6);
  Put(&body, own.incarnation, 2);
  if (fill)
    rumours_.Fill(&body, kMaxBody - 1);
  else
    rumours_.Write(&body, most, rumours_.Of(peer).status == MemberStatus::kDead ? peer : -1);
  out_.push_back({peer, std::move(body)});
}

std::vector<PeerProtocol::Datagram> Phi::MakeDatagrams(Time now) {
  if (now >= due_at_) {
    due_at_ = std::max(due_at_ + settings_.period, now);
    if (rumours_.Of(seat_.number).status != MemberStatus::kLeft)
      for (int watcher : watchers_) Say(watcher, settings_.rumour_bytes, true, false);
    bool unknown = false;
    for (int n = 0; n < seat_.tier; ++n) unknown |= rumours_.Of(n).status == MemberStatus::kUnknown;
    joining_ = joining_ && unknown && now - started_ < kJoins;
  }
  return std::exchange(out_, {});
}

bool Phi::HandleMessage(int peer, std::string_view body, Time now) {
  const auto head = Get(&body, 1), life = Get(&body, 6), incarnation = Get(&body, 2);
  if (!head || !life || !incarnation || *head > 7) return false;
  const auto rumours = rumours_.Read(body);
  if (!rumours) return false;
  if (*life < rumours_.Of(peer).life) return true;  // of a life that is over
  rumours_.Take({peer, MemberStatus::kAlive, static_cast<std::uint16_t>(*incarnation), 0, *life}, true);
  for (const Rumour& rumour : *rumours) rumours_.Take(rumour, (*head & 4) == 0);
  if ((*head & 1) != 0) {
    Watched& watched = watched_[Index(peer)];
    if (watched.life != *life) watched = {{}, 0, *life};
    if (watched.heard > 0) {
      watched.spans.push_back(now - watched.heard);
      if (watched.spans.size() > settings_.window) watched.spans.pop_front();
    }
    watched.heard = now;
    constexpr double kAnswered = 0.25;  // of the heartbeats of one that has just started
    const bool dead = rumours_.Of(peer).status == MemberStatus::kDead;
    if ((*head & 2) != 0 && random_.Chance(kAnswered)) {
      Say(peer, kMaxBody - 1, false, true);
    } else if (dead && now - told_[Index(peer)] > kSecond) {
      told_[Index(peer)] = now;
      Say(peer, kMaxBody - 1, false, false);
    }
  }
  return true;
}

// Minus the logarithm, to base 10, of the chance of a heartbeat that comes later still.
double Phi::Level(const Watched& watched, Time now) const {
  double mean = static_cast<double>(settings_.period), squares = 0;
  if (const auto n = static_cast<double>(watched.spans.size()); n >= 5) {
    mean = 0;
    for (Time span : watched.spans) mean += static_cast<double>(span) / n;
    for (Time span : watched.spans) squares += std::pow(static_cast<double>(span) - mean, 2) / n;
  }
  const double deviation = std::max(static_cast<double>(settings_.min_deviation), std::sqrt(squares));
  const double late = static_cast<double>(now - watched.heard - settings_.pause) - mean;
  return -std::log10(std::max(1e-30, std::erfc(late / deviation / std::sqrt(2.0)) / 2));
}

void Phi::Beat(Time now) {
  if (now < look_at_) return;
  look_at_ = now + kCheckInterval;
  for (int n = 0; n < seat_.tier; ++n) {
    Watched& watched = watched_[Index(n)];
    Rumour rumour = rumours_.Of(n);
    if (watched.heard == 0 || watched.life != rumour.life || !rumours_.Counts(n) ||
        Level(watched, now) < settings_.threshold)
      continue;
    rumour.status = MemberStatus::kDead;
    rumours_.Take(rumour);
    watched.heard = 0;  // heard from again, it starts anew
  }
}

void Phi::Leave(Time) {
  rumours_.Leave();
  for (int watcher : watchers_) Say(watcher, settings_.rumour_bytes, false, false);
}

}  // namespace lichenlug::lab

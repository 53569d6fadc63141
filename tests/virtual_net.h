// Simulates the membership of a tier in virtual time, on a network that loses, duplicates and reorders
// datagrams, with one-way and two-way partitions, members that crash, pause and restart, and clock steps.
// Deterministic for each seed.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "peers/membership.h"

namespace lichenlug {

class VirtualNet {
 public:
  struct Member {
    std::unique_ptr<Membership> self;
    std::uint64_t life = 0;
    Time clock_offset = 0;                                // offset to the network's time
    Time paused_until = 0, wake_at = 0, awake_since = 0;  // `awake_since`: its last start or resumption
    std::vector<std::pair<int, std::string>> inbox;       // received during a pause
    std::size_t bytes = 0, datagrams_sent = 0, datagrams_received = 0;
    bool left = false;
  };

  int loss_percent = 0, duplicate_percent = 0;
  Time min_delay = 300, max_delay = 22 * kMillisecond;
  bool sends_refusals = false;  // the host of a dead member sends ICMP port unreachable
  Time now = 1000 * kSecond;

  VirtualNet(int tier, int zones, std::uint64_t seed) : random_(seed), zones_(zones), members_(tier) {}

  int tier() const { return static_cast<int>(members_.size()); }
  Member& MemberAt(int i) { return members_[i]; }
  bool Up(int i) const { return members_[i].self != nullptr; }
  bool Awake(int i) const { return Up(i) && now >= members_[i].paused_until; }
  int ZoneOf(int i) const { return zones_ == 0 ? -1 : i % zones_; }

  void Start(int i) {
    Member& it = members_[i];
    const Time clock_offset = it.clock_offset;
    it = Member{};
    it.clock_offset = clock_offset, it.life = static_cast<std::uint64_t>(now) + ++next_life_,
    it.awake_since = now;
    it.self = std::make_unique<Membership>(Membership::Identity{i, tier(), ZoneOf(i)}, it.life, random_(),
                                           now + clock_offset);
    Wake(i, now);
  }
  void StartAll() {
    for (int i = 0; i < tier(); ++i) Start(i);
  }
  void Crash(int i) { members_[i].self = nullptr; }
  void Pause(int i, Time span) {
    if (!Up(i)) return;
    members_[i].paused_until = now + span, members_[i].awake_since = now + span;
    Wake(i, now + span);
  }
  void SetClock(int i, Time by) {
    members_[i].clock_offset += by;
    if (Up(i)) Wake(i, std::max(now, members_[i].paused_until));
  }
  void Leave(int i) {
    members_[i].self->Leave(now + members_[i].clock_offset), members_[i].left = true;
    SendDue(i);
  }
  // Drops `loss` percent of the datagrams from `from` to `to`.
  void BlockLink(int from, int to, int loss = 100) { links_[{from, to}] = {loss, now}; }
  void Partition(const std::set<int>& a, const std::set<int>& b) {
    for (const int x : a)
      for (const int y : b) BlockLink(x, y), BlockLink(y, x);
  }
  void Heal() {
    for (auto& [link, state] : links_)
      if (state.first != 0) state = {0, now};
    loss_percent = duplicate_percent = 0;
  }
  // How long datagrams of `from` have been reaching `to` without a break.
  Time ReachableFor(int from, int to) const {
    if (!Awake(from) || !Awake(to)) return 0;
    Time since = std::max(members_[from].awake_since, members_[to].awake_since);
    const auto it = links_.find({from, to});
    if (it != links_.end()) {
      if (it->second.first > 50) return 0;
      since = std::max(since, it->second.second);
    }
    return now - since;
  }
  MemberStatus StatusSeen(int observer, int member) const {
    return members_[observer].self->View().members[member].status;
  }
  const TierView& View(int i) const { return members_[i].self->View(); }

  // The number of awake members, except `member` itself, that see it with this status.
  int CountSeeing(int member, MemberStatus status) const {
    int count = 0;
    for (int i = 0; i < tier(); ++i) count += i != member && Awake(i) && StatusSeen(i, member) == status;
    return count;
  }
  int AwakeExcept(int member) const {
    int count = 0;
    for (int i = 0; i < tier(); ++i) count += i != member && Awake(i);
    return count;
  }

  void Run(Time span) {
    for (const Time end = now + span;;) {
      if (events_.empty() || events_.top().at > end) return void(now = end);
      Event event = events_.top();
      events_.pop();
      now = std::max(now, event.at);
      if (event.from < 0) {
        if (members_[event.to].wake_at == event.at) HandleTimer(event.to);
      } else {
        Arrive(event);
      }
    }
  }
  // Runs until `condition` holds or for `max_time`. Returns the time it took; -1: the condition never held.
  template <typename Condition>
  Time RunUntil(Time max_time, Condition condition) {
    const Time from = now;
    for (; now - from < max_time; Run(10 * kMillisecond))
      if (condition()) return now - from;
    return condition() ? now - from : -1;
  }

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    int from, to;  // `from` below 0: a timer of `to`
    std::string bytes;
    bool refusal = false;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  Time Delay() {
    return min_delay + static_cast<Time>(random_() % static_cast<std::uint64_t>(max_delay - min_delay + 1));
  }
  void Wake(int i, Time at) {
    members_[i].wake_at = at;
    events_.push({at, ++order_, -1, i, {}});
  }
  void HandleTimer(int i) {
    Member& it = members_[i];
    if (!it.self || now < it.paused_until) return;
    for (auto& [from, bytes] : std::exchange(it.inbox, {}))
      it.self->HandleMessage(from, bytes, now + it.clock_offset);
    SendDue(i);
  }
  void SendDue(int i) {
    Member& it = members_[i];
    it.self->Beat(now + it.clock_offset);
    for (const auto& datagram : it.self->MakeDatagrams(now + it.clock_offset))
      Send(i, datagram.peer, datagram.body);
    const Time due = it.self->DueAt() - it.clock_offset;
    const Time at = std::clamp(due, now + kMillisecond, now + 100 * kMillisecond);
    if (at != it.wake_at) Wake(i, at);
  }
  void Send(int from, int to, const std::string& body) {
    ASSERT_TRUE(!body.empty() && body.size() <= PeerProtocol::kMaxBody && to >= 0 && to < tier());
    members_[from].bytes += body.size() + 2, ++members_[from].datagrams_sent;
    const auto link = links_.find({from, to});
    const auto chance = [this](int percent) { return static_cast<int>(random_() % 100) < percent; };
    for (int copies = chance(duplicate_percent) ? 2 : 1; copies > 0; --copies)
      if (!chance(loss_percent) && (link == links_.end() || !chance(link->second.first)))
        events_.push({now + Delay(), ++order_, from, to, body});
  }
  void Arrive(const Event& event) {
    Member& it = members_[event.to];
    if (!it.self) {
      if (sends_refusals && !event.refusal && Up(event.from))
        events_.push({now + Delay(), ++order_, event.to, event.from, {}, true});
      return;
    }
    if (now < it.paused_until) {
      if (!event.refusal && it.inbox.size() < 500) it.inbox.emplace_back(event.from, event.bytes);
      return;
    }
    ++it.datagrams_received;
    if (event.refusal)
      it.self->Refused(event.from, now + it.clock_offset);
    else
      it.self->HandleMessage(event.from, event.bytes, now + it.clock_offset);
    SendDue(event.to);
  }

  std::mt19937_64 random_;
  const int zones_;
  std::vector<Member> members_;
  std::map<std::pair<int, int>, std::pair<int, Time>> links_;  // percent lost, since
  std::uint64_t next_life_ = 0, order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace lichenlug

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
    Time clock = 0;                                   // offset to the network's time
    Time paused_until = 0, wake_at = 0, since = 0;    // `since`: awake
    std::vector<std::pair<int, std::string>> inbox;   // received during a pause
    std::size_t bytes = 0, datagrams = 0, heard = 0;  // `heard`: datagrams received
    bool left = false;
  };

  int lost = 0, copied = 0;  // percent
  Time min_way = 300, max_way = 22 * kMillisecond;
  bool refuses = false;  // the host of a dead member sends ICMP port unreachable
  Time now = 1000 * kSecond;

  VirtualNet(int tier, int zones, std::uint64_t seed) : random_(seed), zones_(zones), members_(tier) {}

  int tier() const { return static_cast<int>(members_.size()); }
  Member& of(int i) { return members_[i]; }
  bool Up(int i) const { return members_[i].self != nullptr; }
  bool Awake(int i) const { return Up(i) && now >= members_[i].paused_until; }
  int ZoneOf(int i) const { return zones_ == 0 ? -1 : i % zones_; }

  void Start(int i) {
    Member& it = members_[i];
    const Time clock = it.clock;
    it = Member{};
    it.clock = clock, it.life = static_cast<std::uint64_t>(now) + ++lives_, it.since = now;
    it.self = std::make_unique<Membership>(Membership::Place{i, tier(), ZoneOf(i)}, it.life, random_(),
                                           now + clock);
    Wake(i, now);
  }
  void StartAll() {
    for (int i = 0; i < tier(); ++i) Start(i);
  }
  void Kill(int i) { members_[i].self = nullptr; }
  void Pause(int i, Time span) {
    if (!Up(i)) return;
    members_[i].paused_until = now + span, members_[i].since = now + span;
    Wake(i, now + span);
  }
  void SetClock(int i, Time by) {
    members_[i].clock += by;
    if (Up(i)) Wake(i, std::max(now, members_[i].paused_until));
  }
  void Leave(int i) {
    members_[i].self->Leave(now + members_[i].clock), members_[i].left = true;
    Serve(i);
  }
  // Drops `part` percent of the datagrams from `from` to `to`.
  void Cut(int from, int to, int part = 100) { links_[{from, to}] = {part, now}; }
  void CutBoth(const std::set<int>& a, const std::set<int>& b) {
    for (const int x : a)
      for (const int y : b) Cut(x, y), Cut(y, x);
  }
  void Heal() {
    for (auto& [link, state] : links_)
      if (state.first != 0) state = {0, now};
    lost = copied = 0;
  }
  // How long datagrams of `from` have been reaching `to` without a break.
  Time HeardFor(int from, int to) const {
    if (!Awake(from) || !Awake(to)) return 0;
    Time since = std::max(members_[from].since, members_[to].since);
    const auto it = links_.find({from, to});
    if (it != links_.end()) {
      if (it->second.first > 50) return 0;
      since = std::max(since, it->second.second);
    }
    return now - since;
  }
  MemberStatus See(int observer, int member) const {
    return members_[observer].self->View().members[member].status;
  }
  const TierView& View(int i) const { return members_[i].self->View(); }

  // The number of awake members, except `member` itself, that see it with this status.
  int Seeing(int member, MemberStatus status) const {
    int count = 0;
    for (int i = 0; i < tier(); ++i) count += i != member && Awake(i) && See(i, member) == status;
    return count;
  }
  int AwakeBut(int member) const {
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
        if (members_[event.to].wake_at == event.at) Woken(event.to);
      } else {
        Arrive(event);
      }
    }
  }
  // Runs until `holds` or for `most`. Returns the time it took; -1: it never held.
  template <typename Holds>
  Time Until(Time most, Holds holds) {
    const Time from = now;
    for (; now - from < most; Run(10 * kMillisecond))
      if (holds()) return now - from;
    return holds() ? now - from : -1;
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

  Time Way() {
    return min_way + static_cast<Time>(random_() % static_cast<std::uint64_t>(max_way - min_way + 1));
  }
  void Wake(int i, Time at) {
    members_[i].wake_at = at;
    events_.push({at, ++order_, -1, i, {}});
  }
  void Woken(int i) {
    Member& it = members_[i];
    if (!it.self || now < it.paused_until) return;
    for (auto& [from, bytes] : std::exchange(it.inbox, {}))
      it.self->HandleMessage(from, bytes, now + it.clock);
    Serve(i);
  }
  void Serve(int i) {
    Member& it = members_[i];
    it.self->Beat(now + it.clock);
    for (const auto& word : it.self->MakeDatagrams(now + it.clock)) Send(i, word.peer, word.body);
    const Time due = it.self->DueAt() - it.clock;
    const Time at = std::clamp(due, now + kMillisecond, now + 100 * kMillisecond);
    if (at != it.wake_at) Wake(i, at);
  }
  void Send(int from, int to, const std::string& body) {
    ASSERT_TRUE(!body.empty() && body.size() <= PeerProtocol::kMaxBody && to >= 0 && to < tier());
    members_[from].bytes += body.size() + 2, ++members_[from].datagrams;
    const auto link = links_.find({from, to});
    const auto part = [this](int of_100) { return static_cast<int>(random_() % 100) < of_100; };
    for (int copies = part(copied) ? 2 : 1; copies > 0; --copies)
      if (!part(lost) && (link == links_.end() || !part(link->second.first)))
        events_.push({now + Way(), ++order_, from, to, body});
  }
  void Arrive(const Event& event) {
    Member& it = members_[event.to];
    if (!it.self) {
      if (refuses && !event.refusal && Up(event.from))
        events_.push({now + Way(), ++order_, event.to, event.from, {}, true});
      return;
    }
    if (now < it.paused_until) {
      if (!event.refusal && it.inbox.size() < 500) it.inbox.emplace_back(event.from, event.bytes);
      return;
    }
    ++it.heard;
    if (event.refusal)
      it.self->Refused(event.from, now + it.clock);
    else
      it.self->HandleMessage(event.from, event.bytes, now + it.clock);
    Serve(event.to);
  }

  std::mt19937_64 random_;
  const int zones_;
  std::vector<Member> members_;
  std::map<std::pair<int, int>, std::pair<int, Time>> links_;  // percent lost, since
  std::uint64_t lives_ = 0, order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace lichenlug

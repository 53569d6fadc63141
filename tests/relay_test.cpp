// Slot counts in a large tier with relays: the sums that all members receive while relays crash, links are
// partitioned one way or both, datagrams are lost and duplicated, and members restart.
#include "peers/relay.h"

#include <gtest/gtest.h>

#include <memory>
#include <queue>
#include <random>
#include <set>

#include "peers/holdings.h"
#include "recording_observer.h"

namespace lichenlug {
namespace {

struct Member {
  RecordingObserver observer;
  Holdings holdings;
  std::map<std::string, int> in_use;
  Time last_greeting_at = 0;
  Member(std::uint64_t life, const Holdings::Identity& identity) : holdings(life, identity, 2, &observer) {}
};

// Simulates a tier in virtual time. Datagrams take 1 to 6 ms; `lost` and `copied` are percentages.
class Tier {
 public:
  static constexpr int kSize = 30, kRunners = 21;
  std::vector<std::unique_ptr<Member>> members;
  std::set<std::pair<int, int>> blocked_links;  // from, to
  int loss_percent = 0, duplicate_percent = 0;
  std::size_t sent = 0, bytes = 0;
  Time now = kSecond;

  explicit Tier(std::uint64_t seed, int zones = 1, bool busy = false) : random_(seed), zones_(zones) {
    for (int i = 0; i < kSize; ++i) members.push_back(nullptr);
    for (int i = 0; i < kSize; ++i) Start(i);
    Run(100 * kMillisecond);
    if (!busy) return;
    HoldAll();
    Run(300 * kMillisecond);
  }

  static std::string Runner(int i) { return "runner-" + std::to_string(i); }

  void Start(int i) {
    members[i] = std::make_unique<Member>(++next_life_, Holdings::Identity{i, kSize, i % zones_});
    for (int r = 0; r < kRunners; ++r) members[i]->holdings.Name(Runner(r), r % zones_);
    Greet(i);
  }
  void Greet(int i) {
    members[i]->last_greeting_at = now;
    for (int to = 0; to < kSize; ++to) Send(i, to, members[i]->holdings.Greeting());
  }
  void Crash(int i) { members[i] = nullptr; }

  void Hold(int member, int runner, int slots) {
    members[member]->in_use[Runner(runner)] += slots;
    members[member]->holdings.Hold(Runner(runner), slots, now);
  }

  void Run(Time span) {
    for (const Time end = now + span; now < end; now += kMillisecond) {
      while (!in_flight_.empty() && in_flight_.top().at <= now) {
        const InFlight datagram = in_flight_.top();
        in_flight_.pop();
        bool greet = false;
        if (members[datagram.to] == nullptr) continue;
        members[datagram.to]->holdings.HandleMessage(datagram.from, datagram.bytes, now, &greet);
        if (greet)
          Send(datagram.to, datagram.from, members[datagram.to]->holdings.GreetingReply(datagram.from));
      }
      for (int i = 0; i < kSize; ++i) {
        if (members[i] == nullptr) continue;
        if (now % kSecond == 0) {
          members[i]->holdings.ExpireEntries(now);
          if (now - members[i]->last_greeting_at >= members[i]->holdings.GreetingInterval()) Greet(i);
        }
        for (const auto& datagram : members[i]->holdings.MakeDatagrams(now)) {
          ASSERT_LE(datagram.bytes.size(), 256u);
          Send(i, datagram.peer, datagram.bytes);
        }
      }
    }
  }

  // The number of runners whose sum at `member` differs from the slots that the others of `among` use.
  int CountWrongSums(int member, const std::set<int>& included) const {
    int wrong_sums = 0;
    for (int r = 0; r < kRunners; ++r) {
      if (r % zones_ != member % zones_) continue;
      int held = 0;
      for (const int other : included) {
        if (other == member || members[other] == nullptr) continue;
        const auto in_use = members[other]->in_use.find(Runner(r));
        held += in_use == members[other]->in_use.end() ? 0 : in_use->second;
      }
      const auto received = members[member]->observer.held.find(Runner(r));
      const int sum = received == members[member]->observer.held.end() ? 0 : received->second;
      wrong_sums += std::min(held, kMaxSlots) != std::min(sum, kMaxSlots);
    }
    return wrong_sums;
  }
  int CountWrongSums(const std::set<int>& included) const {
    int wrong_sums = 0;
    for (const int i : included) wrong_sums += members[i] == nullptr ? 0 : CountWrongSums(i, included);
    return wrong_sums;
  }
  static std::set<int> AllMembers() { return MemberRange(0, kSize); }
  static std::set<int> MemberRange(int from, int to) {
    std::set<int> part;
    for (int i = from; i < to; ++i) part.insert(i);
    return part;
  }
  void Partition(const std::set<int>& from, const std::set<int>& to) {
    for (const int a : from)
      for (const int b : to)
        if (a != b) blocked_links.insert({a, b});
  }
  void HoldAll() {
    for (int i = 0; i < kSize; ++i)
      if (members[i] != nullptr)
        Hold(i, static_cast<int>(random_() % kRunners) / zones_ * zones_ + i % zones_, 1);
  }
  int RelayOf(int member) const { return members[member]->holdings.RelayOf(member % zones_); }

 private:
  struct InFlight {
    Time at;
    int from, to;
    std::string bytes;
    bool operator>(const InFlight& other) const { return at > other.at; }
  };
  void Send(int from, int to, const std::string& datagram) {
    if (from == to) return;
    ++sent, bytes += datagram.size();
    if (blocked_links.contains({from, to})) return;
    for (int copies = random_() % 100 < static_cast<unsigned>(duplicate_percent) ? 2 : 1; copies > 0;
         --copies)
      if (random_() % 100 >= static_cast<unsigned>(loss_percent))
        in_flight_.push({now + kMillisecond + static_cast<Time>(random_() % 5000), from, to, datagram});
  }

  std::mt19937_64 random_;
  const int zones_;
  std::uint64_t next_life_ = 0;
  std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> in_flight_;
};

TEST(Relay, AllMembersReceiveTheSumsOfTheOthers) {
  Tier tier(1, 1, true);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
  for (int i = 1; i < Tier::kSize; ++i) EXPECT_EQ(tier.RelayOf(i), tier.RelayOf(0));
  for (int i = 0; i < Tier::kSize; ++i)
    for (const auto& [runner, slots] : std::map<std::string, int>(tier.members[i]->in_use))
      tier.Hold(i, std::stoi(runner.substr(7)), -slots);
  tier.Run(300 * kMillisecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
}

TEST(Relay, UpdatesGoToOneReceiverAndSumsAreBatched) {
  Tier tier(2, 1, true);
  const std::size_t before = tier.sent;
  for (int i = 0; i < 100; ++i) {  // 100 jobs/s: broadcast would send 200 updates to 29 receivers
    tier.Hold(i % Tier::kSize, i % Tier::kRunners, 1);
    tier.Run(5 * kMillisecond);
    tier.Hold(i % Tier::kSize, i % Tier::kRunners, -1);
    tier.Run(5 * kMillisecond);
  }
  EXPECT_LT(tier.sent - before, 200u * 29 / 3);
}

TEST(Relay, ZonesReceiveTheirRunnersSumsAndUpdatesCrossZonesToTheRelay) {
  Tier tier(3, 3);
  for (int i = 0; i < Tier::kSize; ++i) tier.Hold(i, i % 18, 1), tier.Hold(i, (i + 1) % 18, 1);
  tier.Run(300 * kMillisecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
  EXPECT_EQ(tier.RelayOf(0), tier.RelayOf(3));
  EXPECT_NE(tier.RelayOf(0), tier.RelayOf(1));
}

TEST(Relay, AnotherRelayTakesOverAfterACrash) {
  Tier tier(4, 1, true);
  const int first = tier.RelayOf(0);
  tier.Crash(first);
  tier.Run(Relay::kSilenceTimeout + Relay::kUpdateInterval + 300 * kMillisecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
  tier.Start(first);  // it ranks best again, and uses no slots after the restart
  tier.Run(kSecond);
  tier.Hold(first, 3, 2);
  tier.Run(2 * kSecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
}

TEST(Relay, SurvivorsAgreeWithinThreeSecondsAfterSeventyPercentCrash) {
  Tier tier(5, 1, true);
  for (int i = 0; i < Tier::kSize; ++i)
    if (i % 10 < 7) tier.Crash(i);
  tier.Run(3 * kSecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
}

TEST(Relay, PartitionedHalvesAgreeSeparatelyAndTogetherAfterHealing) {
  Tier tier(6, 1, true);
  const auto left = Tier::MemberRange(0, 15), right = Tier::MemberRange(15, 30);
  tier.Partition(left, right), tier.Partition(right, left);
  tier.Run(12 * kSecond);  // worst case: one relay after another is tried in vain
  EXPECT_EQ(tier.CountWrongSums(left), 0);
  EXPECT_EQ(tier.CountWrongSums(right), 0);
  tier.blocked_links.clear();
  tier.Run(2 * kSecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0);
}

// A member that receives nothing but whose datagrams arrive: the others keep counting its slots, and it falls
// back to its own load reports.
TEST(Relay, MemberThatReceivesNothingIsStillCountedByOthers) {
  Tier tier(7, 1, true);
  const int deaf_member = tier.RelayOf(0) == 4 ? 5 : 4;
  tier.Partition(Tier::AllMembers(), {deaf_member});
  tier.Run(500 * kMillisecond);
  EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), tier.CountWrongSums(deaf_member, Tier::AllMembers()));
  tier.Run(20 * kSecond);
  for (const auto& [runner, slots] : tier.members[deaf_member]->observer.held) EXPECT_EQ(slots, 0) << runner;
}

// A member whose datagrams reach nobody: only its own entries expire.
TEST(Relay, EntriesOfAMemberThatReachesNobodyExpire) {
  Tier tier(8, 1, true);
  const int mute_member = tier.RelayOf(0) == 4 ? 5 : 4;
  tier.Partition({mute_member}, Tier::AllMembers());
  tier.Run(Relay::kUpdateTtl + 2 * kSecond);
  auto others = Tier::AllMembers();
  others.erase(mute_member);
  EXPECT_EQ(tier.CountWrongSums(others), 0);
}

TEST(Relay, RecoversWithinTwoSecondsFromLossAndDuplication) {
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    Tier tier(seed);
    tier.loss_percent = 30, tier.duplicate_percent = 50;
    for (int i = 0; i < 300; ++i) {
      tier.Hold(i % Tier::kSize, i % Tier::kRunners, i % 2 == 0 ? 1 : 2);
      tier.Run(10 * kMillisecond);
      tier.Hold(i % Tier::kSize, i % Tier::kRunners, -1);
    }
    tier.loss_percent = 0;
    tier.Run(2 * kSecond);
    EXPECT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0) << "seed " << seed;
  }
}

TEST(Relay, FailureReachesAllAfterTwoReportersOnly) {
  Tier tier(9, 1, true);
  const int relay = tier.RelayOf(0);
  const int a = (relay + 1) % Tier::kSize, b = (relay + 2) % Tier::kSize, c = (relay + 3) % Tier::kSize;
  const auto fails = [&](int member) {
    tier.members[member]->holdings.Failed(Tier::Runner(0), 1, tier.now);
    tier.Run(200 * kMillisecond);
  };
  for (int i = 0; i < 5; ++i) fails(a);
  EXPECT_EQ(tier.members[c]->observer.failing, 0);
  fails(b);
  EXPECT_EQ(tier.members[c]->observer.failing, 1);
}

// After any schedule of faults, all members agree within kHealingTime. This fails without
// Relay::DropSilentRelays.
TEST(Relay, AllAgreeAfterAnyScheduleOfLossPartitionsAndRestarts) {
  constexpr Time kHealingTime = Relay::kRelayRetryDelay + 3 * kSecond;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    Tier tier(seed, seed % 2 == 0 ? 1 : 3);
    for (int step = 0; step < 60; ++step) {
      const int one = static_cast<int>(random() % Tier::kSize),
                other = static_cast<int>(random() % Tier::kSize);
      switch (random() % 8) {
        case 0:
          tier.Crash(one);
          break;
        case 1:
          if (tier.members[one] == nullptr) tier.Start(one);
          break;
        case 2:
          tier.Partition({one}, Tier::AllMembers());
          break;
        case 3:
          tier.Partition(Tier::AllMembers(), {one});
          break;
        case 4:
          tier.Partition(Tier::MemberRange(0, one), Tier::MemberRange(one, Tier::kSize));
          break;
        case 5:
          tier.blocked_links.clear();
          break;
        case 6:
          tier.loss_percent = static_cast<int>(random() % 50),
          tier.duplicate_percent = static_cast<int>(random() % 50);
          break;
        default:
          if (tier.members[other] != nullptr)
            tier.Hold(other, static_cast<int>(random() % Tier::kRunners), 1);
      }
      tier.Run(static_cast<Time>(random() % 200) * kMillisecond);
    }
    tier.blocked_links.clear(), tier.loss_percent = 0;
    tier.HoldAll();  // a member that started partitioned is discovered at its first job
    tier.Run(kHealingTime);
    ASSERT_EQ(tier.CountWrongSums(Tier::AllMembers()), 0) << "seed " << seed;
  }
}

TEST(Relay, UpdateThatDoesNotFitCountsDroppedEntries) {
  RecordingObserver observer;
  SlotTotals totals(0, 2, &observer);
  Relay relay(1, 0, 30, 0, &totals);
  for (int peer = 1; peer < 10; ++peer) relay.AddPeer(peer, 0);
  for (int i = 0; i < 400; ++i) relay.Hold("runner-" + std::to_string(i), 1, kSecond);
  for (const auto& datagram : relay.MakeDatagrams(kSecond))
    EXPECT_LE(datagram.bytes.size(), Relay::kMaxBytes);
  ASSERT_NE(relay.RelayOf(0), 0);
  EXPECT_GT(relay.dropped_entries(), 0u);
}

}  // namespace
}  // namespace lichenlug

// Slot counts in a large tier with relays: the sums that all members receive while relays crash, links are
// partitioned one way or both, datagrams are lost and duplicated, and members restart.
#include "peers/relay.h"

#include <gtest/gtest.h>

#include <memory>
#include <queue>
#include <random>
#include <set>

#include "heard.h"
#include "peers/holdings.h"

namespace lichenlug {
namespace {

struct Member {
  Heard heard;
  Holdings holdings;
  std::map<std::string, int> own;
  Time greeted = 0;
  Member(std::uint64_t life, const Holdings::Place& place) : holdings(life, place, 2, &heard) {}
};

// Simulates a tier in virtual time. Datagrams take 1 to 6 ms; `lost` and `copied` are percentages.
class Tier {
 public:
  static constexpr int kSize = 30, kRunners = 21;
  std::vector<std::unique_ptr<Member>> members;
  std::set<std::pair<int, int>> cut;  // from, to
  int lost = 0, copied = 0;
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
    members[i] = std::make_unique<Member>(++lives_, Holdings::Place{i, kSize, i % zones_});
    for (int r = 0; r < kRunners; ++r) members[i]->holdings.Name(Runner(r), r % zones_);
    Greet(i);
  }
  void Greet(int i) {
    members[i]->greeted = now;
    for (int to = 0; to < kSize; ++to) Send(i, to, members[i]->holdings.Greeting());
  }
  void Kill(int i) { members[i] = nullptr; }

  void Hold(int member, int runner, int slots) {
    members[member]->own[Runner(runner)] += slots;
    members[member]->holdings.Hold(Runner(runner), slots, now);
  }

  void Run(Time span) {
    for (const Time end = now + span; now < end; now += kMillisecond) {
      while (!way_.empty() && way_.top().at <= now) {
        const Way datagram = way_.top();
        way_.pop();
        bool greet = false;
        if (members[datagram.to] == nullptr) continue;
        members[datagram.to]->holdings.HandleMessage(datagram.from, datagram.bytes, now, &greet);
        if (greet) Send(datagram.to, datagram.from, members[datagram.to]->holdings.Answer(datagram.from));
      }
      for (int i = 0; i < kSize; ++i) {
        if (members[i] == nullptr) continue;
        if (now % kSecond == 0) {
          members[i]->holdings.Fade(now);
          if (now - members[i]->greeted >= members[i]->holdings.GreetEvery()) Greet(i);
        }
        for (const auto& datagram : members[i]->holdings.MakeDatagrams(now)) {
          ASSERT_LE(datagram.bytes.size(), 256u);
          Send(i, datagram.peer, datagram.bytes);
        }
      }
    }
  }

  // The number of runners whose sum at `member` differs from the slots that the others of `among` use.
  int Wrong(int member, const std::set<int>& among) const {
    int wrong = 0;
    for (int r = 0; r < kRunners; ++r) {
      if (r % zones_ != member % zones_) continue;
      int held = 0;
      for (const int other : among) {
        if (other == member || members[other] == nullptr) continue;
        const auto own = members[other]->own.find(Runner(r));
        held += own == members[other]->own.end() ? 0 : own->second;
      }
      const auto heard = members[member]->heard.held.find(Runner(r));
      const int told = heard == members[member]->heard.held.end() ? 0 : heard->second;
      wrong += std::min(held, kMaxSlots) != std::min(told, kMaxSlots);
    }
    return wrong;
  }
  int Wrong(const std::set<int>& among) const {
    int wrong = 0;
    for (const int i : among) wrong += members[i] == nullptr ? 0 : Wrong(i, among);
    return wrong;
  }
  static std::set<int> All() { return Part(0, kSize); }
  static std::set<int> Part(int from, int to) {
    std::set<int> part;
    for (int i = from; i < to; ++i) part.insert(i);
    return part;
  }
  void Cut(const std::set<int>& from, const std::set<int>& to) {
    for (const int a : from)
      for (const int b : to)
        if (a != b) cut.insert({a, b});
  }
  void HoldAll() {
    for (int i = 0; i < kSize; ++i)
      if (members[i] != nullptr)
        Hold(i, static_cast<int>(random_() % kRunners) / zones_ * zones_ + i % zones_, 1);
  }
  int Home(int member) const { return members[member]->holdings.RelayOf(member % zones_); }

 private:
  struct Way {
    Time at;
    int from, to;
    std::string bytes;
    bool operator>(const Way& other) const { return at > other.at; }
  };
  void Send(int from, int to, const std::string& datagram) {
    if (from == to) return;
    ++sent, bytes += datagram.size();
    if (cut.contains({from, to})) return;
    for (int copies = random_() % 100 < static_cast<unsigned>(copied) ? 2 : 1; copies > 0; --copies)
      if (random_() % 100 >= static_cast<unsigned>(lost))
        way_.push({now + kMillisecond + static_cast<Time>(random_() % 5000), from, to, datagram});
  }

  std::mt19937_64 random_;
  const int zones_;
  std::uint64_t lives_ = 0;
  std::priority_queue<Way, std::vector<Way>, std::greater<>> way_;
};

TEST(Relay, EveryoneHearsWhatTheOthersHold) {
  Tier tier(1, 1, true);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
  for (int i = 1; i < Tier::kSize; ++i) EXPECT_EQ(tier.Home(i), tier.Home(0));
  for (int i = 0; i < Tier::kSize; ++i)
    for (const auto& [runner, slots] : std::map<std::string, int>(tier.members[i]->own))
      tier.Hold(i, std::stoi(runner.substr(7)), -slots);
  tier.Run(300 * kMillisecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
}

TEST(Relay, ChangesCostOneReceiverEachAndTheSumsGoTogether) {
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

TEST(Relay, ZonesHearOfTheirOwnRunnersAndAcrossZonesOneTellsTheirRelay) {
  Tier tier(3, 3);
  for (int i = 0; i < Tier::kSize; ++i) tier.Hold(i, i % 18, 1), tier.Hold(i, (i + 1) % 18, 1);
  tier.Run(300 * kMillisecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
  EXPECT_EQ(tier.Home(0), tier.Home(3));
  EXPECT_NE(tier.Home(0), tier.Home(1));
}

TEST(Relay, AnotherTakesOverFromOneThatDies) {
  Tier tier(4, 1, true);
  const int first = tier.Home(0);
  tier.Kill(first);
  tier.Run(Relay::kSilent + Relay::kRepeat + 300 * kMillisecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
  tier.Start(first);  // it ranks best again, and uses no slots after the restart
  tier.Run(kSecond);
  tier.Hold(first, 3, 2);
  tier.Run(2 * kSecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
}

TEST(Relay, SevenInTenDieAtOnceAndTheRestAgreeWithinThreeSeconds) {
  Tier tier(5, 1, true);
  for (int i = 0; i < Tier::kSize; ++i)
    if (i % 10 < 7) tier.Kill(i);
  tier.Run(3 * kSecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
}

TEST(Relay, HalvesThatAreCutApartEachAgreeAndTogetherAgainAfterwards) {
  Tier tier(6, 1, true);
  const auto left = Tier::Part(0, 15), right = Tier::Part(15, 30);
  tier.Cut(left, right), tier.Cut(right, left);
  tier.Run(12 * kSecond);  // worst case: one relay after another is tried in vain
  EXPECT_EQ(tier.Wrong(left), 0);
  EXPECT_EQ(tier.Wrong(right), 0);
  tier.cut.clear();
  tier.Run(2 * kSecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), 0);
}

// A member that receives nothing but whose datagrams arrive: the others keep counting its slots, and it falls
// back to its own load reports.
TEST(Relay, OneThatIsDeafKnowsNothingOfOthersAndIsCountedByThem) {
  Tier tier(7, 1, true);
  const int deaf = tier.Home(0) == 4 ? 5 : 4;
  tier.Cut(Tier::All(), {deaf});
  tier.Run(500 * kMillisecond);
  EXPECT_EQ(tier.Wrong(Tier::All()), tier.Wrong(deaf, Tier::All()));
  tier.Run(20 * kSecond);
  for (const auto& [runner, slots] : tier.members[deaf]->heard.held) EXPECT_EQ(slots, 0) << runner;
}

// A member whose datagrams reach nobody: only its own entries expire.
TEST(Relay, OneThatIsMuteIsLetGo) {
  Tier tier(8, 1, true);
  const int mute = tier.Home(0) == 4 ? 5 : 4;
  tier.Cut({mute}, Tier::All());
  tier.Run(Relay::kWordFade + 2 * kSecond);
  auto others = Tier::All();
  others.erase(mute);
  EXPECT_EQ(tier.Wrong(others), 0);
}

TEST(Relay, ThirtyInAHundredLostAndDoubledIsMadeGoodWithinTwoSeconds) {
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    Tier tier(seed);
    tier.lost = 30, tier.copied = 50;
    for (int i = 0; i < 300; ++i) {
      tier.Hold(i % Tier::kSize, i % Tier::kRunners, i % 2 == 0 ? 1 : 2);
      tier.Run(10 * kMillisecond);
      tier.Hold(i % Tier::kSize, i % Tier::kRunners, -1);
    }
    tier.lost = 0;
    tier.Run(2 * kSecond);
    EXPECT_EQ(tier.Wrong(Tier::All()), 0) << "seed " << seed;
  }
}

TEST(Relay, AFailureThatTwoMeetReachesAllAndOneAccuserNobody) {
  Tier tier(9, 1, true);
  const int relay = tier.Home(0);
  const int a = (relay + 1) % Tier::kSize, b = (relay + 2) % Tier::kSize, c = (relay + 3) % Tier::kSize;
  const auto fails = [&](int member) {
    tier.members[member]->holdings.Failed(Tier::Runner(0), 1, tier.now);
    tier.Run(200 * kMillisecond);
  };
  for (int i = 0; i < 5; ++i) fails(a);
  EXPECT_EQ(tier.members[c]->heard.failing, 0);
  fails(b);
  EXPECT_EQ(tier.members[c]->heard.failing, 1);
}

// After any schedule of faults, all members agree within kHealed. This fails without Relay::DropSilent.
TEST(Relay, AfterAnyScheduleOfLossCutsDeathsAndRestartsAllAgreeAgain) {
  constexpr Time kHealed = Relay::kTriedInVain + 3 * kSecond;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    Tier tier(seed, seed % 2 == 0 ? 1 : 3);
    for (int step = 0; step < 60; ++step) {
      const int one = static_cast<int>(random() % Tier::kSize),
                other = static_cast<int>(random() % Tier::kSize);
      switch (random() % 8) {
        case 0:
          tier.Kill(one);
          break;
        case 1:
          if (tier.members[one] == nullptr) tier.Start(one);
          break;
        case 2:
          tier.Cut({one}, Tier::All());
          break;
        case 3:
          tier.Cut(Tier::All(), {one});
          break;
        case 4:
          tier.Cut(Tier::Part(0, one), Tier::Part(one, Tier::kSize));
          break;
        case 5:
          tier.cut.clear();
          break;
        case 6:
          tier.lost = static_cast<int>(random() % 50), tier.copied = static_cast<int>(random() % 50);
          break;
        default:
          if (tier.members[other] != nullptr)
            tier.Hold(other, static_cast<int>(random() % Tier::kRunners), 1);
      }
      tier.Run(static_cast<Time>(random() % 200) * kMillisecond);
    }
    tier.cut.clear(), tier.lost = 0;
    tier.HoldAll();  // a member that started partitioned is discovered at its first job
    tier.Run(kHealed);
    ASSERT_EQ(tier.Wrong(Tier::All()), 0) << "seed " << seed;
  }
}

TEST(Relay, AWordThatDoesNotFitSaysSo) {
  Heard heard;
  Sums sums(0, 2, &heard);
  Relay relay(1, 0, 30, 0, &sums);
  for (int peer = 1; peer < 10; ++peer) relay.Met(peer, 0);
  for (int i = 0; i < 400; ++i) relay.Hold("runner-" + std::to_string(i), 1, kSecond);
  for (const auto& datagram : relay.MakeDatagrams(kSecond))
    EXPECT_LE(datagram.bytes.size(), Relay::kMaxBytes);
  ASSERT_NE(relay.HomeOf(0), 0);
  EXPECT_GT(relay.left_out(), 0u);
}

}  // namespace
}  // namespace lichenlug

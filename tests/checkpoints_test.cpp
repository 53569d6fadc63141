// Checkpoint intervals: the merge of facts in any order, death rates and their uncertainty, the finite
// optimum against brute force, and the store's limit under partitions, message loss, crashes and recovery.
#include "checkpoints/checkpoints.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <deque>

#include "checkpoints/deal.h"

namespace lichenlug {
namespace {

constexpr Time kStart = 1'700'000'000 * kSecond;
constexpr int kSchedules = 10'000;

void Check(const char* what, const std::function<void()>& property, int times = kSchedules) {
  rc::detail::TestMetadata metadata;
  metadata.id = metadata.description = what;
  rc::detail::TestParams params;
  params.seed = 25, params.maxSuccess = times, params.maxSize = 60;
  const auto result = rc::detail::checkTestable(property, metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

TierView Tier(int size, int own, int present) {
  TierView view;
  view.own = own;
  for (int i = 0; i < size; ++i)
    view.members.push_back(
        {i, i % 3, i == own || present-- > 0 ? MemberStatus::kAlive : MemberStatus::kDead, 1});
  return view;
}

struct ReportedLife {
  LifeKey key;
  Life life;
};

std::vector<ReportedLife> RandomLives() {
  // Doesn't use rapidcheck's ranges: they grow with its size parameter, so small tables would never reach
  // their bound.
  std::minstd_rand random(*rc::gen::arbitrary<std::uint32_t>());
  const auto below = [&](unsigned n) { return static_cast<int>(random() / 7 % n); };
  std::vector<ReportedLife> reports(static_cast<std::size_t>(below(24)));
  for (ReportedLife& it : reports) {
    it.key = {static_cast<std::uint32_t>(1 + below(5)), 1 + below(7)};
    it.life.zone = below(3), it.life.kind = below(3), it.life.until = it.key.start + below(9);
    it.life.ended = below(2) * (it.key.start + below(9));
    it.life.planned = below(5) == 0, it.life.seen_by_majority = below(2) == 0;
    it.life.seen_zones = static_cast<std::uint16_t>(below(8));
  }
  return reports;
}

Facts Table(const std::vector<ReportedLife>& reports) {
  Facts facts({.lives = 9, .of_runner = 3});
  for (const ReportedLife& it : reports) facts.Join(it.key, it.life);
  return facts;
}

Facts Joined(Facts a, const Facts& b) {
  a.Join(b);
  return a;
}

TEST(CheckpointFacts, JoinIsASemilatticeEvenAtItsBound) {
  Check("join", [] {
    const auto a = RandomLives(), b = RandomLives(), c = RandomLives();
    const Facts fa = Table(a), fb = Table(b), fc = Table(c);
    RC_ASSERT(Joined(fa, fb).lives() == Joined(fb, fa).lives());
    RC_ASSERT(Joined(Joined(fa, fb), fc).lives() == Joined(fa, Joined(fb, fc)).lives());
    RC_ASSERT(Joined(fa, fa).lives() == fa.lives());
    auto all = a;
    all.insert(all.end(), b.begin(), b.end());
    auto back = all;
    std::ranges::reverse(back);
    RC_ASSERT(Table(all).lives() == Table(back).lives());
    RC_ASSERT(Table(all).lives() == Joined(fa, fb).lives());
    RC_ASSERT(Table(all).lives().size() <= 9U);
  });
}

TEST(CheckpointFacts, LifeRoundTripsAndMalformedBytesAreRejected) {
  Checkpoints mine({}, {0, 3, 0}, 1, 1, kStart);
  Check("bytes", [&] {
    for (const ReportedLife& it : RandomLives()) {
      std::string bytes;
      AppendLife(&bytes, it.key, it.life);
      LifeKey key;
      Life life;
      RC_ASSERT(ReadLife(bytes, &key, &life));
      if (it.life.ended == 0 || it.life.ended >= it.key.start) RC_ASSERT(key == it.key && life == it.life);
    }
    auto noise = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    if (!noise.empty()) noise[0] = static_cast<char>(noise[0] & 3);
    const Lives before = mine.facts().lives();
    if (!mine.HandleMessage(1, noise, kStart)) RC_ASSERT(mine.facts().lives() == before);
  });
}

TEST(CheckpointFacts, DeathSeenByBothPartitionsCountsOnceAfterHealing) {
  const Checkpoints::Settings settings;
  Checkpoints a(settings, {0, 4, 0}, 1, 1, kStart), b(settings, {1, 4, 1}, 1, 2, kStart);
  a.TierChanged(Tier(4, 0, 1), kStart),
      b.TierChanged(Tier(4, 1, 1), kStart);  // two of four each: no majority
  for (Checkpoints* it : {&a, &b}) {
    it->Seen("r", 0, 0, kStart - 100 * kSecond, kStart);
    it->Seen("r", 0, 0, kStart + kSecond, kStart + 2 * kSecond);
    EXPECT_EQ(it->facts().UnconfirmedDeaths(), 1) << "seen from one partition only";
  }
  for (int i = 0; i < 3; ++i)
    for (const auto& [from, to] : {std::pair(&a, &b), std::pair(&b, &a)})
      for (const auto& datagram : from->MakeDatagrams(kStart + (10 + i) * kSecond))
        EXPECT_TRUE(to->HandleMessage(0, datagram.body, kStart + 10 * kSecond));
  EXPECT_EQ(a.facts().lives(), b.facts().lives());
  int died = 0;
  for (const auto& [key, life] : a.facts().lives()) died += life.IsConfirmedDeath() ? 1 : 0;
  EXPECT_EQ(died, 1);
  EXPECT_EQ(a.facts().UnconfirmedDeaths(), 0);
}

TEST(CheckpointFacts, DrainDuringASaveIsNoFailureAndAnObservedLifeIsAliveAgain) {
  Checkpoints it({}, {0, 1, 0}, 1, 1, kStart);
  it.Seen("drained", 0, 0, kStart - 1000 * kSecond, kStart);
  it.Seen("lost", 0, 0, kStart - 1000 * kSecond, kStart);
  it.Begin(1, {"t", "c", "drained", 600}, kStart);
  it.Draining("drained", kStart + kSecond);
  it.Noted(1, 5.5, 5, 0, false, kStart + kSecond);  // half a save: no checkpoint was completed
  it.Moved(1, "lost", kStart + kSecond);
  it.Lost("drained", kStart + 2 * kSecond);
  it.Lost("lost", kStart + 2 * kSecond);
  const auto died = [&] {
    return std::ranges::count_if(it.facts().lives(),
                                 [](const auto& life) { return life.second.IsConfirmedDeath(); });
  };
  EXPECT_EQ(died(), 1);
  it.Seen("lost", 0, 0, kStart - 1000 * kSecond, kStart + 3 * kSecond);
  EXPECT_EQ(died(), 0);
  it.Seen("lost", 0, 0, kStart + 4 * kSecond, kStart + 5 * kSecond);
  it.Seen("lost", 0, 0, kStart - 1000 * kSecond, kStart + 6 * kSecond);
  EXPECT_EQ(died(), 1) << "a delayed report of an old life doesn't revive the runner";
}

// Adds lives of `runners` runners in three zones; lives follow each other, `gap` seconds each.
void AddLives(Facts* facts, int runners, double from, double to, double gap) {
  for (int r = 0; r < runners; ++r) {
    for (double at = from - gap * r / runners; at < to; at += gap) {
      Life life{r % 3, 0, static_cast<Ticks>((std::min(to, at + gap)) * 10), 0, false, true, 1};
      if (at + gap < to) life.ended = life.until;
      facts->Join({static_cast<std::uint32_t>(r + 1), static_cast<Ticks>(at * 10)}, life);
    }
  }
}

TEST(CheckpointRates, NoDeathsGiveAnUpperBoundAndManyDeathsTheRate) {
  Facts none, many;
  AddLives(&none, 30, 1e6, 1e6 + 1000, 5000);
  AddLives(&many, 30, 1e6, 1e6 + 3000, 100);
  const Rate quiet = Rates(none, 1'001'000 * kSecond).RateOf(1, 0, 1, false);
  EXPECT_GT(quiet.mean, 1e-6);
  EXPECT_LT(quiet.mean, 1e-4);
  EXPECT_LT(quiet.upper, 4.0 / 30'000);
  EXPECT_GT(quiet.upper, quiet.mean);
  const Rate busy = Rates(many, 1'003'000 * kSecond).RateOver(1, 0, 1, 0, 100);
  EXPECT_NEAR(busy.mean, 0.01, 0.002);
  EXPECT_LT(busy.sd, 0.1 * busy.mean);
}

TEST(CheckpointRates, RateRisesInABurstAndRecoversAfterIt) {
  Facts facts;
  const auto at = [&](Time now) {
    return Rates(facts, (1'000'000 + now) * kSecond).RateOver(1, 0, 1, 0, 50).mean;
  };
  AddLives(&facts, 30, 1e6, 1e6 + 6000, 1000);
  const double before = at(6000);
  AddLives(&facts, 30, 1e6 + 6000, 1e6 + 6300, 50);
  EXPECT_NEAR(at(6300), 0.02, 0.006);
  AddLives(&facts, 30, 1e6 + 6300, 1e6 + 8000, 1000);
  EXPECT_LT(at(8000), 2 * before);
}

TEST(CheckpointRates, ZoneFailureIsOneEvent) {
  Facts facts;
  AddLives(&facts, 60, 1e6, 1e6 + 2000, 50000);
  const double before = Rates(facts, 1'002'000 * kSecond).RateOf(1, 0, 1, false).mean;
  for (int r = 0; r < 60; r += 3) {
    const auto id = static_cast<std::uint32_t>(r + 1);
    Ticks start = 0;
    Life life = *facts.NewestLife(id, &start);
    life.ended = life.until = 10'020'000 + r % 20, life.seen_by_majority = true;
    facts.Join({id, start}, life);
  }
  const Rates after(facts, 1'002'005 * kSecond);
  EXPECT_EQ(after.events(), 1);
  EXPECT_EQ(after.since(), 0) << "the runners' own rate is unchanged";
  EXPECT_LT(after.RateOf(2, 0, 1, false).mean, before + 2e-4)
      << "twenty deaths would be 1.6e-4 a second more";
}

Job RandomJob() {
  Job job;
  job.work = std::pow(10, *rc::gen::inRange(70, 386) / 100.0);
  job.save = *rc::gen::inRange(1, 100) / 10.0, job.restart = *rc::gen::inRange(0, 100) / 10.0;
  job.rate = std::pow(10, -*rc::gen::inRange(100, 500) / 100.0);
  return job;
}

TEST(CheckpointChoice, FiniteOptimumMatchesBruteForce) {
  Check(
      "brute force",
      [] {
        const Job job = RandomJob();
        const Choice choice = Choose(job);
        double least = Loss(job, 0);
        for (int n = 1; n <= 3 * job.work / std::sqrt(2 * job.save / job.rate) + 20; ++n)
          least = std::min(least, Loss(job, n));
        RC_ASSERT(choice.loss <= least * (1 + 1e-9));
      },
      1000);
}

TEST(CheckpointChoice, ConvergesToYoungAndDaly) {
  const Job job{.work = 1e6, .save = 5, .restart = 10, .rate = 1e-4};
  const double young = std::sqrt(2 * 5 / 1e-4), ratio = std::sqrt(5 * 1e-4 / 2);
  EXPECT_NEAR(Choose(job).interval, young * (1 + ratio / 3 + ratio * ratio / 9) - 5, 1);
}

TEST(CheckpointChoice, NoSaveBelowBreakEvenNorForAJobShorterThanASave) {
  EXPECT_EQ(Choose({.work = 0.5, .save = 1, .rate = 0.1}).saves, 0);
  EXPECT_EQ(Choose({.work = 100, .save = 5, .rate = 1e-4}).saves, 0);
  const Choice some = Choose({.work = 1000, .save = 1, .rate = 1e-2});
  EXPECT_NEAR(some.interval * (some.saves + 1), 1000, 0.1)
      << "the last segment has full length: no save near the end";
}

TEST(CheckpointChoice, DeadlineAtRiskIncreasesSavesAndASmallGainKeepsTheInterval) {
  Job job{.work = 600, .save = 2, .restart = 5, .rate = 1e-4};
  const int calm = Choose(job).saves;
  job.slack = 700, job.lost_when_late = 600;
  EXPECT_GT(Choose(job).saves, calm);
  job.slack = 590;
  EXPECT_EQ(Choose(job).saves, calm) << "the deadline is missed in any case";
  const Choice kept = ReviseChoice(job, 260, 1);
  EXPECT_EQ(kept.interval, 260) << "a small gain doesn't change the interval";
}

TEST(CheckpointDeal, TenantWithManyJobsLeavesOthersTheirShare) {
  std::vector<Wish> wishes;
  const Job job{.work = 3600, .save = 1, .restart = 2, .rate = 1e-3};
  for (int i = 0; i < 200; ++i) wishes.push_back({"many", job});
  for (int i = 0; i < 4; ++i) wishes.push_back({"few", job});
  const DealResult allocation = Deal(&wishes, 1);
  EXPECT_LE(allocation.given, 1);
  EXPECT_GT(allocation.gain, 0);
  EXPECT_DOUBLE_EQ(wishes.back().given, wishes.back().unconstrained);
}

TEST(CheckpointChoice, SameFactsGiveTheSameIntervalToTheMillisecond) {
  Checkpoints::Settings settings{.saves_a_second = 1e6};
  Checkpoints a(settings, {0, 3, 0}, 1, 1, kStart), b(settings, {1, 3, 1}, 1, 9, kStart);
  const Time now = kStart + 4000 * kSecond;
  for (const bool back : {false, true}) {
    Checkpoints& it = back ? b : a;
    it.TierChanged(Tier(3, back, 2), kStart);
    for (int i = 0; i < 90; ++i) {
      const int r = back ? 89 - i : i;
      it.Seen("r" + std::to_string(r), r % 3, r % 2, kStart - r * kSecond, kStart);
      it.Seen("r" + std::to_string(r), r % 3, r % 2, kStart + (50 + r * 40) * kSecond, now);
    }
  }
  const SavePlan plan = a.Begin(1, {"t", "c", "r7", 7200}, now);
  EXPECT_EQ(plan.every % kMillisecond, 0);
  EXPECT_GT(plan.every, 0);
  EXPECT_EQ(plan.every, b.Begin(2, {"t", "c", "r7", 7200}, now).every);
}

// The store's limit holds under partitions, lost, delayed and duplicated datagrams, crashes and restarts.
// Jobs of a crashed dispatcher continue with their last plan until it expires, which is the worst case.
TEST(CheckpointBudget, SaveRateStaysWithinTheLimitUnderAnySchedule) {
  Check("budget", [] {
    constexpr int kSize = 5;
    constexpr Amount kBound = 1'000'000;
    struct Node {
      std::optional<Lending> lending;
      std::vector<std::pair<Amount, Time>> plans;  // rate, and the time until which it is valid
      bool up = true;
      Amount want = 0;
    };
    struct Message {
      Time at;
      int from, to;
      std::string body;
    };
    std::vector<Node> nodes(kSize);
    std::vector<Message> messages;
    std::minstd_rand random(*rc::gen::arbitrary<std::uint32_t>());
    Time now = kStart;
    for (int i = 0; i < kSize; ++i)
      nodes[static_cast<std::size_t>(i)].lending.emplace(Lending::Place{i, kSize}, kBound, 1, now);
    std::uint64_t life = 1;
    unsigned cut = 0;  // partition as a bit set of nodes
    Amount max_used = 0;
    for (int step = 0; step < 160; ++step) {
      now += static_cast<Time>(random() % 1000) * kMillisecond;
      if (random() % 16 == 0) cut = random() % 2 ? 0 : static_cast<unsigned>(random() % 32);
      Node& any = nodes[random() % kSize];
      if (random() % 12 == 0) any.want = static_cast<Amount>(random() % 3) * kBound / 4;
      if (random() % 50 == 0) {
        any.up = !any.up;
        if (any.up)
          any.lending.emplace(Lending::Place{static_cast<int>(&any - nodes.data()), kSize}, kBound, ++life,
                              now);
      }
      for (int i = 0; i < kSize; ++i) {
        Node& node = nodes[static_cast<std::size_t>(i)];
        std::erase_if(node.plans, [now](const auto& it) { return it.second <= now; });
        if (!node.up || random() % 8 == 0) continue;  // paused for a step
        const Amount allowed = node.lending->Allowed(now);
        Amount used = 0;
        for (const auto& [rate, until] : node.plans) used = std::max(used, rate);
        if (node.want > used && allowed > used) used = std::min(node.want, allowed);
        if (used <= allowed && node.want > 0)
          node.plans.emplace_back(std::min(used, node.want), node.lending->LeaseEnd(now));
        node.lending->SetDemand(used, std::max<Amount>(0, node.want - used), static_cast<double>(node.want),
                                now);
        for (auto& datagram : node.lending->MakeRequests(Tier(kSize, i, kSize), now))
          messages.push_back(
              {now + static_cast<Time>(random() % 3) * kSecond, i, datagram.peer, datagram.body});
      }
      std::vector<Message> due;
      std::erase_if(messages, [&](const Message& it) { return it.at <= now && (due.push_back(it), true); });
      for (const Message& message : due) {
        Node& to = nodes[static_cast<std::size_t>(message.to)];
        if (!to.up || ((cut >> message.from ^ cut >> message.to) & 1) != 0 || random() % 4 == 0) continue;
        if (random() % 6 == 0)
          messages.push_back(
              {now + static_cast<Time>(random() % 25) * kSecond, message.from, message.to, message.body});
        std::vector<PeerProtocol::Datagram> answers;
        RC_ASSERT(to.lending->HandleMessage(message.from, message.body, now, &answers));
        for (auto& datagram : answers)
          messages.push_back(
              {now + static_cast<Time>(random() % 2) * kSecond, message.to, datagram.peer, datagram.body});
      }
      Amount sum = 0;
      for (const Node& node : nodes) {
        Amount used = 0;
        for (const auto& [rate, until] : node.plans)
          if (now < until) used = std::max(used, rate);
        sum += used;
      }
      max_used = std::max(max_used, sum);
      RC_ASSERT(sum <= kBound);
    }
    RC_TAG(max_used > kBound / 2 ? "over half was used" : "less was used");
  });
}

// One dispatcher has all the jobs: it borrows, and the sum of commitments stays within the limit.
TEST(CheckpointBudget, BusyDispatcherBorrowsAndStaysWithinTheLimit) {
  Checkpoints::Settings settings{.saves_a_second = 2};
  std::vector<std::unique_ptr<Checkpoints>> tier;
  for (int i = 0; i < 4; ++i) {
    tier.push_back(std::make_unique<Checkpoints>(settings, Checkpoints::Place{i, 4, i % 2}, 1, 1, kStart));
    tier.back()->TierChanged(Tier(4, i, 4), kStart);
  }
  double max_used = 0;
  for (int second = 30; second < 120; ++second) {
    const Time now = kStart + second * kSecond;
    if (second == 40)
      for (std::uint64_t id = 1; id <= 200; ++id) tier[0]->Begin(id, {"t", "c", "r", 7200}, now);
    double sum = 0;
    for (const auto& it : tier) it->Retold(now), sum += it->Committed(now);
    EXPECT_LE(sum, 2);
    max_used = std::max(max_used, sum);
    for (int round = 0; round < 2; ++round)
      for (int i = 0; i < 4; ++i)
        for (const auto& datagram : tier[static_cast<std::size_t>(i)]->MakeDatagrams(now))
          for (int to = 0; to < 4; ++to)
            if (to != i && (datagram.peer == to || datagram.peer == PeerProtocol::kAll))
              tier[static_cast<std::size_t>(to)]->HandleMessage(i, datagram.body, now);
  }
  EXPECT_GT(max_used, 1) << "its own share is 0.5";
}

}  // namespace
}  // namespace lichenlug

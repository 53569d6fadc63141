// The laboratory's model: sharing, queues, cold starts, drains; and what a wrong day file is told.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <fstream>

#include "lab/config/day_file.h"
#include "lab/config/reader.h"
#include "lab/model/box.h"
#include "lab/model/workload.h"

namespace lichenlug::lab {
namespace {

RC_GTEST_PROP(FairShare, GivesEveryEntryItsAmountWhateverTheRates, ()) {
  // Rates change at random; what each entry got by its end is its amount.
  FairShare share;
  double rate = 1, given = 0;
  Time now = 0;
  share.SetRate(0, rate);
  std::map<std::uint64_t, double> due;  // by id: given + amount at the time of adding
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
  std::uint64_t id = 0;
  for (int step : steps) {
    const Time next = now + step;
    std::uint64_t ended = 0;
    while (share.NextEnd() <= next) {
      const Time at = share.NextEnd();
      given += rate * static_cast<double>(at - now), now = at;
      RC_ASSERT(share.TakeEnded(now, &ended));
      RC_ASSERT(std::abs(due.at(ended) - given) <= 2 * rate + 1e-6);
      due.erase(ended);
    }
    given += rate * static_cast<double>(next - now), now = next;
    rate = 0.25 * (1 + step % 7);
    share.SetRate(now, rate);
    share.Add(now, step, ++id);
    due[id] = given + step;
  }
  RC_ASSERT(share.size() == due.size());
}

struct OneBox {
  OneBox() {
    site.kinds = {kind};
    site.drain_returns = true;
    kind.cores = 2, kind.queue_per_core = 1, kind.cold_from = 0.5, kind.cold_for = 2 * kSecond;
    box = std::make_unique<Box>(site, kind, 0, 0, 0, 1.0);
    box->Start(0, true);
  }
  bool Offer(Time now, std::uint64_t id, double work = kSecond, double slots = 1) {
    return box->Offer(now, {id, slots, work, 0, 0, false}, &news);
  }
  void Until(Time end) {
    while (box->NextAt() <= end) box->Advance(box->NextAt(), &news);
  }
  std::vector<std::uint64_t> Of(BoxNews::Kind wanted) const {
    std::vector<std::uint64_t> ids;
    for (const BoxNews& n : news)
      if (n.kind == wanted) ids.push_back(n.id);
    return ids;
  }
  Site site;
  KindModel kind;
  std::unique_ptr<Box> box;
  std::vector<BoxNews> news;
};

using Ids = std::vector<std::uint64_t>;

TEST(Box, RunsWhatFitsQueuesSomeAndRefusesTheRest) {
  OneBox b;
  for (std::uint64_t id = 1; id <= 4; ++id) EXPECT_TRUE(b.Offer(0, id));
  EXPECT_FALSE(b.Offer(0, 5));
  EXPECT_EQ(b.Of(BoxNews::Kind::kStarted), (Ids{1, 2}));
  b.Until(kSecond + 1);
  EXPECT_EQ(b.Of(BoxNews::Kind::kStarted), (Ids{1, 2, 3, 4}));
  b.Until(2 * kSecond + 2);
  EXPECT_EQ(b.Of(BoxNews::Kind::kEnded).size(), 4u);
  EXPECT_EQ(b.box->FreeSlots(), 2);
}

TEST(Box, FifoHoldsTheHeadAndBackfillPassesIt) {
  for (QueueOrder order : {QueueOrder::kFifo, QueueOrder::kBackfill}) {
    OneBox b;
    b.kind.order = order;
    b.Offer(0, 1);
    b.Offer(0, 2, kSecond, 2);  // waits for both slots
    b.Offer(0, 3);
    const bool passed = b.Of(BoxNews::Kind::kStarted) == Ids{1, 3};
    EXPECT_EQ(passed, order == QueueOrder::kBackfill);
  }
}

TEST(Box, WarmsUpEvenlyAndRunsSlowerTillThen) {
  OneBox b;
  b.box->Start(kSecond, false);
  EXPECT_DOUBLE_EQ(b.box->Warmth(kSecond), 0.5);
  EXPECT_DOUBLE_EQ(b.box->Warmth(2 * kSecond), 0.75);
  EXPECT_DOUBLE_EQ(b.box->Warmth(3 * kSecond), 1);
  b.Offer(kSecond, 1, 0.625 * kSecond);  // what the first second is good for, from a half to three quarters
  b.Until(2 * kSecond - 60 * kMillisecond);
  EXPECT_TRUE(b.Of(BoxNews::Kind::kEnded).empty());
  b.Until(2 * kSecond + 60 * kMillisecond);
  EXPECT_EQ(b.Of(BoxNews::Kind::kEnded), Ids{1});
}

TEST(Box, DrainHandsBackWhatHasNotStartedAndStopBreaksWhatRuns) {
  OneBox b;
  for (std::uint64_t id = 1; id <= 3; ++id) b.Offer(0, id);
  b.box->Drain(1000, &b.news);
  EXPECT_EQ(b.Of(BoxNews::Kind::kReturned), Ids{3});
  EXPECT_FALSE(b.Offer(1000, 4));
  b.box->Stop(0.25 * kSecond, Box::Life::kDown, &b.news);
  EXPECT_EQ(b.Of(BoxNews::Kind::kBroken), (Ids{1, 2}));
  EXPECT_NEAR(b.news.back().left, 0.75 * kSecond, 10);
}

TEST(Box, AGreyBoxReportsThatItIsIdle) {
  OneBox b;
  Random noise(1, 1);
  b.site.reports.noise = 0;
  b.Offer(0, 1);
  b.Offer(0, 2);
  EXPECT_EQ(*b.box->Report(kSecond, &noise).free_slots, 0);
  b.box->masks_load = true;
  EXPECT_EQ(*b.box->Report(kSecond, &noise).free_slots, 2);
}

TEST(Workload, OffersTheLoadThatIsAskedFor) {
  Day day;
  day.site.kinds.resize(1);
  day.site.classes = {ClassModel{}};
  day.site.classes[0].name = "a", day.site.classes[0].slots = {0.5, 0.5};
  day.length = 200 * kSecond, day.load = 0.5;
  Workload work(day, 40, 7);
  JobSpec job;
  double sum = 0;
  while (work.Next(&job)) sum += job.work * job.slots;
  EXPECT_NEAR(sum / static_cast<double>(day.length) / 40, 0.5, 0.03);
}

std::string FaultsOf(const std::string& text) {
  const std::string path = testing::TempDir() + "day_under_test.toml";
  std::ofstream(path) << text;
  try {
    ReadDay(path);
  } catch (const ConfigError& e) {
    std::string said = e.what();
    for (std::size_t at; (at = said.find(path)) != std::string::npos;) said.replace(at, path.size(), "F");
    return said;
  }
  return "";
}

TEST(DayFile, TellsEveryFaultAtOnceByLineAndKey) {
  EXPECT_EQ(
      FaultsOf("length = 40\nlaod = 0.5\n[[kind]]\ncores = 2.5\n[[class]]\nname = \"a\"\naim = \"3 weeks\"\n"
               "[[fault]]\nwhat = \"vanished\"\nzone = \"moon\"\n"),
      "F:1: length: a span such as \"300ms\", \"2.5s\" or \"1min\" expected, found 40\n"
      "F:4: kind[0].cores: a whole number from 1 to 1024 expected, found 2.5\n"
      "F:7: class[0].aim: a span such as \"300ms\", \"2.5s\" or \"1min\" expected, found '3 weeks'\n"
      "F:9: fault[0].what: one of vanish, kill, slow, grey, fail, lie, shrink, replace, roll, partition, "
      "one-way, discovery-down, discovery-half, store, surge, retry-storm, hot-key, heavy-tail, clock-jump "
      "expected, found 'vanished'\n"
      "F:10: fault[0].zone: a zone of the site expected, found \"moon\"\n"
      "F:2: laod: no such key; is load meant?");
  EXPECT_EQ(FaultsOf("length = \n").substr(0, 4), "F:1:");
  EXPECT_NE(FaultsOf("load = 1\n").find("at least one [[class]]"), std::string::npos);
}

TEST(Span, ReadsUnitsAndNothingElse) {
  EXPECT_EQ(ParseSpan("1.5s"), 1'500'000);
  EXPECT_EQ(ParseSpan("2min"), 120'000'000);
  for (const char* bad : {"", "5", "s", "-1s", "1 s", "1e30s", "nans"})
    EXPECT_THROW(ParseSpan(bad), std::invalid_argument) << bad;
}

}  // namespace
}  // namespace lichenlug::lab

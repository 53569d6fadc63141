// Which keep-alive connections are reliable enough for a job, in simulated time.
#include "branch/kept_links.h"

#include <gtest/gtest.h>

namespace lichenlug {
namespace {

constexpr Time kYoung = 10 * kMillisecond, kOld = 300 * kMillisecond;

void Note(KeptLinks* links, Time age, int uses, int broke, Time now) {
  for (int i = 0; i < uses; ++i) links->Note(age, i < broke, now);
}

TEST(KeptLinks, AllAreFitUntilSomeBreak) {
  KeptLinks links;
  EXPECT_FALSE(links.Unfit(kOld, kSecond));
  Note(&links, kOld, 100, 3, kSecond);  // a few failures
  EXPECT_FALSE(links.Unfit(kOld, kSecond));
}

TEST(KeptLinks, OnlyTheAgesThatBreakArePassedOver) {
  KeptLinks links;
  Note(&links, kOld, 6, 3, kSecond);
  Note(&links, kYoung, 50, 2, kSecond);
  EXPECT_TRUE(links.Unfit(kOld, kSecond));
  EXPECT_FALSE(links.Unfit(kYoung, kSecond));
}

TEST(KeptLinks, OneThatBreaksAloneProvesNothing) {
  KeptLinks links;
  Note(&links, kOld, 1, 1, kSecond);
  EXPECT_FALSE(links.Unfit(kOld, kSecond));
}

TEST(KeptLinks, WhereNewOnesBreakAsOftenNothingIsGainedByThem) {
  KeptLinks links;
  Note(&links, kOld, 40, 16, kSecond);
  ASSERT_TRUE(links.Unfit(kOld, kSecond));
  Note(&links, KeptLinks::kNew, 40, 16, kSecond);
  EXPECT_FALSE(links.Unfit(kOld, kSecond));
}

TEST(KeptLinks, ProbesThatGetThroughAndTimeEndIt) {
  KeptLinks probed, waited;
  for (KeptLinks* links : {&probed, &waited}) Note(links, kOld, 10, 6, kSecond);
  ASSERT_TRUE(probed.Unfit(kOld, kSecond));
  Note(&probed, kOld, 60, 0, kSecond);
  EXPECT_FALSE(probed.Unfit(kOld, kSecond));
  EXPECT_FALSE(waited.Unfit(kOld, 30 * kSecond));
}

TEST(KeptLinks, AnyAgeHasItsPlace) {
  KeptLinks links;
  for (const Time age : {Time{0}, kMillisecond, kSecond, 20 * kSecond, 100000 * kSecond}) {
    Note(&links, age, 10, 9, kSecond);
    EXPECT_TRUE(links.Unfit(age, kSecond)) << age;
  }
  EXPECT_FALSE(links.Unfit(KeptLinks::kNew, kSecond));
}

}  // namespace
}  // namespace lichenlug

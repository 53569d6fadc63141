// Which keep-alive connections are reliable enough for a job, in simulated time.
#include "branch/link_reliability.h"

#include <gtest/gtest.h>

namespace lichenlug {
namespace {

constexpr Time kYoung = 10 * kMillisecond, kOld = 300 * kMillisecond;

void Record(LinkReliability* links, Time age, int uses, int failures, Time now) {
  for (int i = 0; i < uses; ++i) links->Record(age, i < failures, now);
}

TEST(LinkReliability, ReliableUntilFailuresAreFrequent) {
  LinkReliability links;
  EXPECT_FALSE(links.Unreliable(kOld, kSecond));
  Record(&links, kOld, 100, 3, kSecond);  // a few failures
  EXPECT_FALSE(links.Unreliable(kOld, kSecond));
}

TEST(LinkReliability, OnlyAgesThatFailAreUnreliable) {
  LinkReliability links;
  Record(&links, kOld, 6, 3, kSecond);
  Record(&links, kYoung, 50, 2, kSecond);
  EXPECT_TRUE(links.Unreliable(kOld, kSecond));
  EXPECT_FALSE(links.Unreliable(kYoung, kSecond));
}

TEST(LinkReliability, SingleFailureIsTolerated) {
  LinkReliability links;
  Record(&links, kOld, 1, 1, kSecond);
  EXPECT_FALSE(links.Unreliable(kOld, kSecond));
}

TEST(LinkReliability, ReliableIfNewConnectionsFailAsOften) {
  LinkReliability links;
  Record(&links, kOld, 40, 16, kSecond);
  ASSERT_TRUE(links.Unreliable(kOld, kSecond));
  Record(&links, LinkReliability::kNeverUsed, 40, 16, kSecond);
  EXPECT_FALSE(links.Unreliable(kOld, kSecond));
}

TEST(LinkReliability, RecoversBySuccessfulProbesAndByTime) {
  LinkReliability probed, waited;
  for (LinkReliability* links : {&probed, &waited}) Record(links, kOld, 10, 6, kSecond);
  ASSERT_TRUE(probed.Unreliable(kOld, kSecond));
  Record(&probed, kOld, 60, 0, kSecond);
  EXPECT_FALSE(probed.Unreliable(kOld, kSecond));
  EXPECT_FALSE(waited.Unreliable(kOld, 30 * kSecond));
}

TEST(LinkReliability, EveryAgeHasABucket) {
  LinkReliability links;
  for (const Time age : {Time{0}, kMillisecond, kSecond, 20 * kSecond, 100000 * kSecond}) {
    Record(&links, age, 10, 9, kSecond);
    EXPECT_TRUE(links.Unreliable(age, kSecond)) << age;
  }
  EXPECT_FALSE(links.Unreliable(LinkReliability::kNeverUsed, kSecond));
}

}  // namespace
}  // namespace lichenlug

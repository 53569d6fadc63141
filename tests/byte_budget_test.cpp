// Which holders a budget evicts, and for whom.
#include "base/byte_budget.h"

#include <gtest/gtest.h>

#include <memory>

namespace lichenlug {
namespace {

constexpr std::size_t kKiB = 1024, kMiB = 1024 * kKiB;

// A holder that releases its bytes when it is evicted.
class Holder {
 public:
  explicit Holder(ByteBudget* budget) : account_(budget, [this] { evicted_ = true; }) {}

  void Has(std::size_t bytes, Time now, bool evictable = true) { account_.Set(bytes, evictable, now); }
  bool evicted() const { return evicted_; }
  const ByteAccount& account() const { return account_; }

 private:
  bool evicted_ = false;
  ByteAccount account_;
};

TEST(ByteBudget, EvictsTheHolderThatHasHadMostForLongest) {
  ByteBudget budget(8 * kMiB);
  Holder large(&budget), old(&budget), fresh(&budget);
  large.Has(3 * kMiB, 0);
  old.Has(2 * kMiB, 0);
  fresh.Has(3 * kMiB, 10 * kSecond);
  EXPECT_TRUE(large.evicted());
  EXPECT_FALSE(old.evicted());
  EXPECT_FALSE(fresh.evicted());
  EXPECT_EQ(budget.used(), 5 * kMiB);
}

TEST(ByteBudget, AFewBytesAreNoProgress) {
  ByteBudget budget(8 * kMiB);
  Holder trickling(&budget), progressing(&budget), fresh(&budget);
  trickling.Has(2 * kMiB, 0);
  progressing.Has(2 * kMiB, 0);
  for (int second = 1; second <= 10; ++second) {
    trickling.Has(2 * kMiB + second, second * kSecond);
    progressing.Has(2 * kMiB + second * 32 * kKiB, second * kSecond);
  }
  fresh.Has(4 * kMiB, 10 * kSecond);
  EXPECT_TRUE(trickling.evicted());
  EXPECT_FALSE(progressing.evicted());
}

TEST(ByteBudget, ReleasingBytesIsProgress) {
  ByteBudget budget(8 * kMiB);
  Holder reading(&budget), unread(&budget), fresh(&budget);
  unread.Has(2 * kMiB, 0);
  reading.Has(3 * kMiB, 0);
  reading.Has(3 * kMiB - 1, 9 * kSecond);
  fresh.Has(3 * kMiB, 10 * kSecond);
  EXPECT_TRUE(unread.evicted());
  EXPECT_FALSE(reading.evicted());
}

TEST(ByteBudget, NeverEvictsAHolderThatMustKeepItsBytes) {
  ByteBudget budget(8 * kMiB);
  Holder kept(&budget), fresh(&budget);
  kept.Has(6 * kMiB, 0, /*evictable=*/false);
  fresh.Has(2 * kMiB, 10 * kSecond);
  EXPECT_FALSE(kept.evicted());
  EXPECT_TRUE(fresh.evicted());
}

TEST(ByteBudget, LargeHoldersLeaveAPartToSmallOnes) {
  ByteBudget budget(8 * kMiB);
  Holder kept(&budget), small(&budget);
  kept.Has(7 * kMiB, 0, /*evictable=*/false);
  EXPECT_FALSE(budget.HasRoom(kMiB));
  EXPECT_TRUE(budget.HasRoom(64 * kKiB));
  small.Has(64 * kKiB, kSecond);
  EXPECT_FALSE(small.evicted());
}

TEST(ByteBudget, RoomIsMadeByThoseThatHaveStalledForAWhile) {
  ByteBudget budget(8 * kMiB);
  Holder holder(&budget);
  holder.Has(6 * kMiB, 0);
  EXPECT_FALSE(budget.MakeRoom(4 * kMiB, kMillisecond));
  EXPECT_FALSE(holder.evicted());
  EXPECT_TRUE(budget.MakeRoom(4 * kMiB, 2 * kSecond));
  EXPECT_TRUE(holder.evicted());
}

TEST(ByteBudget, AHolderThatGoesReleasesItsBytes) {
  ByteBudget budget(8 * kMiB);
  auto holder = std::make_unique<Holder>(&budget);
  holder->Has(6 * kMiB, 0);
  EXPECT_FALSE(budget.HasDrained());
  holder.reset();
  EXPECT_EQ(budget.used(), 0u);
  EXPECT_TRUE(budget.HasDrained());
  EXPECT_FALSE(budget.HasDrained());
}

TEST(ByteBudget, AHolderHasStalledSinceItMayBeEvicted) {
  ByteBudget budget(8 * kMiB);
  Holder holder(&budget);
  holder.Has(kKiB, 0, /*evictable=*/false);
  EXPECT_FALSE(holder.account().stalled_since());
  holder.Has(kKiB, 5 * kSecond);
  EXPECT_EQ(holder.account().stalled_since(), 5 * kSecond);
}

}  // namespace
}  // namespace lichenlug

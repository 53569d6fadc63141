// Three dispatchers' sides of their talk, on real datagrams over loopback, with membership on.
#include "peers/peers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace lichenlug {
namespace {

struct Deaf : HoldingsHeard {
  void Held(const std::string&, int) override {}
  void Failing(const std::string&, int) override {}
};

class Tier : public ::testing::Test {
 protected:
  static constexpr int kSize = 3;

  struct One {  // a dispatcher of its own; one whose loop is not turned is paused
    asio::io_context io;
    Clock clock;
    Deadlines deadlines{io, clock};
    Deaf deaf;
    TierView view;
    std::string lines;
    std::unique_ptr<Peers> peers;
    bool turns = true;
  };

  Tier() {
    PeerSettings settings;
    {
      std::vector<asio::ip::udp::socket> taken;
      for (One& one : all_) {
        taken.emplace_back(one.io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
        settings.peers.push_back(taken.back().local_endpoint());
      }
    }
    settings.membership = true;
    for (int i = 0; i < kSize; ++i) {
      One& one = all_[i];
      settings.listen = settings.peers[i], settings.own_number = i, settings.own_zone = i % 2;
      one.peers = std::make_unique<Peers>(
          one.io, settings, kNoZone, 1, 7 + i, &one.deadlines, &one.deaf,
          [&one](const TierView& view) { one.view = view; },
          [&one](const std::string& line) { one.lines += line + "\n"; });
      one.peers->Start();
    }
  }

  // Turns the loops until it is so; false after 20 s.
  template <typename So>
  bool Until(So so) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!so() && std::chrono::steady_clock::now() < end)
      for (One& one : all_)
        if (one.turns) one.io.run_for(std::chrono::milliseconds(1));
    return so();
  }

  bool AllPresent() const {
    return std::ranges::all_of(all_, [](const One& one) { return one.view.present() == kSize; });
  }
  bool BothSee(Standing standing) const {  // of the third
    return all_[0].view.members.at(2).standing == standing && all_[1].view.members.at(2).standing == standing;
  }

  One all_[kSize];
};

TEST_F(Tier, AFarewellIsNoSuspicion) {
  ASSERT_TRUE(Until([&] { return AllPresent(); }));
  bool suspected = false;
  all_[2].peers->Leave();
  ASSERT_TRUE(Until([&] {
    suspected = suspected || BothSee(Standing::kSuspected) || BothSee(Standing::kDead);
    return BothSee(Standing::kLeft);
  }));
  EXPECT_FALSE(suspected);
  EXPECT_TRUE(all_[0].view.whole()) << "one that left is no loss";
  EXPECT_TRUE(Until([&] { return all_[0].lines.find("2 of 3 dispatchers: 2 left") != std::string::npos; }))
      << all_[0].lines;
}

TEST_F(Tier, OneThatSleepsIsMissedAndIsBackWhenItWakes) {
  ASSERT_TRUE(Until([&] { return AllPresent(); }));
  all_[2].turns = false;
  ASSERT_TRUE(Until([&] { return BothSee(Standing::kDead); }));
  EXPECT_EQ(all_[0].view.present(), 2);
  all_[2].turns = true;
  EXPECT_TRUE(Until([&] { return AllPresent(); })) << all_[0].lines << all_[2].lines;
}

}  // namespace
}  // namespace lichenlug

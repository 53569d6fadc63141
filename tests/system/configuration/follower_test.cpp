#include <catch2/catch.hpp>

#include "configuration/peers.h"
#include "follower_world.h"

namespace lichenlug::configuration {
namespace {

constexpr Time kBound = 1500 * kMillisecond;  // below the 2 s that a version has to be in force

Json LargeConfiguration(std::int64_t edition, int routes) {
  Json json = SampleConfiguration(edition);
  for (int i = 0; i < routes; ++i) {
    const std::string name = "more-" + std::to_string(i);
    json["routes"].push_back(SampleRoute(name, "/" + name + "/"));
  }
  return json;
}

void CheckNoViolation(const FollowerWorld& world) {
  CHECK(world.went_back == "");
  CHECK(world.differed == "");
}

TEST_CASE("A version goes to one dispatcher a zone, which relays it") {
  FollowerWorld world(100, 4, 1);
  world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
  CHECK(world.pushes == 24 + 3);  // its own zone, and a relay for each other
  CHECK(world.RunUntilAllCurrent(kBound) <= 5 * kMillisecond);
  CHECK(world.pushes == 24 + 3 + 3 * 24);
  CheckNoViolation(world);
  const Follower& last = world.follower(99);
  REQUIRE(last.Current() != nullptr);
  CHECK(last.Current()->edition == 1);
  CHECK(last.Current()->json == SampleConfiguration(1).dump());
  CHECK(last.Current()->configuration->routes_size() == 2);
}

TEST_CASE("After all have a version, nothing is sent but polls") {
  FollowerWorld world(20, 4, 2);
  world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
  world.Run(kSecond);
  const std::size_t pushes = world.pushes, bytes = world.bytes;
  world.Run(10 * kSecond);
  CHECK(world.pushes == pushes);
  CHECK(world.bytes - bytes <= 20 * 26 * 10);
}

TEST_CASE("A version learned without a push spreads by polls alone") {
  FollowerWorld world(10, 3, 3);
  world.Learn(7, world.MakeVersion(SampleConfiguration(1)), false);
  CHECK(world.pushes == 0);
  CHECK(world.RunUntilAllCurrent(10 * kSecond) < 4 * kSecond);
  CheckNoViolation(world);
}

TEST_CASE("Every dispatcher gets the newest version on a bad network, and none goes back") {
  const auto count = GENERATE(std::size_t{10}, std::size_t{100});
  const auto seed = GENERATE(range<std::uint64_t>(1, 41));
  FollowerWorld world(count, 4, seed);
  world.faults = {0.1, 0.1, 0.05, kMillisecond, 60 * kMillisecond};
  std::mt19937_64 random(seed);
  for (int edition = 1; edition <= 5; ++edition) {
    Json configuration = LargeConfiguration(edition, 20);
    configuration["routes"][static_cast<std::size_t>(edition)]["tries"] = 100 + edition;
    world.Learn(random() % count, world.MakeVersion(configuration), true);
    world.Run(static_cast<Time>(random() % 300) * kMillisecond);
  }
  INFO("seed " << seed << ", " << count << " dispatchers");
  CHECK(world.RunUntilAllCurrent(10 * kSecond) < kBound);
  CheckNoViolation(world);
}

TEST_CASE("Each single kind of fault is survived") {
  struct Case {
    const char* name;
    NetworkFaults faults;
    Time bound;
  };
  const Case cases[] = {{"lost", {0.3, 0, 0, kMillisecond, 0}, 3 * kSecond},
                        {"doubled", {0, 1, 0, kMillisecond, 0}, kBound},
                        {"damaged", {0, 0, 0.3, kMillisecond, 0}, 3 * kSecond},
                        {"half damaged", {0, 0, 0.5, kMillisecond, 0}, 6 * kSecond},
                        {"reordered", {0, 0, 0, kMillisecond, 400 * kMillisecond}, kBound}};
  for (const Case& one : cases) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FollowerWorld world(10, 3, seed);
      world.faults = one.faults;
      for (int edition = 1; edition <= 3; ++edition) {
        world.Learn(seed % 10, world.MakeVersion(SampleConfiguration(edition)), true);
      }
      INFO(one.name << ", seed " << seed);
      CHECK(world.RunUntilAllCurrent(10 * kSecond) < one.bound);
      CheckNoViolation(world);
    }
  }
}

TEST_CASE("Two milliseconds in which all is damaged delay nothing beyond the bound") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    FollowerWorld world(10, 3, seed);
    world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
    world.Run(static_cast<Time>(seed % 4) * kMillisecond);
    world.faults.damaged = 1;
    world.Run(2 * kMillisecond);
    world.faults.damaged = 0;
    world.Learn(seed % 10, world.MakeVersion(SampleConfiguration(2)), true);
    INFO(seed);
    CHECK(world.RunUntilAllCurrent(10 * kSecond) < kBound);
    CheckNoViolation(world);
  }
}

// Of every message of a distribution, one after the other is spoiled in one way while all others arrive.
TEST_CASE("One message that is lost, doubled, late or damaged delays nothing beyond the bound") {
  const auto run = [](Spoil spoil, std::size_t number) {
    FollowerWorld world(10, 3, 11);
    world.spoil = spoil;
    world.spoiled_message = number;
    world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
    world.Run(2 * kMillisecond);
    world.Learn(4, world.MakeVersion(SampleConfiguration(2)), true);
    INFO("message " << number);
    CHECK(world.RunUntilAllCurrent(10 * kSecond) < kBound);
    CheckNoViolation(world);
    return world.messages;
  };
  const std::size_t messages = run(Spoil::kLose, 0);
  REQUIRE(messages > 20);
  for (const Spoil spoil : {Spoil::kLose, Spoil::kDouble, Spoil::kDelay, Spoil::kDamage}) {
    for (std::size_t number = 1; number <= messages; ++number) run(spoil, number);
  }
}

constexpr double kFastLink = 12.5, kSlowLink = 1.25;  // bytes a microsecond: 100 and 10 Mbit/s

// Each change is taken where the one before it has not come into force yet.
TEST_CASE("Changes in quick succession are in force in time at 300 dispatchers on slow links") {
  constexpr std::size_t kDispatchers = 300, kZones = 5, kFast = 5, kRoutes = 250;
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  const auto longest_pause = GENERATE(Time{5}, Time{200}, Time{900}) * kMillisecond;
  FollowerWorld world(kDispatchers, kZones, seed);
  for (std::size_t i = 0; i < kDispatchers; ++i) world.SetLink(i, i < kFast ? kFastLink : kSlowLink);
  std::mt19937_64 random(seed);
  Json configuration = LargeConfiguration(1, kRoutes);
  world.Learn(0, world.MakeVersion(configuration), true);
  world.Run(20 * kSecond);
  for (int edition = 2; edition <= 7; ++edition) {
    configuration["edition"] = edition;
    configuration["routes"][static_cast<std::size_t>(edition)]["tries"] = 100 + edition;
    world.Learn(random() % kDispatchers, world.MakeVersion(configuration), true);
    if (edition < 7) world.Run(static_cast<Time>(random() % longest_pause));
  }
  INFO("seed " << seed << ", pauses of up to " << longest_pause / kMillisecond << " ms");
  CHECK(world.RunUntilAllCurrent(60 * kSecond) < kBound);
  CheckNoViolation(world);
}

// Nothing of the version before is of use, so it goes whole to all.
TEST_CASE("A configuration that is new in all parts is in force in time at 300 dispatchers on slow links") {
  constexpr std::size_t kDispatchers = 300, kZones = 5, kRoutes = 250;
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  FollowerWorld world(kDispatchers, kZones, seed);
  for (std::size_t i = 0; i < kDispatchers; ++i) world.SetLink(i, kSlowLink);
  world.Learn(seed % kDispatchers, world.MakeVersion(LargeConfiguration(1, kRoutes)), true);
  INFO("seed " << seed);
  CHECK(world.RunUntilAllCurrent(60 * kSecond) < kBound);
  CheckNoViolation(world);
}

TEST_CASE("Who relays to others is replaced by the next of them if it is dead") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FollowerWorld world(60, 1, seed);
    for (std::size_t i = 0; i < world.size(); ++i) world.SetLink(i, kSlowLink);
    for (std::size_t i = 0; i < 6; ++i) world.Kill(10 + (seed * 7 + i * 9) % 50);
    world.Learn(0, world.MakeVersion(LargeConfiguration(1, 250)), true);
    INFO(seed);
    CHECK(world.RunUntilAllCurrent(10 * kSecond) < kBound);
    CheckNoViolation(world);
  }
}

TEST_CASE("A dead relay is replaced by the next one") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FollowerWorld world(30, 3, seed);
    Peers peers(seed);
    std::vector<Member> members;
    for (std::size_t i = 1; i < world.size(); ++i) members.push_back(world.member(i));
    peers.Set(members);
    const std::string relay = peers.Relay("zone-1", 1, 0);
    CHECK(peers.Relay("zone-1", 1, 1) != relay);
    world.Kill(world.Find(relay));
    world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
    INFO(seed);
    CHECK(world.RunUntilAllCurrent(10 * kSecond) < 200 * kMillisecond);
    CheckNoViolation(world);
  }
}

TEST_CASE("A push to a dead dispatcher is repeated a few times and then given up") {
  FollowerWorld world(2, 1, 5);
  world.Kill(1);
  world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
  world.Run(10 * kSecond);
  CHECK(world.pushes == 5);
}

TEST_CASE("A dispatcher that dies amid its pushes leaves the rest to polls") {
  int seeds_with_a_push = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FollowerWorld world(20, 4, seed);
    world.faults.lost = 0.6;
    world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
    world.Run(2 * kMillisecond);
    world.faults.lost = 0;
    world.Kill(0);
    bool arrived = false;
    for (std::size_t i = 1; i < world.size(); ++i) arrived |= world.follower(i).Current() != nullptr;
    if (!arrived) continue;  // then no other knows of it, and it comes from the register
    ++seeds_with_a_push;
    INFO(seed);
    CHECK(world.RunUntilAllCurrent(10 * kSecond) < kBound);
    CheckNoViolation(world);
  }
  CHECK(seeds_with_a_push >= 30);
}

TEST_CASE("A restarted dispatcher catches up within the bound") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FollowerWorld world(10, 3, seed);
    world.Learn(0, world.MakeVersion(SampleConfiguration(1)), true);
    world.Learn(0, world.MakeVersion(SampleConfiguration(2)), true);
    world.Run(kSecond);
    world.Restart(4);
    CHECK(world.RunUntilAllCurrent(10 * kSecond) < 450 * kMillisecond);
    CheckNoViolation(world);
  }
}

TEST_CASE("A small change of a large configuration is pushed as a difference") {
  FollowerWorld world(10, 3, 6);
  world.Learn(0, world.MakeVersion(LargeConfiguration(1, 1000)), true);
  world.Run(20 * kSecond);
  REQUIRE(world.RunUntilAllCurrent(kSecond) < kSecond);
  Json changed = LargeConfiguration(2, 1000);
  changed["routes"].erase(700);
  changed["routes"][500]["deadline_ms"] = 17;
  changed["routes"].push_back(SampleRoute("fresh", "/fresh/"));
  const std::size_t before = world.bytes;
  world.Learn(0, world.MakeVersion(changed), true);
  CHECK(world.RunUntilAllCurrent(kBound) < 5 * kMillisecond);
  CHECK(world.bytes - before < 20'000);
  CheckNoViolation(world);
  CHECK(world.follower(9).Current()->json == changed.dump());
}

TEST_CASE("Who lacks the base of a difference gets the whole") {
  FollowerWorld world(2, 1, 7);
  world.Learn(0, world.MakeVersion(LargeConfiguration(1, 100)), false);
  world.Learn(0, world.MakeVersion(LargeConfiguration(2, 101)), true);
  CHECK(world.RunUntilAllCurrent(kBound) < 10 * kMillisecond);
  CHECK(world.follower(1).statistics().no_base == 1);
  CheckNoViolation(world);
}

TEST_CASE("A push that is older, damaged or unreadable is ignored and counted") {
  FollowerSettings settings;
  settings.self_name = "self";
  settings.zone = "zone";
  Follower follower(settings);
  FollowerWorld world(1, 1, 8);
  const auto first = world.MakeVersion(SampleConfiguration(1));
  const auto second = world.MakeVersion(SampleConfiguration(2));
  FollowerOutput output;
  follower.Learn(world.now, second, false, &output);
  CHECK(output.installed);
  output = {};
  follower.Learn(world.now, first, false, &output);
  CHECK_FALSE(output.installed);

  messages::DistributionMessage push;
  push.mutable_push()->set_revision(1);
  push.mutable_push()->set_edition(1);
  push.mutable_push()->set_json(first.json());
  follower.Receive(world.now, "peer", push, &output);
  CHECK(follower.statistics().stale == 1);
  REQUIRE(output.sends.size() == 1);
  CHECK(output.sends[0].message.ack().revision() == 2);  // so the other asks for the newer one
  push.mutable_push()->set_revision(9);                  // its digest is of something else
  output = {};
  follower.Receive(world.now, "peer", push, &output);
  CHECK(follower.statistics().damaged == 1);
  CHECK(output.sends.empty());
  CHECK(follower.Current()->revision == 2);
  follower.Receive(world.now, "peer", messages::DistributionMessage(), &output);
  CHECK(output.sends.empty());
}

TEST_CASE("A state that can't be served is not installed") {
  Follower follower(FollowerSettings{"self", "zone"});
  messages::ConfigurationState state;
  state.set_revision(1);
  state.set_edition(1);
  state.set_json("{}");
  FollowerOutput output;
  follower.Learn(0, state, true, &output);
  CHECK_FALSE(output.installed);
  CHECK(follower.Current() == nullptr);
  follower.Learn(0, messages::ConfigurationState(), true, &output);
  CHECK(output.sends.empty());
}

}  // namespace
}  // namespace lichenlug::configuration

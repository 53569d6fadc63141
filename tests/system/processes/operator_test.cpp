// The operator's calls and the settings file.
#include <algorithm>
#include <array>

#include "world.h"

namespace lichenlug::standins::test {
namespace {

constexpr int kTaken = 200, kInvalid = 400, kConflict = 412, kUnavailable = 503;
constexpr Time kRepeatPause = 100 * kMillisecond;

struct BadConfiguration {
  const char* fault;
  const char* key;  // that the refusal names
  std::string body;
};

Json Changed(const char* pointer, const Json& value) {
  Json configuration = sample::Configuration(2);
  configuration[Json::json_pointer(pointer)] = value;
  return configuration;
}

std::vector<BadConfiguration> BadConfigurations() {
  const std::string whole = sample::Configuration(2).dump();
  return {
      {"cut off", "JSON", whole.substr(0, whole.size() / 2)},
      {"unknown service", "line", Changed("/routes/0/line", "nowhere").dump()},
      {"same host and prefix", "lane_prefix", Changed("/routes/1/lane_prefix", sample::kPlainPath).dump()},
      {"weights that add up to 0", "apportion",
       Changed("/routes/0/apportion", Json::array({{{"line", sample::kService}, {"share", 0}}})).dump()},
      {"a deadline of 0", "deadline_ms", Changed("/routes/0/deadline_ms", 0).dump()},
      {"an edition that is not above the one in place", "edition", sample::Configuration(1).dump() + " "},
      {"a key of two tenants", "stamps", Changed("/senders/1/stamps/0", sample::kKey).dump()}};
}

TEST_CASE("bad configurations are each refused with one line that names the key", "[bad-configurations]") {
  World world(3, 0, 1);
  REQUIRE(world.Found());
  System& system = world.system();
  for (const BadConfiguration& bad : BadConfigurations()) {
    INFO(bad.fault);
    const HttpMessage answer = system.the_operator().Send({Change::Method::kPut, 1, bad.body}, kPatience);
    CHECK(answer.status == kInvalid);
    const Json body = Json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    const auto line = body.value("error", std::string());
    INFO(line);
    CHECK(line.find(bad.key) != std::string::npos);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find(sample::kKey) == std::string::npos);  // a client's key is not shown
  }
  CHECK(world.EditionReadBack() == 1);
  CHECK(world.AllRunning());
}

TEST_CASE("a change without If-Match is refused", "[bad-configurations]") {
  World world(1, 0, 1);  // of one machine alone
  REQUIRE(world.Found());
  HttpCall call;
  call.method = "PUT";
  call.path = wire::kConfigurationPath;
  call.body = sample::Configuration(2).dump();
  const HttpMessage answer =
      CallAndWait(&world.system().loop(), world.system().dispatcher(0).control_address(), call);
  CHECK(answer.status == kInvalid);
  CHECK(world.EditionReadBack() == 1);
}

// The answer of that dispatcher alone. 503 (no majority of disks was done in time) says that the same call
// may be sent again, and no answer (0) means so too: it is sent until the answer is another one.
HttpMessage AnswerOf(World* world, std::size_t dispatcher, const Change& change) {
  System& system = world->system();
  HttpMessage answer;
  const auto is_clear = [&] {
    answer = system.the_operator().SendTo(system.dispatcher(dispatcher).control_address(), change);
    if (answer.status == kUnavailable) CHECK(answer.Header("retry-after") != nullptr);
    return answer.status != 0 && answer.status != kUnavailable;
  };
  const Time give_up_at = system.loop().Now() + kPatience;
  while (!is_clear() && system.loop().Now() < give_up_at) system.loop().RunFor(kRepeatPause);
  return answer;
}

TEST_CASE("a change that was taken is acknowledged again by each dispatcher", "[repeated-change]") {
  World world;
  REQUIRE(world.Found());
  System& system = world.system();
  const Change put = world.Put(1, sample::Configuration(2));
  const Change patch = world.Patch(2, 5, "added");
  for (const Change& change : {put, patch}) {
    for (std::size_t index = 0; index < system.dispatcher_count(); ++index) {
      INFO("dispatcher " << index << ", builds on " << change.if_match);
      CHECK(AnswerOf(&world, index, change).status == kTaken);
    }
  }
  // Even when others came after it.
  CHECK(AnswerOf(&world, 2, put).status == kTaken);
  CHECK(world.EditionReadBack() == 5);
  CHECK(system.WaitEdition(5, kPatience));
  // Each was taken once: the first configuration, the PUT and the PATCH.
  for (std::size_t index = 0; index < system.dispatcher_count(); ++index) {
    INFO("dispatcher " << index);
    CHECK(system.Status(index).value("revision", 0) == 3);
  }
}

// Sends both at the same time, each to a dispatcher of its own. One with no clear answer is sent again, as
// the operator does.
std::array<int, 2> Race(World* world, const std::array<Change, 2>& changes) {
  System& system = world->system();
  std::array<int, 2> statuses{-1, -1};
  for (std::size_t side = 0; side < changes.size(); ++side) {
    system.the_operator().SendTo(system.dispatcher(side).control_address(), changes[side],
                                 [&, side](const HttpMessage& answer) { statuses[side] = answer.status; });
  }
  REQUIRE(world->RunUntil([&] { return statuses[0] >= 0 && statuses[1] >= 0; }));
  for (std::size_t side = 0; side < changes.size(); ++side) {
    const bool unclear = statuses[side] == 0 || statuses[side] >= 500;
    if (unclear) statuses[side] = system.the_operator().Send(changes[side], kPatience).status;
  }
  return statuses;
}

TEST_CASE("of two changes on top of the same edition one is taken and one gets 412", "[race]") {
  World world;
  REQUIRE(world.Found());
  constexpr int kRaces = 5;
  for (int race = 0; race < kRaces; ++race) {
    const std::int64_t edition = 2 + race;
    const std::array<Change, 2> changes{world.Patch(edition - 1, edition, "left-" + std::to_string(race)),
                                        world.Patch(edition - 1, edition, "right-" + std::to_string(race))};
    std::array<int, 2> statuses = Race(&world, changes);
    const char* winner = statuses[0] == kTaken ? "left-" : "right-";
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses[0] == kTaken);
    CHECK(statuses[1] == kConflict);
    const Json read = world.system().the_operator().Read(kPatience);
    CHECK(read.at(wire::kEdition) == edition);
    CHECK(read.at("routes").back().at(wire::kName) == winner + std::to_string(race));
  }
  world.CheckNoRuleBroken();
}

TEST_CASE("SIGHUP with a bad settings file changes nothing", "[reload]") {
  World world(3, 0, 2);
  REQUIRE(world.Found());
  System& system = world.system();
  Dispatcher& dispatcher = system.dispatcher(0);
  Json no_seeds = Json::parse(dispatcher.SettingsText(false));
  no_seeds["seed_stations"] = 7;
  constexpr char kKept[] = "settings kept: ";
  dispatcher.Reload("{\"station\": ");
  REQUIRE(world.RunUntil([&] {
    return dispatcher.LogHolds(std::string(kKept) + dispatcher.settings_path().string() +
                               ": the file is not JSON");
  }));
  dispatcher.Reload(no_seeds.dump());
  REQUIRE(world.RunUntil(
      [&] { return dispatcher.LogHolds(dispatcher.settings_path().string() + ": seed_stations"); }));
  CHECK(world.AllRunning());
  world.CheckServedEverywhere();
  CHECK(system.Status(0).at("members").size() == 3);

  Json other_seeds = Json::parse(dispatcher.SettingsText(false));
  other_seeds["seed_stations"] = {system.dispatcher(1).control_address()};
  dispatcher.Reload(other_seeds.dump());
  REQUIRE(world.RunUntil([&] { return dispatcher.LogHolds("the seeds are others now"); }));
  world.CheckServedEverywhere();
  world.CheckNoRuleBroken();
}

TEST_CASE("a start with a bad settings file ends with one line", "[reload]") {
  World world(1, 0, 0);
  Dispatcher& dispatcher = world.system().dispatcher(0);
  dispatcher.Start(true);
  REQUIRE(world.RunUntil([&] { return world.system().Status(0).is_object(); }));
  REQUIRE(dispatcher.Kill(kPatience));
  dispatcher.StartWith("{\"station\": \"\"}");
  REQUIRE(dispatcher.Ended(kPatience));
  CHECK_FALSE(dispatcher.EndedWell());
  CHECK(dispatcher.LogHolds(dispatcher.settings_path().string() + ": station: "));
}

}  // namespace
}  // namespace lichenlug::standins::test

// Configuration changes by the operator, and reloads of the settings file.
#include <algorithm>
#include <array>

#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

constexpr int kAccepted = 200, kInvalid = 400, kConflict = 412, kUnavailable = 503;
constexpr Time kRetryDelay = 100 * kMillisecond;

struct BadConfiguration {
  const char* fault;
  const char* key;  // named in the error
  std::string body;
};

Json ConfigurationWith(const char* pointer, const Json& value) {
  Json configuration = sample::Configuration(2);
  configuration[Json::json_pointer(pointer)] = value;
  return configuration;
}

std::vector<BadConfiguration> BadConfigurations() {
  const std::string whole = sample::Configuration(2).dump();
  return {{"cut off", "JSON", whole.substr(0, whole.size() / 2)},
          {"unknown service", "line", ConfigurationWith("/routes/0/line", "nowhere").dump()},
          {"same host and prefix", "lane_prefix",
           ConfigurationWith("/routes/1/lane_prefix", sample::kPlainPath).dump()},
          {"weights that add up to 0", "apportion",
           ConfigurationWith("/routes/0/apportion", Json::array({{{"line", sample::kService}, {"share", 0}}}))
               .dump()},
          {"a deadline of 0", "deadline_ms", ConfigurationWith("/routes/0/deadline_ms", 0).dump()},
          {"an edition that is not above the current one", "edition", sample::Configuration(1).dump() + " "},
          {"a key of two tenants", "stamps", ConfigurationWith("/senders/1/stamps/0", sample::kKey).dump()}};
}

TEST_CASE("Invalid configurations are rejected with one line that names the key", "[bad-configurations]") {
  Testbed testbed(3, 0, 1);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  for (const BadConfiguration& bad : BadConfigurations()) {
    INFO(bad.fault);
    const HttpMessage answer = system.the_operator().Send({Change::Method::kPut, 1, bad.body}, kTimeout);
    CHECK(answer.status == kInvalid);
    const Json body = Json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    const auto line = body.value("error", std::string());
    INFO(line);
    CHECK(line.find(bad.key) != std::string::npos);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find(sample::kKey) == std::string::npos);  // a client's key is not shown
  }
  CHECK(testbed.CurrentEdition() == 1);
  CHECK(testbed.AllRunning());
}

TEST_CASE("A change without If-Match is rejected", "[bad-configurations]") {
  Testbed testbed(1, 0, 1);  // a cluster of one machine
  REQUIRE(testbed.Found());
  HttpCall call;
  call.method = "PUT";
  call.path = wire::kConfigurationPath;
  call.body = sample::Configuration(2).dump();
  const HttpMessage answer =
      CallAndWait(&testbed.system().loop(), testbed.system().dispatcher(0).control_address(), call);
  CHECK(answer.status == kInvalid);
  CHECK(testbed.CurrentEdition() == 1);
}

// The response of one dispatcher. Retries after status 503 (no majority of disks in time) and after no
// response (0), as both permit repeating the same call.
HttpMessage SendUntilDefinite(Testbed* testbed, std::size_t dispatcher, const Change& change) {
  System& system = testbed->system();
  HttpMessage answer;
  const auto is_clear = [&] {
    answer = system.the_operator().SendTo(system.dispatcher(dispatcher).control_address(), change);
    if (answer.status == kUnavailable) CHECK(answer.Header("retry-after") != nullptr);
    return answer.status != 0 && answer.status != kUnavailable;
  };
  const Time deadline = system.loop().Now() + kTimeout;
  while (!is_clear() && system.loop().Now() < deadline) system.loop().RunFor(kRetryDelay);
  return answer;
}

TEST_CASE("An accepted change is acknowledged again by each dispatcher", "[repeated-change]") {
  Testbed testbed;
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  const Change put = testbed.Put(1, sample::Configuration(2));
  const Change patch = testbed.Patch(2, 5, "added");
  for (const Change& change : {put, patch}) {
    for (std::size_t index = 0; index < system.dispatcher_count(); ++index) {
      INFO("dispatcher " << index << ", builds on " << change.if_match);
      CHECK(SendUntilDefinite(&testbed, index, change).status == kAccepted);
    }
  }
  // Also after later changes.
  CHECK(SendUntilDefinite(&testbed, 2, put).status == kAccepted);
  CHECK(testbed.CurrentEdition() == 5);
  CHECK(system.WaitEdition(5, kTimeout));
  // Each was accepted once: the first configuration, the PUT and the PATCH.
  for (std::size_t index = 0; index < system.dispatcher_count(); ++index) {
    INFO("dispatcher " << index);
    CHECK(system.Status(index).value("revision", 0) == 3);
  }
}

// Sends both changes at the same time, each to another dispatcher. Repeats one without a definite response,
// as the operator does.
std::array<int, 2> Race(Testbed* testbed, const std::array<Change, 2>& changes) {
  System& system = testbed->system();
  std::array<int, 2> statuses{-1, -1};
  for (std::size_t side = 0; side < changes.size(); ++side) {
    system.the_operator().SendTo(system.dispatcher(side).control_address(), changes[side],
                                 [&, side](const HttpMessage& answer) { statuses[side] = answer.status; });
  }
  REQUIRE(testbed->RunUntil([&] { return statuses[0] >= 0 && statuses[1] >= 0; }));
  for (std::size_t side = 0; side < changes.size(); ++side) {
    const bool unclear = statuses[side] == 0 || statuses[side] >= 500;
    if (unclear) statuses[side] = system.the_operator().Send(changes[side], kTimeout).status;
  }
  return statuses;
}

TEST_CASE("Of two concurrent changes of the same edition one is accepted and one gets 412", "[race]") {
  Testbed testbed;
  REQUIRE(testbed.Found());
  constexpr int kRaces = 5;
  for (int race = 0; race < kRaces; ++race) {
    const std::int64_t edition = 2 + race;
    const std::array<Change, 2> changes{testbed.Patch(edition - 1, edition, "left-" + std::to_string(race)),
                                        testbed.Patch(edition - 1, edition, "right-" + std::to_string(race))};
    std::array<int, 2> statuses = Race(&testbed, changes);
    const char* winner = statuses[0] == kAccepted ? "left-" : "right-";
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses[0] == kAccepted);
    CHECK(statuses[1] == kConflict);
    const Json read = testbed.system().the_operator().Read(kTimeout);
    CHECK(read.at(wire::kEdition) == edition);
    CHECK(read.at("routes").back().at(wire::kName) == winner + std::to_string(race));
  }
  testbed.CheckNoViolations();
}

TEST_CASE("A reload of an invalid settings file changes nothing", "[reload]") {
  Testbed testbed(3, 0, 2);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  Dispatcher& dispatcher = system.dispatcher(0);
  Json no_seeds = Json::parse(dispatcher.SettingsText(false));
  no_seeds["seed_stations"] = 7;
  constexpr char kKept[] = "settings kept: ";
  dispatcher.Reload("{\"station\": ");
  REQUIRE(testbed.RunUntil([&] {
    return dispatcher.LogHolds(std::string(kKept) + dispatcher.settings_path().string() +
                               ": the file is not JSON");
  }));
  dispatcher.Reload(no_seeds.dump());
  REQUIRE(testbed.RunUntil(
      [&] { return dispatcher.LogHolds(dispatcher.settings_path().string() + ": seed_stations"); }));
  CHECK(testbed.AllRunning());
  testbed.CheckServedEverywhere();
  CHECK(system.Status(0).at("members").size() == 3);

  Json other_seeds = Json::parse(dispatcher.SettingsText(false));
  other_seeds["seed_stations"] = {system.dispatcher(1).control_address()};
  dispatcher.Reload(other_seeds.dump());
  REQUIRE(testbed.RunUntil([&] { return dispatcher.LogHolds("the seeds are others now"); }));
  testbed.CheckServedEverywhere();
  testbed.CheckNoViolations();
}

TEST_CASE("A start with an invalid settings file fails with one line", "[reload]") {
  Testbed testbed(1, 0, 0);
  Dispatcher& dispatcher = testbed.system().dispatcher(0);
  dispatcher.Start(true);
  REQUIRE(testbed.RunUntil([&] { return testbed.system().Status(0).is_object(); }));
  REQUIRE(dispatcher.Kill(kTimeout));
  dispatcher.StartWith("{\"station\": \"\"}");
  REQUIRE(dispatcher.Ended(kTimeout));
  CHECK_FALSE(dispatcher.EndedWell());
  CHECK(dispatcher.LogHolds(dispatcher.settings_path().string() + ": station: "));
}

}  // namespace
}  // namespace lichenlug::standins::test

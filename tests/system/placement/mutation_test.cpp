// Replaces a single answer or record by a wrong one: no limit is violated, and after a wrong answer all
// requested models are still loaded.
#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

struct Mutation {
  const char* name;
  std::function<void(duties::HttpResult*)> change;
};

std::function<void(duties::HttpResult*)> Status(int status) {
  return [status](duties::HttpResult* result) { result->status = status; };
}

std::function<void(duties::HttpResult*)> Replace(const std::string& from, const std::string& to) {
  return [from, to](duties::HttpResult* result) {
    const auto at = result->body.find(from);
    if (at != std::string::npos) result->body.replace(at, from.size(), to);
  };
}

std::vector<Mutation> Mutations() {
  std::vector<Mutation> mutations = {
      {"no body", [](duties::HttpResult* result) { result->body.clear(); }},
      {"truncated body", [](duties::HttpResult* result) { result->body.resize(result->body.size() / 2); }},
      {"busy", Replace("\"busy\":false", "\"busy\":true")},
      {"not busy", Replace("\"busy\":true", "\"busy\":false")},
      {"more orders accepted", Replace("\"call_count\":", "\"call_count\":1")},
      {"no orders accepted", Replace("\"call_count\":1", "\"call_count\":0")},
      {"another model", Replace("\"name\":\"m", "\"name\":\"n")},
  };
  for (int status : {0, 200, 202, 400, 409, 421, 429, 500, 503})
    mutations.push_back({"status", Status(status)});
  return mutations;
}

TEST_CASE("any single wrong answer is tolerated") {
  for (const Mutation& mutation : Mutations())
    for (int number = 0; number < 14; ++number) {
      SimulationOptions options;
      options.seed = 7;
      SimulatedFleet fleet(options);
      int answers = 0;
      fleet.mutate = [&](duties::HttpResult* result) {
        if (answers++ == number) mutation.change(result);
      };
      fleet.SetZipfDemand(60, 0, 6);
      fleet.Run(4 * kSecond);
      for (int i = 20; i < 30; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, 1);
      fleet.Run(22 * kSecond);
      INFO(mutation.name << " of answer " << number);
      CHECK(fleet.violations().empty());
      for (int i = 20; i < 30; ++i) {
        INFO("model " << i);
        CHECK(fleet.IsLoaded({fleet.ModelName(i), ""}));
      }
    }
}

TEST_CASE("after a runner refuses the epoch, nothing is sent until a higher epoch") {
  SimulatedFleet fleet({});
  bool refuse = true, sent_after = false;
  int fenced = 0;
  fleet.mutate = [&](duties::HttpResult* result) {
    if (refuse && result->body.empty() && result->status != 0) result->status = 412, ++fenced;
  };
  fleet.Run(4 * kSecond);
  for (int i = 0; i < 30; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, 0.5);
  fleet.Run(2 * kSecond);
  REQUIRE(fenced > 0);
  fleet.on_call = [&](const duties::HttpCall&) { sent_after = true; };
  fleet.Run(20 * kSecond);
  CHECK_FALSE(sent_after);
  refuse = false;
  fleet.FailOver(3 * kSecond);
  fleet.Run(10 * kSecond);
  CHECK(sent_after);
}

// Records are only hints: orders are decided on the runner's own report.
TEST_CASE("any single wrong record is tolerated") {
  const std::vector<std::function<void(messages::RunnerRecord*)>> changes = {
      [](messages::RunnerRecord* record) { record->clear_models(); },
      [](messages::RunnerRecord* record) { record->mutable_models(0)->set_name("m29"); },
      [](messages::RunnerRecord* record) { record->mutable_models(0)->set_name("nobody's"); },
      [](messages::RunnerRecord* record) { record->mutable_models(0)->add_adapters("a99"); },
      [](messages::RunnerRecord* record) { record->set_call_count(1000000); },
      [](messages::RunnerRecord* record) { record->set_call_count(0); },
      [](messages::RunnerRecord* record) { record->set_address("10.0.0.1:80"); },
      [](messages::RunnerRecord* record) { record->clear_address(); },
      [](messages::RunnerRecord* record) { record->clear_runner_id(); },
      [](messages::RunnerRecord* record) { record->set_service("another"); },
      [](messages::RunnerRecord* record) { record->set_slots(-1); },
      [](messages::RunnerRecord* record) { record->set_state(messages::RUNNER_LOST); },
  };
  for (std::size_t change = 0; change < changes.size(); ++change)
    for (int number = 0; number < 12; ++number) {
      SimulatedFleet fleet({});
      int records = 0;
      fleet.mutate_record = [&](messages::RunnerRecord* record) {
        if (record->models_size() > 0 && records++ == number) changes[change](record);
      };
      fleet.SetZipfDemand(60, 0, 6);
      fleet.Run(4 * kSecond);
      for (int i = 20; i < 30; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, 1);
      fleet.Run(20 * kSecond);
      INFO("change " << change << " of record " << number);
      CHECK(fleet.violations().empty());
    }
}

TEST_CASE("demand of any value is tolerated") {
  for (double value : {-1.0, 1e300, std::numeric_limits<double>::infinity(), std::nan("")}) {
    SimulatedFleet fleet({});
    fleet.SetDemand({"m3", ""}, value);
    fleet.SetDemand({"m3", "a0"}, 1);
    fleet.SetDemand({"m3", "a99999999999999999999"}, 1);
    fleet.SetDemand({"nobody's", ""}, 1);
    fleet.SetDemand({"", ""}, 1);
    fleet.Run(10 * kSecond);
    CHECK(fleet.violations().empty());
    CHECK(fleet.orders() < 100);
  }
}

}  // namespace
}  // namespace lichenlug::placement

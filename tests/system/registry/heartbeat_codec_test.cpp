// Parsing of runner heartbeats.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "registry/registry.h"

namespace lichenlug::registry {
namespace {

using Json = nlohmann::json;

Json GoodBody() {
  return Json::parse(R"({"line":"lm","address":"10.1.0.9:8080","zone":"hall-a","edition":"v1","berths":32,
      "condition":"ready","cold_ms":250.5,"stage":"both","call_count":4,
      "models":[{"name":"m2","edition":3,"adapters":["a2","a1"]},{"name":"m1","edition":1,"adapters":[]}]})");
}

std::string ErrorOf(const std::string& body, const std::string& runner_id = "i-1") {
  const auto read = ReadHeartbeat(runner_id, body);
  const auto* error = std::get_if<std::string>(&read);
  return error == nullptr ? "" : *error;
}

}  // namespace

TEST_CASE("all fields of a heartbeat are read") {
  const auto read = ReadHeartbeat("i-1", GoodBody().dump());
  REQUIRE(std::holds_alternative<messages::RunnerRecord>(read));
  const auto& record = std::get<messages::RunnerRecord>(read);
  CHECK(record.runner_id() == "i-1");
  CHECK(record.service() == "lm");
  CHECK(record.address() == "10.1.0.9:8080");
  CHECK(record.zone() == "hall-a");
  CHECK(record.software_edition() == "v1");
  CHECK(record.slots() == 32);
  CHECK(record.state() == messages::RUNNER_READY);
  CHECK(record.cold_ms() == 250.5);
  CHECK(record.stage() == "both");
  CHECK(record.call_count() == 4);
  REQUIRE(record.models_size() == 2);
  CHECK(record.models(0).name() == "m1");  // in order of name
  CHECK(record.models(1).edition() == 3);
  REQUIRE(record.models(1).adapters_size() == 2);
  CHECK(record.models(1).adapters(0) == "a1");
}

TEST_CASE(
    "the fields of a draining runner are read, unknown members are ignored, and optional ones may be "
    "absent") {
  Json body = GoodBody();
  body["condition"] = "draining";
  body["remaining_ms"] = 1500;
  body["unheard_of"] = {{"deep", Json::array({1, 2})}};
  for (const char* optional : {"edition", "cold_ms", "stage", "models"}) body.erase(optional);
  const auto read = ReadHeartbeat("i-1", body.dump());
  REQUIRE(std::holds_alternative<messages::RunnerRecord>(read));
  CHECK(std::get<messages::RunnerRecord>(read).state() == messages::RUNNER_DRAINING);
  CHECK(std::get<messages::RunnerRecord>(read).remaining_ms() == 1500);
}

TEST_CASE("a heartbeat of more than a megabyte is rejected before it is parsed") {
  Json body = GoodBody();
  body["unheard_of"] = std::string(1u << 20, 'x');
  CHECK(std::get<std::string>(ReadHeartbeat("i-1", body.dump())).find("1 MiB") != std::string::npos);
}

TEST_CASE("an invalid heartbeat gives a one-line error that names the key and its place") {
  const std::vector<std::pair<std::string, Json>> wrong = {
      {"line", 5},
      {"line", ""},
      {"line", nullptr},
      {"address", "nohost"},
      {"address", ":80"},
      {"address", "10.0.0.1:0"},
      {"address", "h:99999"},
      {"address", "h:8x"},
      {"zone", Json::array()},
      {"edition", 1},
      {"berths", "32"},
      {"berths", -1},
      {"berths", 2.5},
      {"berths", 1e30},
      {"condition", "resting"},
      {"condition", true},
      {"cold_ms", "soon"},
      {"cold_ms", -1},
      {"remaining_ms", {}},
      {"stage", 7},
      {"call_count", -3},
      {"call_count", "4"},
      {"models", "m1"},
      {"line", std::string(257, 'x')},
  };
  for (const auto& [key, value] : wrong) {
    Json body = GoodBody();
    body[key] = value;
    const std::string error = ErrorOf(body.dump());
    CAPTURE(key, value.dump(), error);
    CHECK(error.find("`" + key + "`") != std::string::npos);
    CHECK(error.find('\n') == std::string::npos);
  }
  for (const char* required : {"line", "address", "zone", "berths", "condition", "call_count"}) {
    Json body = GoodBody();
    body.erase(required);
    CHECK(ErrorOf(body.dump()).find("`" + std::string(required) + "`") != std::string::npos);
  }
  for (const Json& model :
       {Json(3), Json::object(), Json({{"name", 3}}), Json({{"name", "m"}, {"edition", "x"}}),
        Json({{"name", "m"}, {"adapters", "a1"}}), Json({{"name", "m"}, {"adapters", {4}}})}) {
    Json body = GoodBody();
    body["models"].push_back(model);
    CAPTURE(model.dump());
    CHECK(ErrorOf(body.dump()).find("models[2]") != std::string::npos);
  }
  for (const char* body : {"", "[]", "3", "{", "null", "{\"line\":\"\xff\"}"})
    CHECK_FALSE(ErrorOf(body).empty());
  CHECK_FALSE(ErrorOf(GoodBody().dump(), "").empty());
  CHECK_FALSE(ErrorOf(GoodBody().dump(), "with space").empty());
  CHECK_FALSE(ErrorOf(GoodBody().dump(), std::string(300, 'i')).empty());
}

TEST_CASE("a truncated or corrupted heartbeat is either read or rejected") {
  const std::string whole = GoodBody().dump();
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK_FALSE(ErrorOf(whole.substr(0, length)).empty());
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const char byte : {'\0', '"', '{', '}', '9', '-', '\x80'}) {
      std::string body = whole;
      body[at] = byte;
      const auto read = ReadHeartbeat("i-1", body);
      if (const auto* record = std::get_if<messages::RunnerRecord>(&read)) CHECK(record->slots() >= 0);
    }
  }
}

}  // namespace lichenlug::registry

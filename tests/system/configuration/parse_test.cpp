#include <catch2/catch.hpp>

#include "sample.h"

namespace lichenlug::configuration {
namespace {

// Replaces one value of the sample, and returns the resulting problem.
Problem ProblemWith(const std::string& pointer, const Json& value) {
  Json sample = SampleConfiguration(7);
  sample[Json::json_pointer(pointer)] = value;
  return ProblemOf(sample.dump());
}

bool IsAccepted(const Json& json) { return std::holds_alternative<Parsed>(Parse(json.dump())); }

bool IsAcceptedWith(const std::string& pointer, const Json& value) {
  Json sample = SampleConfiguration(7);
  sample[Json::json_pointer(pointer)] = value;
  return IsAccepted(sample);
}

void CheckProblem(const Problem& problem, const std::string& key, const std::string& place) {
  CHECK(problem.key == key);
  CHECK(problem.place == place);
  CHECK_FALSE(problem.remedy.empty());
  CHECK(problem.Line().find('\n') == std::string::npos);
}

// An item takes far more memory than its text has bytes.
TEST_CASE("A text of very many objects or items of lists is rejected") {
  for (const std::string opening :
       {R"({"edition":7,"routes":[)", R"({"edition":7,"senders":[{"name":"a","stamps":[)"}) {
    std::string text = opening;
    const std::string item = opening.ends_with(R"("routes":[)") ? "{}," : R"("",)";
    for (int i = 0; i < 70'000; ++i) text += item;
    CheckProblem(ProblemOf(text), "configuration", "the whole text");
  }
}

TEST_CASE("A complete configuration is parsed into its message") {
  const std::string text = SampleConfiguration(7).dump();
  const auto result = Parse(text);
  REQUIRE(std::holds_alternative<Parsed>(result));
  const auto& parsed = std::get<Parsed>(result);
  CHECK(parsed.json == text);
  const auto& configuration = *parsed.configuration;
  CHECK(configuration.edition() == 7);
  REQUIRE(configuration.routes_size() == 2);
  CHECK(configuration.routes(0).host() == "shop.example");
  CHECK(configuration.routes(0).path_prefix() == "/plain/");
  CHECK(configuration.routes(0).deadline_ms() == 12000);
  CHECK(configuration.routes(0).service() == "first");
  CHECK(configuration.routes(0).tries() == 2);
  REQUIRE(configuration.routes(1).weighted_services_size() == 2);
  CHECK(configuration.routes(1).weighted_services(1).service() == "second");
  CHECK(configuration.routes(1).weighted_services(1).weight() == 10);
  const auto& engine = configuration.services(0).engine();
  CHECK(engine.slots() == 32);
  CHECK(engine.models(0).weights_mb() == Approx(65100));
  CHECK(engine.models(0).adapters() == 3);
  CHECK(configuration.services(0).fleet().maximum() == 10);
  CHECK(configuration.limits().body_bytes() == 4194304);
  REQUIRE(configuration.tenants(0).keys_size() == 2);
  CHECK(configuration.tenants(0).keys(1) == "two");
}

TEST_CASE("Numbers may be written with a fraction of zero") {
  Json sample = SampleConfiguration(7);
  sample["edition"] = 8.0;
  sample["routes"][0]["deadline_ms"] = 12000.0;
  sample["routes"][0]["tries"] = 3.0;
  sample["postal_lines"][0]["engine"]["models"][0]["adapters"] = 56.0;
  const auto result = Parse(sample.dump());
  REQUIRE(std::holds_alternative<Parsed>(result));
  const auto& configuration = *std::get<Parsed>(result).configuration;
  CHECK(configuration.edition() == 8);
  CHECK(configuration.routes(0).tries() == 3);
  CHECK(configuration.services(0).engine().models(0).adapters() == 56);
}

TEST_CASE("Unknown fields are skipped, whatever their values, and kept in the text") {
  Json sample = SampleConfiguration(7);
  sample["new"] = Json::parse(R"({"a":[1,{"b":null}],"routes":[{"name":3}]})");
  sample["routes"][0]["later"] = Json::parse("[[],[{}],true]");
  sample["routes"][0]["host"] = 5;      // a name of the .proto file, not of the operator's interface
  sample["routes"][0]["service"] = {};  // likewise
  const std::string text = sample.dump();
  const auto result = Parse(text);
  REQUIRE(std::holds_alternative<Parsed>(result));
  CHECK(std::get<Parsed>(result).json == text);
  CHECK(std::get<Parsed>(result).configuration->routes(0).host() == "shop.example");
  CHECK(std::get<Parsed>(result).configuration->routes(0).tries() == 2);
}

TEST_CASE("null counts as an absent value, and the last of two members wins") {
  CHECK(IsAcceptedWith("/routes/0/apportion", nullptr));
  CHECK(IsAcceptedWith("/postal_lines/1/fleet", nullptr));
  CHECK(IsAcceptedWith("/senders", nullptr));
  const auto result = Parse(R"({"edition":1,"routes":[{"name":"gone"}],"postal_lines":[],)"
                            R"("routes":[],"edition":4,"parcel_limits":{}})");
  REQUIRE(std::holds_alternative<Parsed>(result));
  CHECK(std::get<Parsed>(result).configuration->edition() == 4);
  CHECK(std::get<Parsed>(result).configuration->routes_size() == 0);
}

TEST_CASE("Values that the operator's interface doesn't define as invalid are accepted") {
  CHECK(IsAcceptedWith("/routes/0/carriage", "newer"));
  CHECK(IsAcceptedWith("/routes/0/lane_prefix", "/"));
  CHECK(IsAcceptedWith("/routes/0/apportion", Json::array()));
  CHECK(IsAcceptedWith("/routes/0/tries", 0));
  CHECK(IsAcceptedWith("/routes/0/target_ms", 0));
  CHECK(IsAcceptedWith("/routes/1/apportion/0/share", 0));
  CHECK(IsAcceptedWith("/routes/0/depot", "elsewhere.example"));
  CHECK(IsAcceptedWith("/routes/1/lane_prefix", "/plain/longer/"));
  CHECK(IsAcceptedWith("/senders/0/stamps", Json::array({"one", "one"})));
  CHECK(IsAcceptedWith("/senders/0/stamps", Json::array()));
  CHECK(IsAcceptedWith("/postal_lines/0/conn_limit", 1e12));
  Json sample = SampleConfiguration(7);
  sample.erase("senders");
  sample.erase("parcel_limits");
  CHECK(IsAccepted(sample));
}

TEST_CASE("A text that is not one complete JSON value is rejected") {
  const std::string text = SampleConfiguration(7).dump();
  for (std::size_t length = 0; length < text.size(); ++length) {
    INFO(length);
    REQUIRE(std::holds_alternative<Problem>(Parse(std::string_view(text).substr(0, length))));
  }
  CheckProblem(ProblemOf(text.substr(0, 100)), "JSON", "byte 100");
  CHECK(std::holds_alternative<Problem>(Parse(text + "}")));
  CHECK(std::holds_alternative<Problem>(Parse(text + "x")));
  CHECK(std::holds_alternative<Problem>(Parse(text + text)));
  CHECK(std::holds_alternative<Parsed>(Parse(" \n" + text + "\r\n\t ")));
  CHECK(std::holds_alternative<Problem>(
      Parse("{\"edition\":7,\"routes\":[],\"postal_lines\":[],\"x\":\"\xff\"}")));
  const std::string deep(100'000, '[');
  CHECK(std::holds_alternative<Problem>(Parse("{\"x\":" + deep)));
}

TEST_CASE("A text that is not an object is rejected") {
  for (const char* text : {"[]", "7", "\"text\"", "null", "true", "1.5", "[{}]"}) {
    INFO(text);
    CheckProblem(ProblemOf(text), "configuration", "the whole text");
  }
}

TEST_CASE("A value of the wrong type is rejected with its place") {
  CheckProblem(ProblemWith("/edition", "7"), "edition", "the top level");
  CheckProblem(ProblemWith("/edition", 7.5), "edition", "the top level");
  CheckProblem(ProblemWith("/edition", 1e30), "edition", "the top level");
  CheckProblem(ProblemWith("/routes", Json::object()), "routes", "the top level");
  CheckProblem(ProblemWith("/routes/1", 3), "routes", "the top level");
  CheckProblem(ProblemWith("/routes/1", nullptr), "routes", "the top level");
  CheckProblem(ProblemWith("/routes/1", Json::array()), "routes", "the top level");
  CheckProblem(ProblemWith("/routes/1/deadline_ms", "soon"), "deadline_ms", "routes[1]");
  CheckProblem(ProblemWith("/routes/1/unstamped", 1), "unstamped", "routes[1] (split)");
  CheckProblem(ProblemWith("/routes/1/apportion/1/share", "many"), "share", "routes[1].apportion[1]");
  CheckProblem(ProblemWith("/routes/0/tries", 1.5), "tries", "routes[0] (plain)");
  CheckProblem(ProblemWith("/postal_lines/0/fleet/minimum", true), "minimum", "postal_lines[0].fleet");
  CheckProblem(ProblemWith("/senders/0/stamps", "one"), "stamps", "senders[0] (tenant)");
  CheckProblem(ProblemWith("/senders/0/stamps/1", 2), "stamps", "senders[0] (tenant)");
  CheckProblem(ProblemWith("/parcel_limits", 5), "parcel_limits", "the top level");
}

TEST_CASE("An edition that is missing or not greater than 0 is rejected") {
  CheckProblem(ProblemWith("/edition", 0), "edition", "the top level");
  CheckProblem(ProblemWith("/edition", -3), "edition", "the top level");
  CheckProblem(ProblemWith("/edition", nullptr), "edition", "the top level");
  Json sample = SampleConfiguration(7);
  sample.erase("edition");
  CheckProblem(ProblemOf(sample.dump()), "edition", "the top level");
}

TEST_CASE("A configuration without the list of routes or services is rejected") {
  for (const std::string list : {"routes", "postal_lines"}) {
    Json sample = SampleConfiguration(7);
    sample.erase(list);
    CheckProblem(ProblemOf(sample.dump()), list, "the top level");
  }
  CheckProblem(ProblemOf(R"({"edition":9,"upsert":{}})"), "routes", "the top level");
}

TEST_CASE("A route to an unknown service is rejected") {
  CheckProblem(ProblemWith("/routes/0/line", "nowhere"), "line", "routes[0] (plain)");
  CheckProblem(ProblemWith("/routes/0/line", nullptr), "line", "routes[0] (plain)");
  CheckProblem(ProblemWith("/routes/1/apportion/1/line", "nowhere"), "line", "routes[1] (split)");
  CheckProblem(ProblemWith("/routes/1/line", "nowhere"), "line", "routes[1] (split)");
  Json unused = SampleConfiguration(7);
  unused["routes"][1]["apportion"][1] = {{"line", "nowhere"}, {"share", 0}};
  CheckProblem(ProblemOf(unused.dump()), "line", "routes[1] (split)");
}

TEST_CASE("Two routes with the same host and prefix are rejected") {
  CheckProblem(ProblemWith("/routes/1/lane_prefix", "/plain/"), "lane_prefix", "routes[1] (split)");
  Json sample = SampleConfiguration(7);
  sample["routes"][1]["lane_prefix"] = "/plain/";
  sample["routes"][1]["depot"] = "SHOP.example";
  CheckProblem(ProblemOf(sample.dump()), "lane_prefix", "routes[1] (split)");
}

TEST_CASE("Weights that are negative or have a sum of 0 are rejected") {
  Json sample = SampleConfiguration(7);
  sample["routes"][1]["apportion"][0]["share"] = 0;
  sample["routes"][1]["apportion"][1]["share"] = 0.0;
  CheckProblem(ProblemOf(sample.dump()), "apportion", "routes[1] (split)");
  sample["routes"][1]["apportion"][1].erase("share");
  CheckProblem(ProblemOf(sample.dump()), "apportion", "routes[1] (split)");
  CheckProblem(ProblemWith("/routes/1/apportion/1/share", -10), "share", "routes[1] (split)");
}

TEST_CASE("A deadline that is 0, negative or missing is rejected") {
  CheckProblem(ProblemWith("/routes/0/deadline_ms", 0), "deadline_ms", "routes[0] (plain)");
  CheckProblem(ProblemWith("/routes/0/deadline_ms", -1), "deadline_ms", "routes[0] (plain)");
  CheckProblem(ProblemWith("/routes/0/deadline_ms", nullptr), "deadline_ms", "routes[0] (plain)");
}

TEST_CASE("Two tenants that share a key are rejected, and the key is not shown") {
  const Problem problem = ProblemWith("/senders/1/stamps", Json::array({"four", "two"}));
  CheckProblem(problem, "stamps", "senders[1] (other)");
  CHECK(problem.Line().find("two") == std::string::npos);
}

TEST_CASE("Each item of a list needs a unique name") {
  CheckProblem(ProblemWith("/routes/1/name", "plain"), "name", "routes[1] (plain)");
  CheckProblem(ProblemWith("/postal_lines/1/name", "first"), "name", "postal_lines[1] (first)");
  CheckProblem(ProblemWith("/senders/1/name", "tenant"), "name", "senders[1] (tenant)");
  CheckProblem(ProblemWith("/routes/1/name", ""), "name", "routes[1]");
  CheckProblem(ProblemWith("/postal_lines/1/name", nullptr), "name", "postal_lines[1]");
  CheckProblem(ProblemWith("/senders/1/name", nullptr), "name", "senders[1]");
}

TEST_CASE("A route needs a host, and a prefix that begins and ends with a slash") {
  for (const char* prefix : {"", "plain/", "/plain", "plain"}) {
    INFO(prefix);
    CheckProblem(ProblemWith("/routes/0/lane_prefix", prefix), "lane_prefix", "routes[0] (plain)");
  }
  CheckProblem(ProblemWith("/routes/0/depot", nullptr), "depot", "routes[0] (plain)");
}

}  // namespace
}  // namespace lichenlug::configuration

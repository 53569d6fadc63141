#include "configuration/patch.h"

#include <catch2/catch.hpp>

#include "configuration/json_outline.h"
#include "sample.h"

namespace lichenlug::configuration {
namespace {

Json Patched(const std::string& json, const Json& patch) {
  const std::string text = patch.dump();
  const auto read = ReadPatch(text);
  REQUIRE(std::holds_alternative<Patch>(read));
  const auto result = ApplyPatch(json, std::get<Patch>(read));
  REQUIRE(std::holds_alternative<std::string>(result));
  return Json::parse(std::get<std::string>(result));
}

TEST_CASE("A text is valid JSON if it is complete and has not too many values") {
  CHECK(IsValidJson(R"({"a":[1,-2,3.5,18446744073709551615,true,null,"x",{}]} )"));
  for (const char* invalid : {"", "{", "[1", "[1]]", "nul", "[1,]", "{\"a\"}"})
    CHECK_FALSE(IsValidJson(invalid));
  CHECK_FALSE(IsValidJson(std::string(200, '[') + std::string(200, ']')));
  std::string many = "[0";
  for (std::size_t i = 0; i < kMaxJsonValues; ++i) many += ",0";
  CHECK_FALSE(IsValidJson(many + "]"));
}

TEST_CASE("Items are added, replaced in place and removed by name") {
  Json expected = SampleConfiguration(9);
  expected["routes"][1] = SampleRoute("split", "/elsewhere/");
  expected["routes"].push_back(SampleRoute("added", "/added/"));
  expected["routes"].erase(0);
  expected["senders"].erase(1);
  const Json patch = {
      {"edition", 9},
      {"upsert", {{"routes", {SampleRoute("split", "/elsewhere/"), SampleRoute("added", "/added/")}}}},
      {"remove", {{"routes", {"plain", "never-there"}}, {"senders", {"other"}}}}};
  CHECK(Patched(SampleConfiguration(7).dump(), patch) == expected);
  CHECK(Patched(SampleConfiguration(7).dump(2), patch) == expected);
}

TEST_CASE("A patch preserves unknown fields and lists") {
  Json before = SampleConfiguration(7);
  before["routes"][0]["later"] = {{"deep", Json::array({1, "] } \\\" {", nullptr})}};
  before["more"] = Json::parse(R"([{"name":"a","x":1},{"name":"b","x":2}])");
  before["odd \" name"] = 1e300;
  Json after = before;
  after["edition"] = 8;
  after["more"][0] = {{"name", "a"}, {"x", 65099.99999999999}};
  after["fresh"] = Json::parse(R"([{"name":"new"}])");
  const Json patch = {{"edition", 8},
                      {"upsert", {{"more", {after["more"][0]}}, {"fresh", {{{"name", "new"}}}}}},
                      {"remove", {{"unknown", {"x"}}}}};
  after["unknown"] = Json::array();
  CHECK(Patched(before.dump(), patch) == after);
}

TEST_CASE("A patch of the edition alone changes nothing else in the text") {
  const std::string before = R"({"edition":7,"a":[ 1.0 , "\u00e9" ],"routes":[ {"name" : "x"} ]})";
  const auto read = ReadPatch(R"({"edition":8})");
  const auto result = ApplyPatch(before, std::get<Patch>(read));
  CHECK(std::get<std::string>(result) ==
        R"({"edition":8,"a":[ 1.0 , "\u00e9" ],"routes":[ {"name" : "x"} ]})");
}

TEST_CASE("Names are compared by content, not by how they are written") {
  const std::string before = R"({"edition":7,"rout\u0065s":[{"n\u0061me":"caf\u00e9","x":1}]})";
  const Json after =
      Patched(before, Json::parse(R"({"edition":8,"upsert":{"routes":[{"name":"café","x":2}]}})"));
  CHECK(after == Json::parse(R"({"edition":8,"routes":[{"name":"café","x":2}]})"));
}

TEST_CASE("The last of several upserts of a name wins, and an upsert overrides a removal") {
  const std::string before = R"({"edition":7,"routes":[{"name":"a","x":0},{"name":"b"}]})";
  const Json patch =
      Json::parse(R"({"edition":8,"upsert":{"routes":[{"name":"a","x":1},{"name":"a","x":2}]},)"
                  R"("remove":{"routes":["a","b"]}})");
  CHECK(Patched(before, patch) == Json::parse(R"({"edition":8,"routes":[{"name":"a","x":2}]})"));
}

TEST_CASE("A patch of a member that is not a list is rejected") {
  const auto read = ReadPatch(R"({"edition":8,"upsert":{"parcel_limits":[{"name":"a"}]}})");
  const auto result = ApplyPatch(SampleConfiguration(7).dump(), std::get<Patch>(read));
  REQUIRE(std::holds_alternative<Problem>(result));
  CHECK(std::get<Problem>(result).key == "parcel_limits");
}

TEST_CASE("The result of a patch is validated like a complete configuration") {
  const std::string payload = Judge("", Put(0, SampleConfiguration(7))).new_payload;
  const auto refused = [&](const char* body) {
    const ChangeResult result = Judge(payload, {ChangeRequest::Method::kPatch, 7, body});
    return result.verdict == Verdict::kInvalid ? result.problem->key : "";
  };
  CHECK(refused(R"({"edition":8,"remove":{"postal_lines":["second"]}})") == "line");
  CHECK(refused(R"({"edition":8,"upsert":{"routes":[{"name":"x"}]}})") == "depot");
  CHECK(refused(R"({"edition":8,"upsert":{"senders":[{"name":"other","stamps":["one"]}]}})") == "stamps");
  CHECK(refused(R"({"edition":8,"upsert":{"routes":)") == "JSON");
}

TEST_CASE("A patch without a configuration to change is rejected") {
  CHECK(Judge("", PatchOf(0, {{"edition", 1}})).verdict == Verdict::kInvalid);
  CHECK(Judge("", PatchOf(4, {{"edition", 5}})).verdict == Verdict::kConflict);
}

TEST_CASE("The outline finds the members and items of a text") {
  const auto members = ObjectMembers(R"( { "a" : [1, 2] , "b":{"c":"}"},"a":"]", "d":null } )");
  REQUIRE(members.size() == 3);
  CHECK(members[0].value == "\"]\"");
  CHECK(members[1].value == R"({"c":"}"})");
  CHECK(ObjectMembers("{}").empty());
  CHECK(ListItems("[ ]").empty());
  CHECK(ListItems(R"([1,"a,b",[2,[3]],{"x":[4]} , true])").size() == 5);
  CHECK(FindMember(R"({"x":{"name":1},"name":2})", "name") == "2");
}

}  // namespace
}  // namespace lichenlug::configuration

#include "placement/order_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace lichenlug::placement {
namespace {

using nlohmann::json;

const char kReport[] =
    R"({"stage":"both","models":[{"name":"m1","edition":1,"adapters":["a3","a9"]},{"name":"m2","edition":1,)"
    R"("adapters":[]}],"busy":false,"call_count":2,"queued":1,"in_transit":12,"cache_used":41000,)"
    R"("cache_total":90000,"carries":0})";

ReportError ErrorOf(const std::string& body) {
  const auto answer = ParseReport({200, body});
  REQUIRE(std::holds_alternative<ReportError>(answer));
  return std::get<ReportError>(answer);
}

TEST_CASE("orders are encoded for runners") {
  const duties::HttpCall load = MakeOrderCall({Order::Kind::kLoad, {"m1", "a3"}}, 2, "node-7", 41);
  CHECK(load.method == "POST");
  CHECK(load.path == "/-/order");
  CHECK(json::parse(load.body) ==
        json::parse(R"({"order":"load","model":"m1","adapter":"a3","if_revision":2,)"
                    R"("holder":"node-7","fence":41})"));
  const duties::HttpCall unload = MakeOrderCall({Order::Kind::kUnload, {"m1", ""}}, 0, "node-7", 41);
  CHECK(json::parse(unload.body) ==
        json::parse(R"({"order":"unload","model":"m1","if_revision":0,"holder":"node-7","fence":41})"));
}

TEST_CASE("fleet sizes are encoded for the platform") {
  const duties::HttpCall call = MakeFleetCall("llm", "z1", 6, 12);
  CHECK(call.method == "POST");
  CHECK(call.path == "/fleet");
  CHECK(call.fence == 12);
  CHECK(json::parse(call.body) == json::parse(R"({"line":"llm","zone":"z1","fleet_size":6})"));
  CHECK(FleetSizeAccepted({200, ""}));
  CHECK(FleetSizeFenced({409, ""}));
  CHECK_FALSE(FleetSizeAccepted({429, ""}));
}

TEST_CASE("a runner's report is decoded") {
  const auto answer = ParseReport({200, kReport});
  REQUIRE(std::holds_alternative<RunnerReport>(answer));
  const RunnerReport& report = std::get<RunnerReport>(answer);
  CHECK(report.orders_accepted == 2);
  CHECK_FALSE(report.busy);
  CHECK(report.held.Holds({"m1", "a9"}));
  CHECK(report.held.Holds({"m2", ""}));
  CHECK(report.held.adapter_count() == 2);
}

TEST_CASE("a report with a field missing or of the wrong type is rejected") {
  for (const char* field : {"models", "busy", "call_count"}) {
    json body = json::parse(kReport);
    body.erase(field);
    CHECK(ErrorOf(body.dump()) == ReportError::kFieldMissing);
    for (const json& other :
         {json("x"), json(nullptr), json(-1), json(1.5), json::object(), json::array({1})}) {
      body[field] = other;
      CHECK(ErrorOf(body.dump()) == ReportError::kFieldMissing);
    }
  }
  for (const json& other : {json("m1"), json{{"edition", 1}}, json{{"name", 3}},
                            json{{"name", "m1"}, {"adapters", 3}}, json{{"name", "m1"}, {"adapters", {1}}}}) {
    json body = json::parse(kReport);
    body["models"][1] = other;
    CHECK(ErrorOf(body.dump()) == ReportError::kFieldMissing);
  }
}

TEST_CASE("a report that is truncated, too large or not an answer is rejected") {
  const std::string whole = kReport;
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK(ErrorOf(whole.substr(0, length)) == ReportError::kMalformed);
  CHECK(ErrorOf(std::string(300 * 1024, ' ') + whole) == ReportError::kMalformed);
  for (int status : {0, 202, 404, 421, 503})
    CHECK(std::get<ReportError>(ParseReport({status, kReport})) == ReportError::kNoAnswer);
}

TEST_CASE("a report with any single wrong byte is decoded without a crash") {
  for (std::size_t i = 0; i + 1 < sizeof kReport; ++i)
    for (const char other : {'\0', '"', '{', ']', '9', '\xff'}) {
      std::string body = kReport;
      body[i] = other;
      ParseReport({200, body});
    }
  SUCCEED();
}

TEST_CASE("the status of an answer determines the outcome of an order") {
  CHECK(ParseOrderOutcome({202, ""}) == OrderOutcome::kAccepted);
  CHECK(ParseOrderOutcome({200, ""}) == OrderOutcome::kAlreadyDone);
  CHECK(ParseOrderOutcome({409, ""}) == OrderOutcome::kConflict);
  CHECK(ParseOrderOutcome({412, ""}) == OrderOutcome::kFenced);
  CHECK(ParseOrderOutcome({400, ""}) == OrderOutcome::kInvalid);
  CHECK(ParseOrderOutcome({421, ""}) == OrderOutcome::kOtherRunner);
  for (int status : {0, 201, 204, 301, 404, 429, 500, 503})
    CHECK(ParseOrderOutcome({status, ""}) == OrderOutcome::kUnknown);
}

}  // namespace
}  // namespace lichenlug::placement

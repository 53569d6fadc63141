// Tests of the simulator's text protocol: runs transcripts through the host and checks its output.
#include "simwire/wire.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "simwire/wirehost.h"

namespace rookgw::wire {
namespace {

const char kSettings[] =
    R"({"Dcs":["z1"],"HostTypes":["box"],"Discovery":"pushed","Instances":1,"Ordinal":0,)"
    R"("MyZone":"z1","Tick":2000,)"
    R"("Limits":{"MostTries":3,"Cancelling":true,"Probes":false,"SecondCopies":false},)"
    R"("Guarantees":{"AnswerSlack":16000,"ColdShare":0.2,"OverloadFactor":3.0,"OverloadFor":1000000,)"
    R"("RampTime":20000000,"DrainGrace":500000},"Report":{"Fields":["waiting","x0"],"How":"answers"},)"
    R"("Specifics":{"ReportX0":"free slots","TellsStart":true,"ClassStretch":[2.0]},)"
    R"("Tenants":[{"Name":"t1","Portion":1.0,"QuotaPerS":100.0}],"Unheard":[1,2],)"
    R"("RequestClasses":[{"Aim":400000,"Deadline":5000000,"Effect":"fragile","Name":"c1","Worth":1.0}]})";

struct Result {
  int code;
  std::string out, errors;
};

Result RunTranscript(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out, errors;
  const int code = RunHost(in, out, errors);
  return {code, out.str(), errors.str()};
}

std::string AttachBatch(const std::string& node = "node_1") {
  return "MARK 1000000\nATTACH " + node + " 7 " + kSettings +
         "\nCENSUS 0 1\nITEM - SERVING 0 executor-a 1 box z1\nTOPOLOGY " + node +
         " stale_copy 1 0\nOVER_TO_YOU\n";
}

TEST(WireHost, AnEmptyBatchGetsAnEmptyReply) {
  const Result r = RunTranscript("MARK 8412250\nOVER_TO_YOU\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "END\n");
  EXPECT_EQ(r.errors, "");
}

TEST(WireHost, ARequestIsDispatchedAndServed) {
  const Result r =
      RunTranscript(AttachBatch() +
                    "MARK 2000000\nORDER node_1 ce0a1b2c5d3a91c4 91f03b7c55d20a64 1 - 7000000 - 0 t1 c1\n"
                    "OVER_TO_YOU\n"
                    "MARK 2100000\nCHANGE node_1 ce0a1b2c5d3a91c4 executor-a 1 0 0\n"
                    "CLOSED_ATTEMPT node_1 ce0a1b2c5d3a91c4 executor-a - 0 1 0 18500 waiting:3,x0:0.4\n"
                    "GONE node_1 ce0a1b2c5d3a91c4\nOVER_TO_YOU\n");
  EXPECT_EQ(r.code, 0) << r.errors;
  EXPECT_NE(r.out.find("DISPATCH node_1 ce0a1b2c5d3a91c4 "), std::string::npos) << r.out;
  EXPECT_NE(r.out.find(" executor-a\n"), std::string::npos);
  EXPECT_EQ(r.out.substr(r.out.size() - 8), "END\nEND\n");
}

TEST(WireHost, AbsentValuesAreAccepted) {
  const Result r = RunTranscript(
      AttachBatch() + "MARK 2000000\nORDER node_1 ce0a1b2c5d3a91c4 - - - 7000000 - - - c1\nOVER_TO_YOU\n");
  EXPECT_EQ(r.code, 0) << r.errors;
  EXPECT_NE(r.out.find("DISPATCH node_1 ce0a1b2c5d3a91c4 "), std::string::npos);
}

TEST(WireHost, AListNumberIsReusedInABatch) {
  const Result r = RunTranscript(
      AttachBatch() +
      "MARK 2000000\nCENSUS 0 1\nITEM - DELETED 0 executor-a 1 box z1\nTOPOLOGY node_1 patch 2 0\n"
      "CENSUS 0 1\nITEM - SERVING 0 executor-b 1 box z1\nTOPOLOGY node_1 patch 3 0\n"
      "ORDER node_1 ce0a1b2c5d3a91c4 91f03b7c55d20a64 1 - 7000000 - 0 t1 c1\nOVER_TO_YOU\n");
  EXPECT_EQ(r.code, 0) << r.errors;
  EXPECT_NE(r.out.find("executor-b"), std::string::npos);
  EXPECT_EQ(r.out.find("executor-a"), std::string::npos);
}

TEST(WireHost, ANodeStopsAndRestartsInOneBatch) {
  const Result r =
      RunTranscript(AttachBatch() + "MARK 2000000\nSHUTDOWN node_1\nATTACH node_1 9 " + kSettings +
                    "\nCENSUS 3 0\nTOPOLOGY node_1 stale_copy 1 3\n"
                    "ORDER node_1 ce0a1b2c5d3a91c4 91f03b7c55d20a64 1 - 7000000 - 0 t1 c1\nOVER_TO_YOU\n");
  EXPECT_EQ(r.code, 0) << r.errors;
  EXPECT_EQ(r.out.find("DISPATCH"), std::string::npos);  // the new instance knows no workers
}

TEST(WireHost, InstancesAreKeptApart) {
  const Result r =
      RunTranscript(AttachBatch("node_1") + AttachBatch("node_2") +
                    "MARK 2000000\nCENSUS 1 1\nITEM - DELETED 0 executor-a 1 box z1\n"
                    "TOPOLOGY node_1 patch 2 1\n"
                    "ORDER node_1 00000000000000a1 0000000000000001 1 - 7000000 - 0 t1 c1\n"
                    "ORDER node_2 00000000000000a2 0000000000000001 1 - 7000000 - 0 t1 c1\nOVER_TO_YOU\n");
  EXPECT_EQ(r.code, 0) << r.errors;
  EXPECT_EQ(r.out.find("DISPATCH node_1"), std::string::npos);
  EXPECT_NE(r.out.find("DISPATCH node_2 00000000000000a2"), std::string::npos);
}

TEST(WireHost, InvalidInputIsReportedInOneLine) {
  const std::string open = AttachBatch();
  std::string huge = kSettings;
  huge.replace(huge.find("\"Ordinal\":0"), 11, "\"Ordinal\":1e300");
  const std::pair<std::string, std::string> cases[] = {
      {"HELLO\n", "MARK"},
      {"MARK x\nOVER_TO_YOU\n", "clock"},
      {"MARK 5\n", "inside a batch"},
      {"MARK 5\nHELLO node_1\nOVER_TO_YOU\n", "unknown message"},
      {"MARK 5\nGONE node_9 ce0a1b2c5d3a91c4\nOVER_TO_YOU\n", "NodeId"},
      {open + "MARK 5\nGONE node_1 xyz\nOVER_TO_YOU\n", "16 hex digits"},
      {open + "MARK 5\nGONE node_1\nOVER_TO_YOU\n", "Job"},
      {open + "MARK 5\nGONE node_1 ce0a1b2c5d3a91c4 1\nOVER_TO_YOU\n", "more values"},
      {open + "MARK 5\nTOPOLOGY node_1 whole 2 9\nOVER_TO_YOU\n", "CENSUS"},
      {open + "MARK 5\nTOPOLOGY node_1 round 2 0\nOVER_TO_YOU\n", "Form"},
      {open + "MARK 5\nCENSUS 16 0\nOVER_TO_YOU\n", "SetId"},
      {open + "MARK 5\nCENSUS 1 2\nITEM - SERVING 0 executor-a 1 box z1\nOVER_TO_YOU\n", "ITEM"},
      {open + "MARK 5\nCENSUS 1 1\nITEM - SERVING 0 executor-a 1 tub z1\nTOPOLOGY node_1 patch 2 "
              "1\nOVER_TO_YOU\n",
       "Hw"},
      {open + "MARK 5\nORDER node_1 ce0a1b2c5d3a91c4 - 1 - 7 - 0 t1 c9\nOVER_TO_YOU\n", "Service"},
      {open + "MARK 5\nORDER node_1 ce0a1b2c5d3a91c4 - 1 - 7 - 0 t9 c1\nOVER_TO_YOU\n", "Realm"},
      {open + "MARK 5\nORDER node_1 ce0a1b2c5d3a91c4 - -1 - 7 - 0 t1 c1\nOVER_TO_YOU\n", "CoresNeeded"},
      {open + "MARK 5\nCLOSED_ATTEMPT node_1 ce0a1b2c5d3a91c4 executor-a - 0 1 99 1 -\nOVER_TO_YOU\n",
       "StateCode"},
      {open + "MARK 5\nCLOSED_ATTEMPT node_1 ce0a1b2c5d3a91c4 executor-a - 0 2 0 1 -\nOVER_TO_YOU\n",
       "Complete"},
      {"MARK 5\nATTACH node_1 7 {}\nOVER_TO_YOU\n", "missing"},
      {"MARK 5\nATTACH node_1 7 " + huge + "\nOVER_TO_YOU\n",
       "settings: Ordinal: a whole number from 0 to 0"},
      {"MARK 5\nATTACH node_1 7 {\"Instances\":\nOVER_TO_YOU\n", "JSON"},
  };
  for (const auto& [input, expected] : cases) {
    const Result r = RunTranscript(input);
    EXPECT_NE(r.code, 0) << input;
    EXPECT_EQ(r.errors.substr(0, 5), "line ") << r.errors;
    EXPECT_NE(r.errors.find(expected), std::string::npos) << r.errors;
    EXPECT_EQ(std::count(r.errors.begin(), r.errors.end(), '\n'), 1);
  }
}

TEST(WireHost, MalformedLinesNeverCrash) {
  const std::string good =
      AttachBatch() +
      "MARK 2000000\nORDER node_1 ce0a1b2c5d3a91c4 91f03b7c55d20a64 1 - 7000000 - 0 t1 c1\n"
      "CLOSED_ATTEMPT node_1 ce0a1b2c5d3a91c4 executor-a - 0 1 0 18500 waiting:3,x0:0.4\n"
      "PROBED node_1 executor-a 0 1400 waiting:3,x0:0.4\nFIRED node_1 sweep\nOVER_TO_YOU\n";
  std::uint64_t state = 88172645463325252ULL;  // fixed seed: the corpus is deterministic
  auto draw = [&state](std::size_t below) {
    state ^= state << 13, state ^= state >> 7, state ^= state << 17;
    return state % below;
  };
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string bad = good;
    for (std::size_t edits = 1 + draw(3); edits > 0; --edits) {
      const std::size_t at = draw(bad.size());
      switch (draw(4)) {
        case 0:
          bad[at] = static_cast<char>(draw(256));
          break;
        case 1:
          bad.erase(at, 1 + draw(12));
          break;
        case 2:
          bad.insert(at, bad.substr(draw(bad.size()), draw(30)));
          break;
        default:
          bad.insert(at, 1, " -\n:,9"[draw(6)]);
      }
      if (bad.empty()) break;
    }
    const Result r = RunTranscript(bad);
    refused += r.code != 0;
    EXPECT_EQ(r.code == 0, r.errors.empty());
  }
  EXPECT_GT(refused, 1000);
}

}  // namespace
}  // namespace rookgw::wire

#include <catch2/catch.hpp>

#include "sample.h"

namespace lichenlug::configuration {
namespace {

// The register's payload under successive changes.
class Register {
 public:
  ChangeResult Change(const ChangeRequest& request) {
    ChangeResult result = Judge(payload, request);
    if (result.verdict == Verdict::kTake) payload = result.new_payload;
    return result;
  }
  Json Stored() const { return Json::parse(ReadState(payload)->json()); }

  std::string payload;
};

TEST_CASE("The first configuration is accepted with edition 0 as its base") {
  Register reg;
  CHECK_FALSE(ReadState(reg.payload).has_value());
  CHECK(reg.Change(Put(5, SampleConfiguration(7))).verdict == Verdict::kConflict);
  const ChangeResult result = reg.Change(Put(0, SampleConfiguration(7)));
  CHECK(result.verdict == Verdict::kTake);
  CHECK(result.current_edition == 7);
  const auto state = ReadState(reg.payload);
  REQUIRE(state.has_value());
  CHECK(state->edition() == 7);
  CHECK(state->revision() == 1);
  CHECK(state->json() == SampleConfiguration(7).dump());
}

TEST_CASE("The text of a whole configuration is kept byte for byte") {
  const std::string text =
      "{ \"edition\" : 3.0,\n \"routes\":[ ], \"postal_lines\":[], \"unknown\":{\"x\":1e2} }\n";
  Register reg;
  CHECK(reg.Change({ChangeRequest::Method::kPut, 0, text}).verdict == Verdict::kTake);
  CHECK(ReadState(reg.payload)->json() == text);
}

TEST_CASE("Of two changes based on the same version only one is accepted") {
  Register reg;
  reg.Change(Put(0, SampleConfiguration(5)));
  Json other = SampleConfiguration(7);
  other["routes"][0]["tries"] = 3;
  CHECK(reg.Change(Put(5, SampleConfiguration(7))).verdict == Verdict::kTake);
  const ChangeResult rejected = reg.Change(Put(5, other));
  CHECK(rejected.verdict == Verdict::kConflict);
  CHECK(rejected.current_edition == 7);
  CHECK(reg.Stored() == SampleConfiguration(7));
}

TEST_CASE("A repeated change is acknowledged again, even many changes later") {
  Register reg;
  const ChangeRequest first = Put(0, SampleConfiguration(1));
  CHECK(reg.Change(first).verdict == Verdict::kTake);
  CHECK(reg.Change(first).verdict == Verdict::kAlreadyAccepted);
  const ChangeRequest patch = PatchOf(1, {{"edition", 2}, {"remove", {{"routes", {"plain"}}}}});
  CHECK(reg.Change(patch).verdict == Verdict::kTake);
  CHECK(reg.Change(patch).verdict == Verdict::kAlreadyAccepted);
  for (int edition = 2; edition < 302; ++edition) {
    REQUIRE(reg.Change(Put(edition, SampleConfiguration(edition + 1))).verdict == Verdict::kTake);
  }
  const ChangeResult late = reg.Change(first);
  CHECK(late.verdict == Verdict::kAlreadyAccepted);
  CHECK(late.current_edition == 302);
  CHECK(reg.Change(patch).verdict == Verdict::kAlreadyAccepted);
  CHECK(ReadState(reg.payload)->revision() == 302);
}

TEST_CASE("The digest covers the method, the base version and the body") {
  const ChangeRequest request = Put(3, SampleConfiguration(4));
  ChangeRequest method = request, version = request, body = request;
  method.method = ChangeRequest::Method::kPatch;
  version.if_match = 4;
  body.body += ' ';
  CHECK(Digest(request) == Digest(Put(3, SampleConfiguration(4))));
  CHECK(Digest(method) != Digest(request));
  CHECK(Digest(version) != Digest(request));
  CHECK(Digest(body) != Digest(request));
  CHECK(Digest({ChangeRequest::Method::kPut, 0, ""}) ==
        0xa413b24eeacd6ef7ULL);  // stored on disk, so it must never change
}

TEST_CASE("The number of digests is bounded, and the oldest is evicted first") {
  Register reg;
  reg.Change(Put(0, SampleConfiguration(1)));
  auto state = *ReadState(reg.payload);
  state.clear_taken_digests();
  for (std::uint64_t i = 0; i < 8192; ++i) state.add_taken_digests(i);
  reg.payload = state.SerializeAsString();
  const ChangeRequest next = Put(1, SampleConfiguration(2));
  CHECK(reg.Change(next).verdict == Verdict::kTake);
  state = *ReadState(reg.payload);
  REQUIRE(state.taken_digests_size() == 8192);
  CHECK(state.taken_digests(0) == 1);
  CHECK(state.taken_digests(8191) == Digest(next));
}

TEST_CASE("An invalid change is rejected without effect, and a conflict takes precedence") {
  Register reg;
  reg.Change(Put(0, SampleConfiguration(5)));
  Json invalid = SampleConfiguration(7);
  invalid["routes"][0]["deadline_ms"] = 0;
  const ChangeResult result = reg.Change(Put(5, invalid));
  CHECK(result.verdict == Verdict::kInvalid);
  REQUIRE(result.problem.has_value());
  CHECK(result.problem->key == "deadline_ms");
  CHECK(result.current_edition == 5);
  CHECK(result.new_payload.empty());
  CHECK(reg.Change(Put(4, invalid)).verdict == Verdict::kConflict);
  CHECK(reg.Change({ChangeRequest::Method::kPut, 5, "{\"edition\":"}).verdict == Verdict::kInvalid);
}

TEST_CASE("An edition that is not greater than the current one is rejected") {
  Register reg;
  reg.Change(Put(0, SampleConfiguration(5)));
  Json other = SampleConfiguration(5);
  other["routes"][0]["tries"] = 9;
  for (const int edition : {5, 4}) {
    other["edition"] = edition;
    const ChangeResult result = reg.Change(Put(5, other));
    CHECK(result.verdict == Verdict::kInvalid);
    CHECK(result.problem->key == "edition");
  }
  CHECK(reg.Change(PatchOf(5, {{"edition", 5}})).verdict == Verdict::kInvalid);
  CHECK(reg.Change(PatchOf(5, {{"edition", 6}})).verdict == Verdict::kTake);
}

TEST_CASE("A register that can't be parsed accepts no change") {
  const ChangeResult result = Judge("\xff\xff", Put(0, SampleConfiguration(1)));
  CHECK(result.verdict == Verdict::kInvalid);
  CHECK_FALSE(ReadState("\xff\xff").has_value());
}

TEST_CASE("A request is validated without the register") {
  CHECK_FALSE(ValidateRequest(Put(0, SampleConfiguration(1))).has_value());
  CHECK(ValidateRequest({ChangeRequest::Method::kPut, 0, "{"}).has_value());
  CHECK_FALSE(
      ValidateRequest(PatchOf(0, {{"edition", 1}, {"upsert", {{"routes", {{{"name", "r"}}}}}}})).has_value());
  for (const char* body :
       {"", "{", "[]", "7", "{}", R"({"upsert":{}})", R"({"edition":3,"upsert":[]})",
        R"({"edition":3,"upsert":{"routes":{}}})", R"({"edition":3,"upsert":{"routes":[3]}})",
        R"({"edition":3,"upsert":{"routes":[{"name":""}]}})",
        R"({"edition":3,"upsert":{"routes":[{"name":3}]}})", R"({"edition":3,"remove":"routes"})",
        R"({"edition":3,"remove":{"routes":"x"}})", R"({"edition":3,"remove":{"routes":[{}]}})",
        R"({"edition":3}x)", R"({"edition":"3"})", R"({"edition":3.5})", R"({"edition":0})"}) {
    INFO(body);
    CHECK(ValidateRequest({ChangeRequest::Method::kPatch, 3, body}).has_value());
  }
}

}  // namespace
}  // namespace lichenlug::configuration

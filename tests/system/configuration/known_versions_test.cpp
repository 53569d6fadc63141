#include "configuration/known_versions.h"

#include <catch2/catch.hpp>
#include <random>

#include "sample.h"

namespace lichenlug::configuration {
namespace {

Follower::Version VersionOf(std::uint64_t revision, const Json& json) {
  return *ReadVersion(revision, json["edition"].get<std::int64_t>(), json.dump());
}

Json Large(std::int64_t edition, int tries) {
  Json json = SampleConfiguration(edition);
  for (int i = 0; i < 100; ++i) {
    const std::string name = "more-" + std::to_string(i);
    json["routes"].push_back(SampleRoute(name, "/" + name + "/"));
  }
  json["routes"][static_cast<std::size_t>(edition) % 100]["tries"] = tries;
  return json;
}

TEST_CASE("The texts of earlier versions are kept, and differences from each lead to the current one") {
  KnownVersions versions;
  CHECK(versions.current() == nullptr);
  CHECK_FALSE(versions.TextOf(0));
  std::vector<std::string> texts{""};
  for (std::uint64_t revision = 1; revision <= 10; ++revision) {
    const Json json = Large(static_cast<std::int64_t>(revision), 7);
    texts.push_back(json.dump());
    versions.Install(VersionOf(revision, json));
  }
  CHECK(versions.EarlierRevisions() == std::vector<std::uint64_t>{9, 8, 7, 6, 5, 4, 3, 2, 1});
  for (std::uint64_t revision = 1; revision <= 9; ++revision) {
    CHECK(versions.TextOf(revision) == texts[revision]);
    const VersionDelta* difference = versions.DifferenceFrom(revision);
    REQUIRE(difference != nullptr);
    CHECK(difference->base_revision == revision);
    const auto read = ReadPush(PushMessage(*versions.current(), difference).push(), texts[revision]);
    CHECK(read.fault == PushFault::kNone);
    CHECK(read.version.json == texts[10]);
  }
  CHECK(versions.TextOf(10) == texts[10]);
  CHECK(versions.DifferenceFrom(10) == nullptr);
  CHECK(versions.DifferenceFrom(11) == nullptr);
}

TEST_CASE("Earlier versions are bounded in number and in bytes") {
  KnownVersions many;
  for (std::uint64_t revision = 1; revision <= 50; ++revision)
    many.Install(VersionOf(revision, Large(static_cast<std::int64_t>(revision), 7)));
  CHECK(many.EarlierRevisions().size() == kMaxEarlierVersions);

  // The versions have no items in common, so each difference is about as long as the complete text.
  KnownVersions large;
  std::mt19937_64 random(1);
  for (std::uint64_t revision = 1; revision <= 10; ++revision) {
    Json json = SampleConfiguration(static_cast<std::int64_t>(revision));
    for (int i = 0; i < 100; ++i) {
      const std::string name = std::to_string(random());
      json["routes"].push_back(SampleRoute(name, "/" + name + "/"));
    }
    large.Install(VersionOf(revision, json));
  }
  CHECK(large.EarlierRevisions().size() >= 1);
  CHECK(large.EarlierRevisions().size() < 9);
  CHECK(large.DifferenceFrom(large.EarlierRevisions().front()) == nullptr);  // as long as the complete text
}

TEST_CASE("A version that was never installed is not known") {
  KnownVersions versions;
  versions.Install(VersionOf(3, Large(3, 7)));
  versions.Install(VersionOf(7, Large(7, 7)));
  CHECK(versions.HasEarlier(3));
  CHECK_FALSE(versions.HasEarlier(5));
  CHECK_FALSE(versions.TextOf(5));
  CHECK(versions.DifferenceFrom(5) == nullptr);
}

}  // namespace
}  // namespace lichenlug::configuration

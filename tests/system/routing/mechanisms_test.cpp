// The list of policy mechanisms that an experiment disables.
#include "base/mechanisms.h"

#include <catch2/catch.hpp>

namespace lichenlug {
namespace {

TEST_CASE("all mechanisms are enabled unless disabled by name", "[mechanisms]") {
  Mechanisms mechanisms;
  CHECK(mechanisms.Has(Mechanism::kPromptHomes));
  CHECK_FALSE(mechanisms.Disable("").has_value());
  CHECK(mechanisms == Mechanisms());
  CHECK_FALSE(mechanisms.Disable("prompt-homes,store-homes").has_value());
  CHECK_FALSE(mechanisms.Has(Mechanism::kPromptHomes));
  CHECK_FALSE(mechanisms.Has(Mechanism::kStoreHomes));
  CHECK(mechanisms.Has(Mechanism::kServerErrors));
}

TEST_CASE("an unknown mechanism name is reported", "[mechanisms]") {
  Mechanisms mechanisms;
  CHECK(mechanisms.Disable("prompt-homes,nothing") == "nothing");
  CHECK(mechanisms.Disable("x") == "x");
}

}  // namespace
}  // namespace lichenlug

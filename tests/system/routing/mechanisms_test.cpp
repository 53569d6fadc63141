// The list of parts of the policy that an experiment leaves out.
#include "base/mechanisms.h"

#include <catch2/catch.hpp>

namespace lichenlug {
namespace {

TEST_CASE("all mechanisms are on unless they are left out by name", "[mechanisms]") {
  Mechanisms mechanisms;
  CHECK(mechanisms.Has(Mechanism::kPromptHomes));
  CHECK_FALSE(mechanisms.Disable("").has_value());
  CHECK(mechanisms == Mechanisms());
  CHECK_FALSE(mechanisms.Disable("prompt-homes,store-homes").has_value());
  CHECK_FALSE(mechanisms.Has(Mechanism::kPromptHomes));
  CHECK_FALSE(mechanisms.Has(Mechanism::kStoreHomes));
  CHECK(mechanisms.Has(Mechanism::kServerErrors));
}

TEST_CASE("a name that there is not is told", "[mechanisms]") {
  Mechanisms mechanisms;
  CHECK(mechanisms.Disable("prompt-homes,nothing") == "nothing");
  CHECK(mechanisms.Disable("x") == "x");
}

}  // namespace
}  // namespace lichenlug

#include "delta/text_delta.h"

#include <catch2/catch.hpp>
#include <random>

namespace lichenlug::delta {
namespace {

constexpr std::size_t kNoLimit = 1 << 20;

void CheckRoundTrip(const std::string& base, const std::string& target) {
  INFO(base << " -> " << target);
  CHECK(ApplyDelta(base, MakeDelta(base, target), kNoLimit) == target);
}

TEST_CASE("A delta reproduces the target from the base") {
  for (const char* base : {"", "}", "{}", "abc", "{a}{b}{c}", "{a}{a}{a}x"}) {
    for (const char* target :
         {"", "}", "abc", "{a}{b}{c}", "{c}{b}{a}", "{a}x{b}{c}", "{a}{a}{a}{a}", "}}}{"}) {
      CheckRoundTrip(base, target);
    }
  }
}

TEST_CASE("A delta reproduces random texts") {
  std::mt19937 random(1);
  const auto text = [&] {
    std::string result(random() % 60, ' ');
    for (char& c : result) c = "ab{}"[random() % 4];
    return result;
  };
  for (int i = 0; i < 5000; ++i) CheckRoundTrip(text(), text());
}

TEST_CASE("A delta is short if little has changed") {
  std::string base, target;
  for (int i = 0; i < 1000; ++i) {
    const std::string item = "{\"name\":\"item-" + std::to_string(i) + "\",\"value\":12345},";
    base += item;
    if (i == 400) target += "{\"name\":\"new\"},";
    if (i != 700) target += item;
  }
  const auto delta = MakeDelta(base, target);
  CHECK(delta.ByteSizeLong() < 100);
  CHECK(ApplyDelta(base, delta, kNoLimit) == target);
}

TEST_CASE("A delta that exceeds its base or the size limit is rejected") {
  messages::TextDelta delta;
  auto* segment = delta.add_segments();
  segment->set_offset(2);
  segment->set_length(2);
  CHECK(ApplyDelta("abcd", delta, kNoLimit) == "cd");
  CHECK_FALSE(ApplyDelta("abc", delta, kNoLimit).has_value());
  CHECK_FALSE(ApplyDelta("a", delta, kNoLimit).has_value());
  CHECK_FALSE(ApplyDelta("abcd", delta, 1).has_value());
  segment->set_length(~std::uint64_t{0});
  CHECK_FALSE(ApplyDelta("abcd", delta, kNoLimit).has_value());
}

}  // namespace
}  // namespace lichenlug::delta

// Framing of event streams: the same events for any split of the bytes, and no byte changed.
#include "dataplane/event_stream.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace lichenlug::dataplane {
namespace {

struct ParseResult {
  std::vector<std::string> texts;
  std::vector<std::optional<std::uint64_t>> ids;
  std::vector<bool> fields;
  std::string rest;
  bool within_limit = true, ends_with_event = false;
};

ParseResult Feed(const std::vector<std::string>& pieces, std::size_t max_bytes = 1000) {
  EventStream stream(max_bytes);
  ParseResult result;
  for (const std::string& piece : pieces)
    result.within_limit = stream.Feed(piece, [&result](const EventStream::Event& event) {
      result.texts.emplace_back(event.text);
      result.ids.push_back(event.id);
      result.fields.push_back(event.has_field);
    }) && result.within_limit;
  result.rest = stream.rest();
  result.ends_with_event = stream.EndsWithEvent();
  return result;
}

std::vector<std::string> Split(const std::string& text, std::mt19937* random) {
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t size = 1 + (*random)() % 9;
    pieces.push_back(text.substr(at, size));
    at += size;
  }
  return pieces;
}

}  // namespace

TEST_CASE("Events end with a blank line, for LF and CR LF line endings") {
  const std::string end = GENERATE("\n", "\r\n");
  const std::string one = "id: 1" + end + "data: x" + end + end, two = "data: y" + end + "id:22" + end + end;
  const ParseResult result = Feed({one + two + "data: z"});
  CHECK(result.texts == std::vector<std::string>{one, two});
  CHECK(result.ids == std::vector<std::optional<std::uint64_t>>{1, 22});
  CHECK(result.rest == "data: z");
}

TEST_CASE("Lines that end with CR alone also end events") {
  const ParseResult result = Feed({"id: 1\rdata: x\r", "\r"});
  CHECK(result.texts == std::vector<std::string>{"id: 1\rdata: x\r\r"});
}

TEST_CASE("An id that is not an unsigned integer is ignored") {
  const std::string id =
      GENERATE("id: x", "id: 1x", "id:", "id: -1", "id:  1", "id: 99999999999999999999", "data: 1");
  CHECK(Feed({id + "\n\n"}).ids == std::vector<std::optional<std::uint64_t>>{std::nullopt});
}

TEST_CASE("Comments and blank lines do not count as fields") {
  CHECK(Feed({": c\n\n", "\n", "versions: 3\n\n"}).fields == std::vector<bool>{false, false, true});
}

TEST_CASE("A stream ends with an event if nothing but comments follows its blank line") {
  const std::string event = "id: 1\ndata: x\n\n";
  const std::string complete = GENERATE("", "\n", ": c\n", ": c\n\n");
  CHECK(Feed({event + complete}).ends_with_event);
  const std::string incomplete = GENERATE("id: 2", "id: 2\n", "id: 2\ndata: y\n", ": c", "i", "data: y\r");
  CHECK_FALSE(Feed({event + incomplete}).ends_with_event);
  CHECK_FALSE(Feed({complete}).ends_with_event);  // no event at all
}

TEST_CASE("An event beyond the size limit is reported") {
  CHECK(Feed({std::string(10, 'x')}, 10).within_limit);
  CHECK_FALSE(Feed({std::string(11, 'x')}, 10).within_limit);
  CHECK(Feed({std::string(8, 'x') + "\n\n" + std::string(8, 'x') + "\n\n"}, 10).within_limit);
}

TEST_CASE("Pieces of any size yield the same events and lose no byte") {
  std::mt19937 random(7);
  const std::vector<std::string> parts = {"id: 1", "id: 23", "data: x", ":c",          "\n",
                                          "\n",    "\r\n",   "\r\n",    "versions: 4", " "};
  for (int round = 0; round < 3000; ++round) {
    std::string text;
    for (std::size_t i = 0; i < 30; ++i) text += parts[random() % parts.size()];
    const ParseResult complete = Feed({text}), pieces = Feed(Split(text, &random));
    std::string joined;
    for (const std::string& event : pieces.texts) joined += event;
    REQUIRE(joined + pieces.rest == text);
    REQUIRE(pieces.ends_with_event == complete.ends_with_event);
    // If a piece ends with the CR of a blank line, the LF that follows forms an event without fields.
    std::vector<std::optional<std::uint64_t>> ids, whole_ids;
    for (const auto& id : pieces.ids)
      if (id) ids.push_back(id);
    for (const auto& id : complete.ids)
      if (id) whole_ids.push_back(id);
    REQUIRE(ids == whole_ids);
  }
}

}  // namespace lichenlug::dataplane

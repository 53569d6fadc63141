// Parsing the stream of a watch: chunks that end anywhere, objects on one line or indented.
#include "routes/news_lines.h"

#include <gtest/gtest.h>

#include <vector>

namespace lichenlug {
namespace {

struct Reader {
  JsonStreamSplitter lines;
  std::vector<std::string> objects;
  int beats = 0;
  bool Add(std::string_view bytes) {
    return lines.Add(bytes, [this](std::string_view object) {
      if (object.empty())
        ++beats;
      else
        objects.emplace_back(object);
      return true;
    });
  }
};

TEST(JsonStreamSplitter, ObjectsAndHeartbeatsInPiecesOfAnySize) {
  const std::string said = "\n{\"a\":\"x{\\\"\"}\r\n\n{\n  \"b\": [\n    1\n  ]\n}\n \n{}\n";
  for (std::size_t step = 1; step <= said.size(); ++step) {
    Reader reader;
    for (std::size_t at = 0; at < said.size(); at += step)
      ASSERT_TRUE(reader.Add(std::string_view(said).substr(at, step)));
    EXPECT_EQ(reader.objects,
              (std::vector<std::string>{"{\"a\":\"x{\\\"\"}\r", "{\n  \"b\": [\n    1\n  ]\n}", "{}"}));
    EXPECT_EQ(reader.beats, 3);
  }
}

TEST(JsonStreamSplitter, WhatBrokeOffInsideAnObjectIsNotWaitedForForEver) {
  EXPECT_FALSE(Reader().Add("{\"a\": [1,\n\n"));
  EXPECT_FALSE(Reader().Add("{\"a\": \"tex\n{}\n"));
  Reader endless;
  EXPECT_FALSE(endless.Add("{\"a\": \"" + std::string(JsonStreamSplitter::kMax, 'x')));
}

TEST(JsonStreamSplitter, WhatMakesNoObjectIsHandedOverAsItCame) {
  Reader reader;
  EXPECT_TRUE(reader.Add("}}\nsurely not\n{}\n"));
  EXPECT_EQ(reader.objects, (std::vector<std::string>{"}}", "surely not", "{}"}));
}

}  // namespace
}  // namespace lichenlug

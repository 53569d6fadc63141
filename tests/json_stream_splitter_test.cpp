// Parsing the stream of a watch: chunks that end anywhere, objects on one line or indented.
#include "routes/json_stream_splitter.h"

#include <gtest/gtest.h>

#include <vector>

namespace lichenlug {
namespace {

struct Reader {
  JsonStreamSplitter lines;
  std::vector<std::string> objects;
  int heartbeats = 0;
  bool Add(std::string_view bytes) {
    return lines.Add(bytes, [this](std::string_view object) {
      if (object.empty())
        ++heartbeats;
      else
        objects.emplace_back(object);
      return true;
    });
  }
};

TEST(JsonStreamSplitter, ObjectsAndHeartbeatsInChunksOfAnySize) {
  const std::string stream = "\n{\"a\":\"x{\\\"\"}\r\n\n{\n  \"b\": [\n    1\n  ]\n}\n \n{}\n";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    Reader reader;
    for (std::size_t at = 0; at < stream.size(); at += step)
      ASSERT_TRUE(reader.Add(std::string_view(stream).substr(at, step)));
    EXPECT_EQ(reader.objects,
              (std::vector<std::string>{"{\"a\":\"x{\\\"\"}\r", "{\n  \"b\": [\n    1\n  ]\n}", "{}"}));
    EXPECT_EQ(reader.heartbeats, 3);
  }
}

TEST(JsonStreamSplitter, RejectsUnfinishedAndOversizedObjects) {
  EXPECT_FALSE(Reader().Add("{\"a\": [1,\n\n"));
  EXPECT_FALSE(Reader().Add("{\"a\": \"tex\n{}\n"));
  Reader oversized;
  EXPECT_FALSE(oversized.Add("{\"a\": \"" + std::string(JsonStreamSplitter::kMaxObjectSize, 'x')));
}

TEST(JsonStreamSplitter, PassesMalformedLinesThrough) {
  Reader reader;
  EXPECT_TRUE(reader.Add("}}\nsurely not\n{}\n"));
  EXPECT_EQ(reader.objects, (std::vector<std::string>{"}}", "surely not", "{}"}));
}

}  // namespace
}  // namespace lichenlug

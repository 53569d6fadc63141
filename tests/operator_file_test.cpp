// The operator's file: what is wrong is told with its place and what can be done about it.
#include "operate/operator_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

namespace lichenlug {
namespace {

struct File {
  explicit File(const std::string& text) {
    close(mkstemp(path));
    std::ofstream(path) << text;
  }
  ~File() { unlink(path); }
  char path[32] = "/tmp/lichenlug-test-XXXXXX";
};

OperatorFileError ErrorOf(const std::string& text, const std::string& place) {
  const File file(text);
  const auto read = ReadOperatorFile(file.path);
  EXPECT_FALSE(read.has_value()) << text;
  if (read) return {};
  EXPECT_TRUE(read.error().place.ends_with(place)) << read.error().Text();
  EXPECT_FALSE(read.error().remedy.empty());
  EXPECT_EQ(read.error().Text().find('\n'), std::string::npos);
  return read.error().kind;
}

TEST(OperatorFile, SwitchesMembership) {
  EXPECT_TRUE(ReadOperatorFile(File("[peers]\nmembership = true\n").path)->membership);
  EXPECT_FALSE(ReadOperatorFile(File("# nothing yet\n").path)->membership);
}

TEST(OperatorFile, FaultsNameTheirLine) {
  EXPECT_EQ(ErrorOf("[peers]\n\nmembership = \"yes\"\n", ":3: peers.membership"),
            OperatorFileError::kWrongType);
  EXPECT_EQ(ErrorOf("[peers]\nmenbership = true\n", ":2: peers.menbership"), OperatorFileError::kUnknownKey);
  EXPECT_EQ(ErrorOf("[gossip]\non = true\n", ":1: gossip"), OperatorFileError::kUnknownKey);
  EXPECT_EQ(ErrorOf("[peers]\nmembership = tr", ":2"), OperatorFileError::kMalformed);
  EXPECT_EQ(ReadOperatorFile("/nowhere/operator.toml").error().kind, OperatorFileError::kCannotRead);
}

}  // namespace
}  // namespace lichenlug

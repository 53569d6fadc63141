#include "operate/operator_file.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace lichenlug {
namespace {

using Error = OperatorFileError;
using Failed = tl::unexpected<Fault<Error>>;

std::string Place(const std::string& path, const toml::source_region& at, const std::string& key = "") {
  return path + ":" + std::to_string(at.begin.line) + (key.empty() ? "" : ": " + key);
}

}  // namespace

tl::expected<OperatorFile, Fault<Error>> ReadOperatorFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    return Failed({Error::kCannotRead, path, "cannot be read or is empty",
                   "name a file that this user may read, or leave --operator out"});
  OperatorFile found;
  try {
    const toml::table root = toml::parse(text.str(), path);
    for (const auto& [section, node] : root) {
      const std::string name(section.str());
      const toml::table* table = node.as_table();
      if (name != "peers" || table == nullptr)
        return Failed({Error::kUnknownKey, Place(path, node.source(), name), "no such section",
                       "the sections are: [peers]"});
      for (const auto& [key, value] : *table) {
        const std::string full = name + "." + std::string(key.str());
        if (key != "membership")
          return Failed({Error::kUnknownKey, Place(path, value.source(), full), "no such key",
                         "the keys of [peers] are: membership"});
        const auto flag = value.as_boolean();
        if (flag == nullptr)
          return Failed({Error::kWrongType, Place(path, value.source(), full), "true or false expected",
                         "write it without quotes"});
        found.membership = flag->get();
      }
    }
  } catch (const toml::parse_error& e) {
    return Failed(
        {Error::kMalformed, Place(path, e.source()), std::string(e.description()), "mend this line"});
  }
  return found;
}

}  // namespace lichenlug

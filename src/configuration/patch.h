// The operator's patch: named items to add or to replace, and names of items to remove, in any of the lists
// at the top level of a configuration. It is applied to the text, so that all other values keep their
// exact text, including fields unknown to this program.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/configuration.h"

namespace lichenlug::configuration {

struct NamedItem {
  std::string name;
  std::string_view text;
};
struct ListChange {
  std::string list;
  std::vector<NamedItem> upserts;
  std::vector<std::string> removals;
};
struct Patch {  // its views point into the text that it was parsed from
  std::string_view edition;
  std::vector<ListChange> lists;
};

std::variant<Patch, Problem> ReadPatch(std::string_view text);

// Returns the changed text. `json` must be a valid object; missing lists are added. Removing an item that
// doesn't exist has no effect; an item that is both removed and upserted is present in the result.
std::variant<std::string, Problem> ApplyPatch(std::string_view json, const Patch& patch);

}  // namespace lichenlug::configuration

// A patch of the operator: named items to add or to replace, and names of items to remove, in any of the
// lists at the top level of a configuration. Works on the text, so that whatever is not named stays as it was
// written, fields unknown to this program too.
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
struct Patch {  // its texts point into the one that it was read from
  std::string_view edition;
  std::vector<ListChange> lists;
};

std::variant<Patch, Problem> ReadPatch(std::string_view text);

// The changed text. `json` is an object that is known to be valid; a list that it lacks is added. Removing
// what is not there changes nothing; what is both removed and given is there in the end.
std::variant<std::string, Problem> ApplyPatch(std::string_view json, const Patch& patch);

}  // namespace lichenlug::configuration

// How a Problem names the place in the configuration that it refers to.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lichenlug::configuration {

inline constexpr std::string_view kTopLevel = "the top level";

// "routes[3] (r-abc)"; without the parentheses if the item has no name.
inline std::string PlaceInList(std::string_view list, std::ptrdiff_t index, std::string_view name) {
  std::string place(list);
  place += '[' + std::to_string(index) + ']';
  if (!name.empty()) place.append(" (").append(name).append(")");
  return place;
}

}  // namespace lichenlug::configuration

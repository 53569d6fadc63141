// The records of the founding in a store, beside those of the registers.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "messages/generated/founding.pb.h"

namespace lichenlug::node {

inline constexpr const char* kFoundingKey = "system/founding";

// Takes the records of the founding out of all those of a store, by key. Without a founding where there is
// none, or none that can be read.
messages::FoundingRecord TakeFoundingRecord(std::vector<std::pair<std::string, std::string>>* records);

}  // namespace lichenlug::node

// The founding record in a store, which is kept next to the records of the registers.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "messages/generated/founding.pb.h"

namespace lichenlug::node {

inline constexpr const char* kFoundingKey = "system/founding";

// Removes the founding records from the records of a store (pairs of key and value) and returns the newest.
// The result has no founding if there is no such record, or none that can be parsed.
messages::FoundingRecord ExtractFoundingRecord(std::vector<std::pair<std::string, std::string>>* records);

}  // namespace lichenlug::node

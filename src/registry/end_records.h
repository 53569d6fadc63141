// The stored form of runners' announced ends, which are kept next to the records of the registers.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::registry {

std::string EndKey(const std::string& runner_id);

// `end` contains the time since the end, which is stored as Unix time, as the steady clock of the next
// process may begin anew. `wall_now`: Unix time.
std::string EndValue(const messages::RunnerRecord& end, Time wall_now);

struct StoredEnds {
  std::vector<messages::RunnerRecord> ends;  // with the time since each
  std::vector<std::string> unreadable_keys;
};
// Removes the ends from the records of a store (pairs of key and value).
StoredEnds ExtractEnds(std::vector<std::pair<std::string, std::string>>* records, Time wall_now);

}  // namespace lichenlug::registry

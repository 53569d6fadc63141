#include "duties/usage_codec.h"

#include <nlohmann/json.hpp>

namespace lichenlug::duties {

const char* const kUsagePath = "/usage";

std::string WriteUsage(const messages::WindowCount& tally) {
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& entry : tally.counts()) counts[entry.tenant()] = entry.count();
  const nlohmann::json body = {{"window_no", tally.window()}, {"tallies", std::move(counts)}};
  // A tenant name that is not valid UTF-8 must not prevent the report.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace lichenlug::duties

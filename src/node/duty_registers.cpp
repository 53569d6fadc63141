#include "node/duty_registers.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lichenlug::node {

std::string ShardRegister(const std::string& service) {
  const auto shard = XXH64(service.data(), service.size(), 0) % kServiceShards;
  return "duties/shard-" + std::to_string(shard);
}

std::string UsageRegister() { return "duties/usage"; }

std::vector<std::string> AllDutyRegisters() {
  std::vector<std::string> names{UsageRegister()};
  for (int shard = 0; shard < kServiceShards; ++shard)
    names.push_back("duties/shard-" + std::to_string(shard));
  return names;
}

}  // namespace lichenlug::node

// The names of the registers that hold the owner of each duty.
#pragma once

#include <string>
#include <vector>

namespace lichenlug::node {

inline constexpr int kServiceShards = 4;  // a service's shard is a hash of its name

std::string ShardRegister(const std::string& service);
std::string UsageRegister();
std::vector<std::string> AllDutyRegisters();

}  // namespace lichenlug::node

// The registers in which the owners of duties are chosen.
#pragma once

#include <string>
#include <vector>

namespace lichenlug::node {

inline constexpr int kServiceShards = 4;  // by a hash of the service's name

std::string ShardRegister(const std::string& service);
std::string UsageRegister();
std::vector<std::string> AllDutyRegisters();

}  // namespace lichenlug::node

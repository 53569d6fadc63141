// The order in which dispatchers take a duty: by a hash of the register and the name, the same in every
// build.
#pragma once

#include <string>
#include <vector>

#include "cluster/member.h"

namespace lichenlug::duties {

// The live members that may hold the duties of a register, first one first: those with a store, or all where
// none has one.
std::vector<Member> AgreedOrder(const std::string& register_name, const std::vector<Member>& live);

}  // namespace lichenlug::duties

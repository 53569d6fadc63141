// The order in which dispatchers become candidates for a duty: ready ones first, then by a hash of the
// register and the member's name, which is the same in every build.
#pragma once

#include <string>
#include <vector>

#include "cluster/member.h"

namespace lichenlug::duties {

// The live members that may hold the duties of a register, in order of preference: those with a store, or all
// if none has one.
std::vector<Member> AgreedOrder(const std::string& register_name, const std::vector<Member>& live);

}  // namespace lichenlug::duties

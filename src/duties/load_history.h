// How many loads from the weight store an owner may have begun of late, as a register of duties tells it, and
// what a dispatcher that takes over has to assume.
#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

// As far as anybody else can know `elapsed` after a renewal was seen: its loads are that much older; what it
// allowed, and what was not settled, may begin until now.
void AgeLoads(Time elapsed, messages::LoadHistory* history);

// Replaces the histories of the services that are told; those of others stay, and look younger than they are.
void ReplaceLoads(const std::vector<messages::LoadHistory>& told, messages::OwnershipState* state);

// Null where the state tells nothing of the service.
const messages::LoadHistory* FindLoads(const messages::OwnershipState& state, const std::string& service);

}  // namespace lichenlug::duties

// How many loads from the weight store an owner may have started recently, as recorded in a register of
// duties, and what a dispatcher that takes over has to assume.
#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

// Advances a history to `elapsed` after its renewal was seen, as far as another dispatcher can know: its
// loads are that much older, and the loads that it allowed or that were not settled may have started as late
// as now.
void AgeLoads(Time elapsed, messages::LoadHistory* history);

// Replaces the histories of the given services. Those of other services stay unchanged, so their loads appear
// more recent than they are.
void ReplaceLoads(const std::vector<messages::LoadHistory>& updates, messages::OwnershipState* state);

// Null if the state has no history of the service.
const messages::LoadHistory* FindLoads(const messages::OwnershipState& state, const std::string& service);

}  // namespace lichenlug::duties

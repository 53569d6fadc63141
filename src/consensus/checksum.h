// The checksum of a message of the register: binds its parts to one another, so that what was altered on the
// way, or put together from two messages, is dropped. No protection from a forger.
#pragma once

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

void SetChecksum(messages::RegisterMessage* message);
bool HasRightChecksum(const messages::RegisterMessage& message);

}  // namespace lichenlug::consensus

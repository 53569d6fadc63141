// Checksum of a register message. It covers all parts, so that a message that was corrupted in transit or
// mixed from two messages is dropped. It does not protect against forgery.
#pragma once

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

void SetChecksum(messages::RegisterMessage* message);
bool HasRightChecksum(const messages::RegisterMessage& message);

}  // namespace lichenlug::consensus

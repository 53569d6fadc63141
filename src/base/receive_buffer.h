// The system's receive buffers: unread bytes use memory, too.
#pragma once

#include <cstddef>

namespace lichenlug {

// Bounds the receive buffers of the connections that a listening socket accepts. Where the system can't,
// nothing changes.
void BoundReceiveBuffers(int listening_descriptor, std::size_t bytes);

}  // namespace lichenlug

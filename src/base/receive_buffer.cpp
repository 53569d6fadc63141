#include "base/receive_buffer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lichenlug {
namespace {

// A peer whose segments are as large as the buffer would wait for it to become empty, on loopback above all.
constexpr std::size_t kSegmentsInBuffer = 8;

}  // namespace

void BoundReceiveBuffers(int listening_descriptor, std::size_t bytes) {
  const int buffer = static_cast<int>(bytes), segment = static_cast<int>(bytes / kSegmentsInBuffer);
  ::setsockopt(listening_descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  ::setsockopt(listening_descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
}

}  // namespace lichenlug

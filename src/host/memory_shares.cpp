#include "host/memory_shares.h"

#include <algorithm>

namespace lichenlug::host {
namespace {

constexpr std::size_t kMaxReadyBody = 1024;
constexpr std::size_t kMaxControlBody = 16u << 20;
constexpr std::size_t kControlMemoryDivisor = 8, kReadyMemoryDivisor = 64, kMessageMemoryDivisor = 8;
constexpr std::size_t kControlReceiveBuffer = 32 * 1024, kReadyReceiveBuffer = 16 * 1024;
// Without clients, most descriptors are for the runners that report here.
constexpr std::size_t kControlDescriptorsDivisor = 8, kControlDescriptorsDivisorWithoutClients = 2;
constexpr std::size_t kInternalDescriptorsDivisor = 4;
constexpr std::size_t kReadyConnections = 32;
constexpr std::size_t kMinConnections = 16, kMaxInternalConnections = 1024;

}  // namespace

MemoryShares SharesOf(const node::NodeSettings& settings) {
  const auto memory = static_cast<std::size_t>(settings.memory_mb * (1u << 20));
  const auto descriptors = static_cast<std::size_t>(std::max(0, settings.descriptors));
  MemoryShares shares;
  shares.control.max_held_bytes = memory / kControlMemoryDivisor;
  shares.control.max_body_bytes = std::min(kMaxControlBody, shares.control.max_held_bytes);
  const std::size_t divisor =
      settings.front_address.empty() ? kControlDescriptorsDivisorWithoutClients : kControlDescriptorsDivisor;
  shares.control.max_connections = std::max(kMinConnections, descriptors / divisor);
  shares.control.receive_buffer_bytes = kControlReceiveBuffer;
  shares.ready.max_held_bytes = memory / kReadyMemoryDivisor;
  shares.ready.max_body_bytes = kMaxReadyBody;
  shares.ready.max_connections = kReadyConnections;
  shares.ready.receive_buffer_bytes = kReadyReceiveBuffer;
  shares.unfinished_message_bytes = memory / kMessageMemoryDivisor;
  shares.internal_connections =
      std::clamp(descriptors / kInternalDescriptorsDivisor, kMinConnections, kMaxInternalConnections);
  return shares;
}

}  // namespace lichenlug::host

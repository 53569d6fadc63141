#include "transport/frame.h"

#include <array>
#include <cstdint>

namespace lichenlug::transport {
namespace {

std::size_t BodySize(std::span<const std::byte> header) {
  std::size_t size = 0;
  for (const std::byte byte : header.first(kFrameHeaderBytes))
    size = size << 8 | std::to_integer<std::size_t>(byte);
  return size;
}

}  // namespace

void AppendFrame(const messages::Envelope& envelope, std::string* bytes) {
  const std::size_t size = envelope.ByteSizeLong();
  for (int shift = 24; shift >= 0; shift -= 8) bytes->push_back(static_cast<char>(size >> shift & 0xff));
  const std::size_t body = bytes->size();
  bytes->resize(body + size);
  envelope.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(bytes->data() + body));
}

bool FrameReader::Read(std::span<const std::byte> bytes, const Take& take) {
  if (too_long_) return false;
  if (pending_.empty()) {
    const auto rest = TakeWhole(bytes, take);
    pending_.assign(reinterpret_cast<const char*>(rest.data()), rest.size());
  } else {
    pending_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    const auto rest = TakeWhole(std::as_bytes(std::span(pending_)), take);
    pending_ = std::string(reinterpret_cast<const char*>(rest.data()), rest.size());
  }
  return !too_long_;
}

std::span<const std::byte> FrameReader::TakeWhole(std::span<const std::byte> bytes, const Take& take) {
  while (bytes.size() >= kFrameHeaderBytes) {
    const std::size_t size = BodySize(bytes);
    if (size > longest_frame_) {
      too_long_ = true;
      return {};
    }
    if (bytes.size() - kFrameHeaderBytes < size) break;
    take(bytes.subspan(kFrameHeaderBytes, size));
    bytes = bytes.subspan(kFrameHeaderBytes + size);
  }
  return bytes;
}

}  // namespace lichenlug::transport

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

bool FrameReader::Read(std::span<const std::byte> bytes, const OnFrame& on_frame) {
  if (oversized_) return false;
  if (pending_.empty()) {
    const auto rest = ExtractFrames(bytes, on_frame);
    pending_.assign(reinterpret_cast<const char*>(rest.data()), rest.size());
  } else {
    pending_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    const auto rest = ExtractFrames(std::as_bytes(std::span(pending_)), on_frame);
    // Copied only if a frame was extracted: a large frame arrives in many parts.
    if (rest.size() < pending_.size())
      std::string(reinterpret_cast<const char*>(rest.data()), rest.size()).swap(pending_);
  }
  return !oversized_;
}

std::span<const std::byte> FrameReader::ExtractFrames(std::span<const std::byte> bytes,
                                                      const OnFrame& on_frame) {
  while (bytes.size() >= kFrameHeaderBytes) {
    const std::size_t size = BodySize(bytes);
    if (size > max_frame_bytes_) {
      oversized_ = true;
      return {};
    }
    if (bytes.size() - kFrameHeaderBytes < size) break;
    on_frame(bytes.subspan(kFrameHeaderBytes, size));
    bytes = bytes.subspan(kFrameHeaderBytes + size);
  }
  return bytes;
}

}  // namespace lichenlug::transport

// Framing of envelopes on a TCP connection: a four-byte big-endian length, then the serialized envelope.
#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>

#include "messages/generated/envelope.pb.h"

namespace lichenlug::transport {

inline constexpr std::size_t kFrameHeaderBytes = 4;

void AppendFrame(const messages::Envelope& envelope, std::string* bytes);

// Splits the byte stream of one connection into frames.
class FrameReader {
 public:
  using OnFrame = std::function<void(std::span<const std::byte>)>;

  explicit FrameReader(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}

  // Calls `on_frame` with the body of each complete frame. Returns false after a frame above the size limit:
  // nothing after it can be read, so the connection must be closed.
  [[nodiscard]] bool Read(std::span<const std::byte> bytes, const OnFrame& on_frame);

  std::size_t unfinished_bytes() const { return pending_.size(); }

 private:
  // Returns the bytes after the last complete frame; empty after a frame above the size limit.
  std::span<const std::byte> ExtractFrames(std::span<const std::byte> bytes, const OnFrame& on_frame);

  const std::size_t max_frame_bytes_;
  std::string pending_;  // an incomplete frame
  bool oversized_ = false;
};

}  // namespace lichenlug::transport

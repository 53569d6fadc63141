// Framing of envelopes on a TCP connection: four bytes of length, most significant first, then the envelope.
#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>

#include "messages/generated/envelope.pb.h"

namespace lichenlug::transport {

inline constexpr std::size_t kFrameHeaderBytes = 4;

void AppendFrame(const messages::Envelope& envelope, std::string* bytes);

// Cuts the bytes of one connection into frames.
class FrameReader {
 public:
  using Take = std::function<void(std::span<const std::byte>)>;

  explicit FrameReader(std::size_t longest_frame) : longest_frame_(longest_frame) {}

  // Calls `take` with the body of each frame that is whole now. False if a frame is longer than the longest
  // allowed: nothing after it can be read, so the connection has to be closed.
  [[nodiscard]] bool Read(std::span<const std::byte> bytes, const Take& take);

 private:
  // Returns the bytes behind the last whole frame, or nothing after a frame that is too long.
  std::span<const std::byte> TakeWhole(std::span<const std::byte> bytes, const Take& take);

  const std::size_t longest_frame_;
  std::string pending_;  // the beginning of a frame
  bool too_long_ = false;
};

}  // namespace lichenlug::transport

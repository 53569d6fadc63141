// Reading of frames that are split at any byte, and of lengths above the limit.
#include "transport/frame.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lichenlug::transport {
namespace {

std::string ThreeFrames() {
  std::string bytes;
  for (const std::uint64_t number : {1u, 2u, 3u}) {
    messages::Envelope envelope;
    envelope.mutable_consensus()->set_operation(number);
    envelope.mutable_consensus()->set_register_name(std::string(100 * number, 'x'));
    AppendFrame(envelope, &bytes);
  }
  return bytes;
}

struct Reading {
  bool readable = true;
  std::vector<std::uint64_t> operations;
};

Reading ReadPieces(const std::vector<std::string>& pieces, std::size_t max_bytes) {
  FrameReader reader(max_bytes);
  Reading reading;
  for (const std::string& piece : pieces) {
    reading.readable = reader.Read(std::as_bytes(std::span(piece)), [&](std::span<const std::byte> body) {
      messages::Envelope envelope;
      REQUIRE(envelope.ParseFromArray(body.data(), static_cast<int>(body.size())));
      reading.operations.push_back(envelope.consensus().operation());
    });
  }
  return reading;
}

TEST_CASE("Frames are reassembled wherever the byte stream is split") {
  const std::string bytes = ThreeFrames();
  for (std::size_t first = 0; first <= bytes.size(); ++first) {
    for (std::size_t second = first; second <= bytes.size(); second += 7) {
      const auto reading = ReadPieces(
          {bytes.substr(0, first), bytes.substr(first, second - first), bytes.substr(second)}, 4096);
      REQUIRE(reading.readable);
      REQUIRE(reading.operations == std::vector<std::uint64_t>{1, 2, 3});
    }
  }
}

TEST_CASE("A frame above the size limit stops the reader, and nothing after it is accepted") {
  const std::string bytes = ThreeFrames();
  const auto reading = ReadPieces({bytes, ThreeFrames()}, 150);  // the second frame is longer
  CHECK_FALSE(reading.readable);
  CHECK(reading.operations == std::vector<std::uint64_t>{1});
}

TEST_CASE("A frame with an empty body is valid") {
  FrameReader reader(16);
  std::size_t frames = 0;
  const std::string empty(kFrameHeaderBytes, '\0');
  CHECK(reader.Read(std::as_bytes(std::span(empty)), [&](std::span<const std::byte> body) {
    CHECK(body.empty());
    ++frames;
  }));
  CHECK(frames == 1);
}

}  // namespace
}  // namespace lichenlug::transport

// Heads of answers to clients: of the data plane's own, and of runners' without what concerned the connection
// to the runner. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/http_connection.h"

namespace lichenlug::dataplane {

enum class Framing {
  kLength,   // Content-Length as given
  kChunked,  // of unknown length
  kNone,     // no body and no word of its length
};

// What the head says of the connection to the client.
struct Persistence {
  bool close = false;
  Time idle = 0;  // how long it may rest before the next request
};

// A runner's head in the client's connection. `length` counts with kLength only.
std::string FormatAnswerHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                             const Persistence& persistence);

// An answer of the data plane itself, whole: a one-line body.
std::string FormatOwnAnswer(int status, std::string_view line, std::optional<Time> retry_after,
                            const Persistence& persistence);

void AppendChunk(std::string_view bytes, std::string* out);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace lichenlug::dataplane

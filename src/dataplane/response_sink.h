// The interface through which an exchange writes its response to the client.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "dataplane/response.h"

namespace lichenlug::dataplane {

class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Each of the next three calls ends the exchange.
  virtual void SendLocalResponse(int status, std::string_view line, std::optional<Time> retry_after) = 0;
  virtual void EndResponse() = 0;  // the response is complete
  virtual void Abort() = 0;        // closes the connection, so that a truncated response can't look complete

  virtual void SendHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                        std::string_view body) = 0;    // `body`: the first bytes of the body, framed
  virtual void SendBody(std::string_view framed) = 0;  // body bytes including the framing
  virtual std::size_t unsent() const = 0;              // bytes buffered until the client reads them
};

}  // namespace lichenlug::dataplane

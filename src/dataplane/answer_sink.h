// The client's end of an exchange, as the exchange sees it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "dataplane/answer.h"

namespace lichenlug::dataplane {

class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  // Each of these three ends the exchange.
  virtual void SendOwn(int status, std::string_view line, std::optional<Time> retry_after) = 0;
  virtual void EndAnswer() = 0;  // what was sent is whole
  virtual void Abort() = 0;      // closes, so that what was sent can't look whole

  virtual void SendHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                        std::string_view body) = 0;    // with the first bytes of its body, framed
  virtual void SendBody(std::string_view framed) = 0;  // bytes with their framing
  virtual std::size_t unsent() const = 0;              // kept until the client takes them
};

}  // namespace lichenlug::dataplane

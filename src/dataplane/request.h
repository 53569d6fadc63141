// A client request: parses its head and formats the head that is sent to a runner instead. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "net/http_connection.h"

namespace lichenlug::dataplane {

struct Request {
  HttpMessage message;  // with the complete body; header names as sent by the client
  std::string host;
  std::string attempt_id;
  std::string authorization;              // empty: none
  std::optional<Time> timeout;            // how long the client waits; none: not stated
  std::string model, adapter;             // empty: none
  std::vector<std::string> prompt_parts;  // ids of the parts of the prompt, in order
  double prompt_tokens = 0;
  double output_tokens = 0;   // upper bound
  std::string last_event_id;  // empty: none

  bool IsHead() const { return message.method == "HEAD"; }
};

struct RequestError {
  int status = 400;
  std::string message;  // one line, for the response body
};

std::variant<Request, RequestError> ParseRequest(HttpMessage message);

// Values that the data plane adds to the request head for a runner.
struct AttemptHeaders {
  std::string_view runner_id;
  std::string_view tenant;  // empty: anonymous
  Time time_left = 0;       // until the deadline
  int priority = 5;
  std::string_view last_event_id;  // where a stream is resumed; empty: as sent by the client
};

// The head including the empty line. The body is sent unchanged.
std::string FormatRequestHead(const Request& request, const AttemptHeaders& added_headers);

// Whether a header is hop-by-hop. `connection` is the value of the message's Connection header.
bool IsHopByHop(std::string_view name, std::string_view connection);

// All values of a header, joined with commas.
std::string JoinHeaderValues(const HttpMessage& message, std::string_view name);

}  // namespace lichenlug::dataplane

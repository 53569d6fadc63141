// A client's request: what is read from its head, and the head that goes to a runner in its place. Pure.
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
  HttpMessage message;  // with its whole body; header names as the client wrote them
  std::string host;
  std::string attempt_id;
  std::string authorization;              // empty: none
  std::optional<Time> timeout;            // how long the client waits
  std::string model, adapter;             // empty: none
  std::vector<std::string> prompt_parts;  // ids of the parts of the prompt, in order
  double prompt_tokens = 0;
  double output_tokens = 0;   // at most
  std::string last_event_id;  // empty: none

  bool IsHead() const { return message.method == "HEAD"; }
};

struct RequestFault {
  int status = 400;
  std::string message;  // one line
};

std::variant<Request, RequestFault> ParseRequest(HttpMessage message);

// What is told to a runner beside the client's own words.
struct AttemptWords {
  std::string_view runner_id;
  std::string_view tenant;  // empty: anonymous
  Time left = 0;            // until the deadline
  int priority = 5;
  std::string_view last_event_id;  // where an answer is taken up again; empty: as the client said
};

// The head with its empty line. The body follows unchanged.
std::string FormatRequestHead(const Request& request, const AttemptWords& words);

// Whether a header concerns one connection only. `connection` is the value of the message's Connection
// header.
bool IsHopByHop(std::string_view name, std::string_view connection);

// All values of a header, joined as one list.
std::string JoinedHeader(const HttpMessage& message, std::string_view name);

}  // namespace lichenlug::dataplane

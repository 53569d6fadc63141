// A control request from the operator, a runner or the platform to this dispatcher, and the response.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lichenlug::node {

struct ControlRequest {
  std::string method;
  std::string path;      // without the query
  std::string if_match;  // value of the If-Match header; empty if absent
  std::string body;
};

struct ControlResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

inline ControlResponse PlainStatus(int status) {  // without a body
  ControlResponse response;
  response.status = status;
  return response;
}

// Sends the response to one request, now or later; must be called exactly once.
using Respond = std::function<void(ControlResponse)>;

}  // namespace lichenlug::node

// A call of the operator, a runner or the platform to this dispatcher, and its answer.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lichenlug::node {

struct ControlRequest {
  std::string method;
  std::string path;      // without the query
  std::string if_match;  // of the header; empty: absent
  std::string body;
};

struct ControlResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

inline ControlResponse PlainStatus(int status) {  // with no body
  ControlResponse response;
  response.status = status;
  return response;
}

// Answers one request, now or later, exactly once.
using Respond = std::function<void(ControlResponse)>;

}  // namespace lichenlug::node

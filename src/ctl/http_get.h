// One GET by HTTP, blocking, with a time limit for each step.
#pragma once

#include <string>

namespace lichenlug::ctl {

struct HttpAnswer {
  int status = 0;     // 0: no answer
  std::string body;   // with a status
  std::string error;  // without
};

// `address` is "ip:port".
HttpAnswer HttpGet(const std::string& address, const std::string& path);

}  // namespace lichenlug::ctl

// Blocking HTTP GET with a timeout.
#pragma once

#include <string>

namespace lichenlug::ctl {

struct HttpResponse {
  int status = 0;     // 0: no response
  std::string body;   // if status is not 0
  std::string error;  // if status is 0
};

// `address` is "ip:port".
HttpResponse HttpGet(const std::string& address, const std::string& path);

}  // namespace lichenlug::ctl

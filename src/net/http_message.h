// An HTTP/1.1 message and its serialization.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lichenlug {

struct HttpMessage {
  std::string method, target, body;
  int status = 0;
  bool keep_alive = true;
  int minor_version = 1;     // of HTTP/1
  bool has_length = false;   // the head announces a body: with its length or chunked
  std::uint64_t length = 0;  // the Content-Length; 0 for a chunked body
  std::vector<std::pair<std::string, std::string>> headers;  // lower-case names, unless keep_name_case is set

  const std::string* Header(std::string_view name) const;  // case-insensitive; null if absent
};

std::size_t MemoryOfHeaders(const HttpMessage& message);  // of their list, without long names and values

std::string LowerCase(std::string text);                      // ASCII only
bool SameName(std::string_view one, std::string_view other);  // compares header names, ignoring case

std::string FormatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body);
std::string FormatResponse(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                           std::string_view body, bool keep_alive);

}  // namespace lichenlug

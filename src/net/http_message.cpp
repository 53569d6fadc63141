#include "net/http_message.h"

#include <http_parser.h>

#include <algorithm>

namespace lichenlug {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

void AppendHeaders(const std::vector<std::pair<std::string, std::string>>& headers, std::string* out) {
  for (const auto& [name, value] : headers) out->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ToLower);
  return text;
}

bool SameName(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char a, char b) { return a == b || ToLower(a) == ToLower(b); });
}

std::size_t MemoryOfHeaders(const HttpMessage& message) {
  return message.headers.capacity() * sizeof(message.headers[0]);
}

const std::string* HttpMessage::Header(std::string_view name) const {
  for (const auto& [header_name, value] : headers)
    if (SameName(header_name, name)) return &value;
  return nullptr;
}

std::string FormatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  AppendHeaders(headers, &out);
  if (!body.empty() || method == "POST")
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append("\r\n").append(body);
}

std::string FormatResponse(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                           std::string_view body, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(http_status_str(static_cast<http_status>(status))).append("\r\n");
  AppendHeaders(headers, &out);
  if (!keep_alive) out.append("Connection: close\r\n");
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

}  // namespace lichenlug

#include "dataplane/response.h"

#include <cstdio>

#include "dataplane/header_names.h"
#include "dataplane/request.h"

namespace lichenlug::dataplane {
namespace {

void AppendStatusLine(int status, std::string* out) {
  out->append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out->append(http_status_str(static_cast<http_status>(status))).append("\r\n");
}

void AppendHeader(std::string_view name, std::string_view value, std::string* out) {
  out->append(name).append(": ").append(value).append("\r\n");
}

void AppendPersistence(const Persistence& persistence, std::string* out) {
  if (persistence.close) return AppendHeader(header::kConnection, "close", out);
  const Time seconds = persistence.idle / kSecond;
  if (seconds > 0) AppendHeader(header::kKeepAlive, "timeout=" + std::to_string(seconds), out);
}

}  // namespace

std::string FormatResponseHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                               const Persistence& persistence) {
  const std::string connection = JoinHeaderValues(head, header::kConnection);
  std::string out;
  out.reserve(512);
  AppendStatusLine(head.status, &out);
  for (const auto& [name, value] : head.headers)
    if (!IsHopByHop(name, connection) && !SameName(name, header::kContentLength))
      AppendHeader(name, value, &out);
  AppendPersistence(persistence, &out);
  if (framing == Framing::kLength) AppendHeader(header::kContentLength, std::to_string(length), &out);
  if (framing == Framing::kChunked) AppendHeader(header::kTransferEncoding, "chunked", &out);
  return out.append("\r\n");
}

std::string FormatLocalResponse(int status, std::string_view line, std::optional<Time> retry_after,
                                const Persistence& persistence) {
  std::string out;
  AppendStatusLine(status, &out);
  AppendHeader(header::kContentType, "text/plain", &out);
  if (retry_after) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(*retry_after) / kSecond);
    AppendHeader(header::kRetryAfter, seconds, &out);
  }
  AppendPersistence(persistence, &out);
  AppendHeader(header::kContentLength, std::to_string(line.size() + 1), &out);
  return out.append("\r\n").append(line).append("\n");
}

void AppendChunk(std::string_view bytes, std::string* out) {
  char size[24];
  out->append(size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", bytes.size())));
  out->append(bytes).append("\r\n");
}

}  // namespace lichenlug::dataplane

#include "dataplane/request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "dataplane/header_names.h"

namespace lichenlug::dataplane {
namespace {

constexpr double kMaxTokens = 1e9;
constexpr double kMaxTimeoutMs = 24.0 * 3600 * 1000;
constexpr std::size_t kMaxPromptParts = 1024;

std::string_view Trim(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

std::optional<double> ParseNumber(std::string_view text, double max) {
  double value = 0;
  text = Trim(text);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool complete = error == std::errc() && end == text.data() + text.size();
  if (!complete || !std::isfinite(value) || value < 0 || value > max) return std::nullopt;
  return value;
}

// Invokes `call` with each trimmed element of a comma-separated list.
template <typename Call>
void ForEachPart(std::string_view list, Call call) {
  while (!list.empty()) {
    const std::string_view part = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), part.size() + 1));
    call(Trim(part));
  }
}

std::string_view HeaderValue(const HttpMessage& message, std::string_view name) {
  const std::string* value = message.Header(name);
  return value == nullptr ? std::string_view() : Trim(*value);
}

// If one of these headers is repeated, the next hop could use either value.
const char* FindRepeatedHeader(const HttpMessage& message) {
  for (const char* name : {header::kHost, header::kAttemptId, header::kAuthorization, header::kDeadline,
                           header::kModel, header::kTokenCount, header::kPromptPrefix, header::kLastEventId,
                           header::kContentLength, header::kTransferEncoding}) {
    const auto same = [name](const auto& entry) { return SameName(entry.first, name); };
    if (std::count_if(message.headers.begin(), message.headers.end(), same) > 1) return name;
  }
  return nullptr;
}

bool IsValidTarget(std::string_view target) {
  return target.starts_with('/') && std::all_of(target.begin(), target.end(), [](unsigned char c) {
           return c > ' ' && c != 0x7f && c != '#';
         });
}

// Invalid hints are ignored: the runner receives them unchanged and validates them itself.
void ParseHints(Request* request) {
  const HttpMessage& message = request->message;
  const std::string_view model = HeaderValue(message, header::kModel);
  const std::size_t slash = model.find('/');
  request->model = model.substr(0, slash);
  if (slash != std::string_view::npos) request->adapter = model.substr(slash + 1);
  const std::string_view tokens = HeaderValue(message, header::kTokenCount);
  const std::size_t comma = tokens.find(',');
  request->prompt_tokens = ParseNumber(tokens.substr(0, comma), kMaxTokens).value_or(0);
  if (comma != std::string_view::npos)
    request->output_tokens = ParseNumber(tokens.substr(comma + 1), kMaxTokens).value_or(0);
  ForEachPart(HeaderValue(message, header::kPromptPrefix), [request](std::string_view part) {
    const std::string_view id = part.substr(0, part.find(':'));
    if (!id.empty() && request->prompt_parts.size() < kMaxPromptParts) request->prompt_parts.emplace_back(id);
  });
}

// Headers that are set for each attempt, or not forwarded to runners.
bool IsNotForwarded(std::string_view name) {
  for (const char* header_name :
       {header::kAuthorization, header::kTenant, header::kExpectRunner, header::kDeadline, header::kPriority,
        header::kContentLength, header::kExpect})
    if (SameName(name, header_name)) return true;
  return false;
}

void AppendHeader(std::string_view name, std::string_view value, std::string* out) {
  out->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

bool IsHopByHop(std::string_view name, std::string_view connection) {
  for (const char* header_name : {header::kConnection, header::kKeepAlive, header::kTransferEncoding,
                                  header::kTe, header::kTrailer, header::kUpgrade})
    if (SameName(name, header_name)) return true;
  const std::string_view prefix = header::kProxyPrefix;
  if (SameName(name.substr(0, prefix.size()), prefix)) return true;
  // Required headers: a Connection header can't remove them.
  for (const char* required : {header::kHost, header::kAttemptId, header::kRunnerStamp, header::kContentType})
    if (SameName(name, required)) return false;
  bool named = false;
  ForEachPart(connection, [&](std::string_view part) { named = named || SameName(part, name); });
  return named;
}

std::string JoinHeaderValues(const HttpMessage& message, std::string_view name) {
  std::string joined;
  for (const auto& [header_name, value] : message.headers)
    if (SameName(header_name, name)) joined.append(joined.empty() ? "" : ",").append(value);
  return joined;
}

std::variant<Request, RequestError> ParseRequest(HttpMessage message) {
  if (message.minor_version < 1) return RequestError{505, "HTTP/1.0 is not supported: use HTTP/1.1"};
  if (!IsValidTarget(message.target))
    return RequestError{400, "the request target is not a valid path: start it with a slash"};
  if (const char* repeated = FindRepeatedHeader(message))
    return RequestError{400, std::string(repeated) + " is repeated: send it once"};
  Request request;
  request.host = HeaderValue(message, header::kHost);
  if (request.host.empty()) return RequestError{400, "Host is missing: send the route's host"};
  request.attempt_id = HeaderValue(message, header::kAttemptId);
  if (request.attempt_id.empty())
    return RequestError{400, std::string(header::kAttemptId) + " is missing: send an id with each request"};
  if (const std::string_view ms = HeaderValue(message, header::kDeadline); !ms.empty()) {
    const auto number = ParseNumber(ms, kMaxTimeoutMs);
    if (!number)
      return RequestError{400,
                          std::string(header::kDeadline) +
                              " is not a valid number of milliseconds: send a number from 0 to 86400000"};
    request.timeout = static_cast<Time>(*number * kMillisecond);
  }
  request.authorization = HeaderValue(message, header::kAuthorization);
  request.last_event_id = HeaderValue(message, header::kLastEventId);
  request.message = std::move(message);
  ParseHints(&request);
  return request;
}

std::string FormatRequestHead(const Request& request, const AttemptHeaders& added_headers) {
  const HttpMessage& message = request.message;
  const std::string connection = JoinHeaderValues(message, header::kConnection);
  std::string out;
  out.reserve(1024);
  out.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : message.headers) {
    if (IsHopByHop(name, connection) || IsNotForwarded(name)) continue;
    if (!added_headers.last_event_id.empty() && SameName(name, header::kLastEventId)) continue;
    AppendHeader(name, value, &out);
  }
  if (!added_headers.last_event_id.empty())
    AppendHeader(header::kLastEventId, added_headers.last_event_id, &out);
  AppendHeader(header::kDeadline, std::to_string(added_headers.time_left / kMillisecond), &out);
  AppendHeader(header::kExpectRunner, added_headers.runner_id, &out);
  if (!added_headers.tenant.empty()) AppendHeader(header::kTenant, added_headers.tenant, &out);
  AppendHeader(header::kPriority, std::to_string(added_headers.priority), &out);
  if (message.has_length || !message.body.empty())
    AppendHeader(header::kContentLength, std::to_string(message.body.size()), &out);
  return out.append("\r\n");
}

}  // namespace lichenlug::dataplane

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

std::optional<double> Number(std::string_view text, double most) {
  double value = 0;
  text = Trim(text);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  if (!whole || !std::isfinite(value) || value < 0 || value > most) return std::nullopt;
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

std::string_view Value(const HttpMessage& message, std::string_view name) {
  const std::string* value = message.Header(name);
  return value == nullptr ? std::string_view() : Trim(*value);
}

// If one of these headers is repeated, the next hop could use either value.
const char* FindDoubled(const HttpMessage& message) {
  for (const char* name : {header::kHost, header::kAttemptId, header::kAuthorization, header::kDeadline,
                           header::kModel, header::kTokenCount, header::kPromptPrefix, header::kLastEventId,
                           header::kContentLength, header::kTransferEncoding}) {
    const auto same = [name](const auto& entry) { return SameName(entry.first, name); };
    if (std::count_if(message.headers.begin(), message.headers.end(), same) > 1) return name;
  }
  return nullptr;
}

bool TargetIsFit(std::string_view target) {
  return target.starts_with('/') && std::all_of(target.begin(), target.end(), [](unsigned char c) {
           return c > ' ' && c != 0x7f && c != '#';
         });
}

// Invalid hints are ignored: the runner receives them unchanged and validates them itself.
void ReadHints(Request* request) {
  const HttpMessage& message = request->message;
  const std::string_view model = Value(message, header::kModel);
  const std::size_t slash = model.find('/');
  request->model = model.substr(0, slash);
  if (slash != std::string_view::npos) request->adapter = model.substr(slash + 1);
  const std::string_view tokens = Value(message, header::kTokenCount);
  const std::size_t comma = tokens.find(',');
  request->prompt_tokens = Number(tokens.substr(0, comma), kMaxTokens).value_or(0);
  if (comma != std::string_view::npos)
    request->output_tokens = Number(tokens.substr(comma + 1), kMaxTokens).value_or(0);
  ForEachPart(Value(message, header::kPromptPrefix), [request](std::string_view part) {
    const std::string_view id = part.substr(0, part.find(':'));
    if (!id.empty() && request->prompt_parts.size() < kMaxPromptParts) request->prompt_parts.emplace_back(id);
  });
}

// Headers that are set for each attempt, or not forwarded to runners.
bool IsReplaced(std::string_view name) {
  for (const char* known : {header::kAuthorization, header::kTenant, header::kExpectRunner, header::kDeadline,
                            header::kPriority, header::kContentLength, header::kExpect})
    if (SameName(name, known)) return true;
  return false;
}

void AppendHeader(std::string_view name, std::string_view value, std::string* out) {
  out->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

bool IsHopByHop(std::string_view name, std::string_view connection) {
  for (const char* known : {header::kConnection, header::kKeepAlive, header::kTransferEncoding, header::kTe,
                            header::kTrailer, header::kUpgrade})
    if (SameName(name, known)) return true;
  const std::string_view prefix = header::kProxyPrefix;
  if (SameName(name.substr(0, prefix.size()), prefix)) return true;
  // Required headers: a Connection header can't remove them.
  for (const char* kept : {header::kHost, header::kAttemptId, header::kRunnerStamp, header::kContentType})
    if (SameName(name, kept)) return false;
  bool named = false;
  ForEachPart(connection, [&](std::string_view part) { named = named || SameName(part, name); });
  return named;
}

std::string JoinedHeader(const HttpMessage& message, std::string_view name) {
  std::string joined;
  for (const auto& [known, value] : message.headers)
    if (SameName(known, name)) joined.append(joined.empty() ? "" : ",").append(value);
  return joined;
}

std::variant<Request, RequestFault> ParseRequest(HttpMessage message) {
  if (message.minor_version < 1) return RequestFault{505, "HTTP/1.0 is not supported: use HTTP/1.1"};
  if (!TargetIsFit(message.target))
    return RequestFault{400, "the request target is not a valid path: start it with a slash"};
  if (const char* doubled = FindDoubled(message))
    return RequestFault{400, std::string(doubled) + " is repeated: send it once"};
  Request request;
  request.host = Value(message, header::kHost);
  if (request.host.empty()) return RequestFault{400, "Host is missing: send the route's host"};
  request.attempt_id = Value(message, header::kAttemptId);
  if (request.attempt_id.empty())
    return RequestFault{400, std::string(header::kAttemptId) + " is missing: send an id with each request"};
  if (const std::string_view ms = Value(message, header::kDeadline); !ms.empty()) {
    const auto number = Number(ms, kMaxTimeoutMs);
    if (!number)
      return RequestFault{400, std::string(header::kDeadline) + " is not a valid number of milliseconds"};
    request.timeout = static_cast<Time>(*number * kMillisecond);
  }
  request.authorization = Value(message, header::kAuthorization);
  request.last_event_id = Value(message, header::kLastEventId);
  request.message = std::move(message);
  ReadHints(&request);
  return request;
}

std::string FormatRequestHead(const Request& request, const AttemptWords& words) {
  const HttpMessage& message = request.message;
  const std::string connection = JoinedHeader(message, header::kConnection);
  std::string out;
  out.reserve(1024);
  out.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : message.headers) {
    if (IsHopByHop(name, connection) || IsReplaced(name)) continue;
    if (!words.last_event_id.empty() && SameName(name, header::kLastEventId)) continue;
    AppendHeader(name, value, &out);
  }
  if (!words.last_event_id.empty()) AppendHeader(header::kLastEventId, words.last_event_id, &out);
  AppendHeader(header::kDeadline, std::to_string(words.left / kMillisecond), &out);
  AppendHeader(header::kExpectRunner, words.runner_id, &out);
  if (!words.tenant.empty()) AppendHeader(header::kTenant, words.tenant, &out);
  AppendHeader(header::kPriority, std::to_string(words.priority), &out);
  if (message.has_length || !message.body.empty())
    AppendHeader(header::kContentLength, std::to_string(message.body.size()), &out);
  return out.append("\r\n");
}

}  // namespace lichenlug::dataplane

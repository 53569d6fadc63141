#include "fronts/http/request_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>

namespace lichenlug {
namespace {

constexpr double kMaxBudget = 3600;  // seconds
constexpr double kMaxSlots = 1e6;
constexpr std::size_t kMaxValueSize = 256;  // bytes of a header that is forwarded
constexpr std::string_view kTargetMarks =
    "/?:@-._~!$&'()*+,;=";  // allowed besides letters, digits and escapes

int Byte(char c) { return static_cast<unsigned char>(c); }

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

std::optional<double> Number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Calls `call` with the name and value of each "name=value" part.
template <typename Callback>
void ForEachPair(std::string_view text, char separator, Callback callback) {
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(separator));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (equals != std::string_view::npos)
      callback(Trim(part.substr(0, equals)), Trim(part.substr(equals + 1)));
  }
}

// Keys are 16 hex digits; any other text is hashed (FNV-1a), with the same result at every dispatcher.
std::uint64_t ParseKey(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (text.size() == 16 && error == std::errc() && end == text.data() + text.size()) return key;
  key = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) key = (key ^ c) * 0x100000001b3ULL;
  return key;
}

bool IsValidId(const std::string& id) {
  const auto plain = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
  return !id.empty() && id.size() <= 128 && std::all_of(id.begin(), id.end(), plain);
}

// A runner closes the connection on a target that it can't parse, which would count as the runner's failure.
// So only what RFC 3986 allows in a path and a query is forwarded.
bool IsValidTarget(std::string_view target) {
  const auto hex = [&](std::size_t at) { return at < target.size() && std::isxdigit(Byte(target[at])); };
  for (std::size_t i = 0; i < target.size(); ++i) {
    const bool escape = target[i] == '%' && hex(i + 1) && hex(i + 2);
    if (!escape && !std::isalnum(Byte(target[i])) && kTargetMarks.find(target[i]) == std::string_view::npos)
      return false;
  }
  return target.starts_with('/');
}

bool IsValidValue(std::string_view text) {
  return text.size() <= kMaxValueSize &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Finds a duplicate of a header that must be unique: different implementations would use either value.
const char* FindDuplicate(const HttpMessage& message) {
  for (const char* name :
       {"x-call-id", "x-caller", "x-budget", "x-call-cost", "x-call-info", "cookie", "idempotency-key",
        "content-type", "content-length", "transfer-encoding", "host"}) {
    const auto same = [name](const auto& header) { return header.first == name; };
    if (std::count_if(message.headers.begin(), message.headers.end(), same) > 1) return name;
  }
  return nullptr;
}

}  // namespace

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view FirstSegment(std::string_view target) {
  std::string_view path = PathOf(target);
  if (path.starts_with('/')) path.remove_prefix(1);
  return path.substr(0, path.find('/'));
}

const char* ParseJobRequest(const HttpMessage& message, const rookgw::Site& site, int cls, Time now,
                            rookgw::RequestArrived* arrived, Job* job) {
  if (!IsValidTarget(message.target)) return "the target holds what a path and a query cannot";
  if (FindDuplicate(message) != nullptr) return "a header that counts is given twice";
  const std::string* id = message.Header("x-call-id");
  if (id == nullptr || !IsValidId(*id)) return "X-Call-Id: missing or not an id";
  arrived->cls = cls;
  arrived->valid_until = now + site.settings.classes[cls].deadline;
  if (const std::string* budget = message.Header("x-budget")) {
    const auto seconds = Number(Trim(*budget));
    if (!seconds || *seconds < 0 || *seconds > kMaxBudget) return "X-Budget: seconds expected";
    // A budget is limited by the class's deadline. Otherwise one client's long budget would make the
    // decisions take regular requests, which have less time left, for late repeats and refuse them all.
    arrived->valid_until = std::min(arrived->valid_until, now + static_cast<Time>(*seconds * kSecond));
  }
  if (const std::string* caller = message.Header("x-caller")) {
    const auto tenant = site.tenants.find(*caller);
    if (tenant == site.tenants.end()) return "X-Caller: no such tenant";
    arrived->tenant = tenant->second;
  }
  if (const std::string* cookies = message.Header("cookie"))
    ForEachPair(*cookies, ';', [&](std::string_view name, std::string_view value) {
      if (name == "obj" && !value.empty()) arrived->key = ParseKey(value);
    });
  if (const std::string* cost = message.Header("x-call-cost"))
    if (const auto micros = Number(Trim(*cost)); micros && *micros >= 0 && *micros < 1e12)
      arrived->effort = static_cast<Time>(*micros);
  const std::string* repeat_header = message.Header("x-again");
  arrived->repeat = repeat_header != nullptr && *repeat_header == "1";
  if (const std::string* info = message.Header("x-call-info"))
    ForEachPair(*info, ',', [&](std::string_view name, std::string_view value) {
      const auto number = Number(value);
      if (!number || *number < 0 || *number > kMaxSlots) return;
      if (name == "slots" || name == "CoresNeeded") arrived->slots = *number;
      if (name == "memory" || name == "RamUnits") arrived->memory = *number;
    });
  for (const char* forwarded : {"idempotency-key", "content-type"})
    if (const std::string* value = message.Header(forwarded); value != nullptr && !IsValidValue(*value))
      return "Idempotency-Key, Content-Type: plain text of at most 256 bytes expected";
  job->call_id = *id;
  job->target = message.target;
  if (const std::string* key = message.Header("idempotency-key")) job->idempotency_key = *key;
  if (const std::string* type = message.Header("content-type")) job->content_type = *type;
  return nullptr;
}

}  // namespace lichenlug

#include "caller/request_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace lichenlug {
namespace {

constexpr double kMostBudget = 3600;  // seconds
constexpr double kMostSlots = 1e6;

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

// Calls with each name and value of "name=value" parts.
template <typename Call>
void ForEachPair(std::string_view text, char separator, Call call) {
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(separator));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (equals != std::string_view::npos) call(Trim(part.substr(0, equals)), Trim(part.substr(equals + 1)));
  }
}

// Keys are 16 hex digits; any other text is hashed (FNV-1a), the same at every dispatcher.
std::uint64_t KeyOf(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (text.size() == 16 && error == std::errc() && end == text.data() + text.size()) return key;
  key = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) key = (key ^ c) * 0x100000001b3ULL;
  return key;
}

bool IdIsFit(const std::string& id) {
  const auto plain = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
  return !id.empty() && id.size() <= 128 && std::all_of(id.begin(), id.end(), plain);
}

}  // namespace

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view FirstPart(std::string_view target) {
  std::string_view path = PathOf(target);
  if (path.starts_with('/')) path.remove_prefix(1);
  return path.substr(0, path.find('/'));
}

const char* ParseJobRequest(const HttpMessage& message, const rookgw::wire::Site& site, int cls, Time now,
                            rookgw::RequestArrived* arrived, Job* job) {
  const std::string* id = message.Header("x-call-id");
  if (id == nullptr || !IdIsFit(*id)) return "X-Call-Id: missing or not an id";
  arrived->cls = cls;
  arrived->valid_until = now + site.settings.classes[cls].deadline;
  if (const std::string* budget = message.Header("x-budget")) {
    const auto seconds = Number(Trim(*budget));
    if (!seconds) return "X-Budget: seconds expected";
    arrived->valid_until = now + static_cast<Time>(std::clamp(*seconds, 0.0, kMostBudget) * kSecond);
  }
  if (const std::string* caller = message.Header("x-caller")) {
    const auto tenant = site.tenants.find(*caller);
    if (tenant == site.tenants.end()) return "X-Caller: no such tenant";
    arrived->tenant = tenant->second;
  }
  if (const std::string* cookies = message.Header("cookie"))
    ForEachPair(*cookies, ';', [&](std::string_view name, std::string_view value) {
      if (name == "obj" && !value.empty()) arrived->key = KeyOf(value);
    });
  if (const std::string* cost = message.Header("x-call-cost"))
    if (const auto micros = Number(Trim(*cost)); micros && *micros >= 0 && *micros < 1e12)
      arrived->effort = static_cast<Time>(*micros);
  const std::string* again = message.Header("x-again");
  arrived->repeat = again != nullptr && *again == "1";
  if (const std::string* info = message.Header("x-call-info"))
    ForEachPair(*info, ',', [&](std::string_view name, std::string_view value) {
      const auto number = Number(value);
      if (!number || *number < 0 || *number > kMostSlots) return;
      if (name == "slots" || name == "CoresNeeded") arrived->slots = *number;
      if (name == "memory" || name == "RamUnits") arrived->memory = *number;
    });
  job->call_id = *id;
  job->target = message.target;
  if (const std::string* key = message.Header("idempotency-key")) job->idempotency_key = *key;
  if (const std::string* type = message.Header("content-type")) job->content_type = *type;
  return nullptr;
}

}  // namespace lichenlug

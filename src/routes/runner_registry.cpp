#include "routes/runner_registry.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lichenlug {
namespace {

// Removed runners are kept up to this number of entries: their last jobs may still need them.
constexpr std::size_t kMaxRunners = 4096;

using State = rookgw::ListedWorker::State;

template <typename T>
T Get(const nlohmann::json& object, const char* key, T absent) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return absent;
  try {
    return it->get<T>();
  } catch (const nlohmann::json::exception&) {
    throw std::runtime_error(std::string("members[].") + key + ": value of a wrong type");
  }
}

int Index(const std::unordered_map<std::string, int>& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? rookgw::kNone : it->second;
}

RunnerEntry ParseMember(const nlohmann::json& member, const rookgw::Site& site) {
  if (!member.is_object()) throw std::runtime_error("members[]: objects expected");
  RunnerEntry entry;
  entry.runner.id = Get<std::string>(member, "id", "");
  if (entry.runner.id.empty()) throw std::runtime_error("members[].id: missing");
  const auto phase = Get<std::string>(member, "phase", "active");
  if (phase == "leaving")
    entry.runner.state = State::kDraining;
  else if (phase == "left")
    entry.runner.state = State::kGone;
  else if (phase != "active")
    throw std::runtime_error("members[].phase: active, leaving or left expected");
  entry.runner.since = Get<Time>(member, "up_since_ms", 0) * kMillisecond;  // 0: unknown, up for long
  entry.runner.cell = Get<int>(member, "cell", rookgw::kNone);
  entry.runner.kind = Index(site.kinds, Get<std::string>(member, "flavor", ""));
  entry.runner.zone = Index(site.zones, Get<std::string>(member, "locality", ""));
  entry.runner.weight = Get<double>(member, "size", 1);
  entry.host = Get<std::string>(member, "host_port", "");
  if (entry.runner.state != State::kGone || !entry.host.empty())
    entry.address = ParseEndpoint(entry.host, "members[].host_port");
  return entry;
}

}  // namespace

asio::ip::tcp::endpoint ParseEndpoint(const std::string& text, const std::string& key) {
  const std::size_t colon = text.rfind(':');
  std::error_code error;
  unsigned port = 0;
  if (colon != std::string::npos) {
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    const char *first = text.data() + colon + 1, *last = text.data() + text.size();
    const auto [end, parse_error] = std::from_chars(first, last, port);
    if (!error && parse_error == std::errc() && end == last && first != last && port <= 65535)
      return {address, static_cast<std::uint16_t>(port)};
  }
  throw std::runtime_error(key + ": '" + text + "' is not an address:port");
}

RunnerListUpdate ParseRunnerListUpdate(const nlohmann::json& object, const rookgw::Site& site) {
  if (!object.is_object()) throw std::runtime_error("list: a JSON object expected");
  RunnerListUpdate update;
  update.revision = Get<std::int64_t>(object, "revision", 0);
  update.complete = Get<bool>(object, "complete", false);
  const auto members = object.find("members");
  if (members == object.end() || !members->is_array()) throw std::runtime_error("members: an array expected");
  for (const auto& member : *members) update.members.push_back(ParseMember(member, site));
  return update;
}

void RunnerRegistry::Apply(const RunnerListUpdate& update) {
  if (update.complete)  // a complete list removes the runners that it omits; a patch leaves them unchanged
    for (auto& [id, entry] : runners_) entry.runner.state = State::kGone;
  for (const RunnerEntry& entry : update.members) {
    RunnerEntry& stored = runners_[entry.runner.id];
    const auto address = stored.address;
    const std::string host = stored.host;
    stored = entry;
    if (entry.host.empty()) stored.address = address, stored.host = host;
  }
  revision_ = update.revision;
  if (runners_.size() > kMaxRunners)
    std::erase_if(runners_, [](const auto& entry) { return entry.second.runner.state == State::kGone; });
}

const RunnerEntry* RunnerRegistry::Find(const std::string& id) const {
  const auto it = runners_.find(id);
  return it == runners_.end() ? nullptr : &it->second;
}

bool RunnerRegistry::IsServing(const std::string& id) const {
  const RunnerEntry* entry = Find(id);
  return entry != nullptr && entry->runner.state == State::kServing;
}

}  // namespace lichenlug

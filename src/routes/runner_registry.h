// The runner registry: every runner that discovery has listed, with its address and phase, by ID.
#pragma once

#include <asio.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "decisions/settings.h"

namespace lichenlug {

struct RunnerEntry {
  rookgw::ListedWorker runner;
  asio::ip::tcp::endpoint address;
  std::string host;
};

// An update from discovery: the complete list, or the entries that changed.
struct RunnerListUpdate {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<RunnerEntry> members;
};

// Throws std::runtime_error naming the key. Zones and kinds that are not in the settings become kNone.
RunnerListUpdate ParseRunnerListUpdate(const nlohmann::json& object, const rookgw::Site& site);

// Parses "address:port"; throws std::runtime_error naming `key`.
asio::ip::tcp::endpoint ParseEndpoint(const std::string& text, const std::string& key);

class RunnerRegistry {
 public:
  void Apply(const RunnerListUpdate& update);
  const RunnerEntry* Find(const std::string& id) const;
  bool IsServing(const std::string& id) const;
  bool empty() const { return runners_.empty(); }
  std::int64_t revision() const { return revision_; }

 private:
  std::unordered_map<std::string, RunnerEntry> runners_;
  std::int64_t revision_ = 0;
};

}  // namespace lichenlug

#include "operate/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>

namespace lichenlug {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMinSockets = 64;
constexpr double kMaxSockets = 1e9;
constexpr double kMaxMemoryMb = 1e6;
constexpr double kBytesPerMb = 1 << 20;

[[noreturn]] void ThrowError(const std::string& key, const std::string& what) {
  std::string line = key + ": " + what;  // may cite the file
  for (char& c : line)
    if (c >= 0 && c < ' ') c = ' ';
  throw ConfigError(line);
}

// The string at `key`; empty if it is absent.
std::string Text(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return "";
  if (!it->is_string()) ThrowError(key, "text expected");
  return it->get<std::string>();
}

const Json& Object(const Json& object, const char* key) {
  static const Json none = Json::object();
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return none;
  if (!it->is_object()) ThrowError(key, "an object expected");
  return *it;
}

// The number of open descriptors; the usual three if the system doesn't provide it.
std::size_t OpenDescriptors() {
  std::error_code error;
  std::size_t open = 0;
  for (std::filesystem::directory_iterator it("/proc/self/fd", error), end; !error && it != end;
       it.increment(error))
    ++open;
  return error || open == 0 ? 3 : open - 1;  // without the one that reads the directory
}

std::size_t ReadSockets(const Json& root, const Config& config) {
  std::size_t sockets = config.max_sockets;
  const Json& limits = Object(root, "limits");
  if (const auto it = limits.find("sockets"); it != limits.end() && !it->is_null()) {
    const double given = it->is_number() ? it->get<double>() : 0;
    if (!(given >= 1 && given <= kMaxSockets)) ThrowError("limits.sockets", "a number above 0 expected");
    sockets = static_cast<std::size_t>(given);
  }
  rlimit allowed{};
  if (getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY)
    sockets = std::min<std::size_t>(sockets, allowed.rlim_cur);
  const std::size_t minimum =
      std::max(kMinSockets, config.open_at_start + Config::kOwnDescriptors + Config::kMinShared);
  if (sockets < minimum)
    ThrowError("limits.sockets",
               std::to_string(minimum) + " or more expected, here and as the process's descriptor limit");
  return sockets;
}

std::size_t ReadMemory(const Json& root, std::size_t default_bytes) {
  const Json& limits = Object(root, "limits");
  const auto it = limits.find("memory_mb");
  if (it == limits.end() || it->is_null()) return default_bytes;
  const double given = it->is_number() ? it->get<double>() : 0;
  if (!(given > 0 && given <= kMaxMemoryMb)) ThrowError("limits.memory_mb", "a number above 0 expected");
  return static_cast<std::size_t>(given * kBytesPerMb);
}

std::uint64_t ParseSeed(const Json& root) {
  const auto it = root.find("seed");
  if (it == root.end() || it->is_null()) return 1;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  const std::string text = it->is_string() ? it->get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    ThrowError("seed", "hex digits expected");
  return seed;
}

asio::ip::tcp::endpoint Address(const std::string& text, const std::string& key) {
  try {
    return ParseEndpoint(text, key);
  } catch (const std::runtime_error&) {
    ThrowError(key, "an IP address and port, as in 10.0.0.4:8080, expected");
  }
}

asio::ip::udp::endpoint PeerAddress(const std::string& text, const std::string& key) {
  const auto endpoint = Address(text, key);
  return {endpoint.address(), endpoint.port()};
}

PeerSettings ReadPeers(const Json& root, int own_number) {
  PeerSettings peers;
  const std::string listen = Text(root, "peer_listen"), all = Text(root, "peers_all");
  if (listen.empty()) return peers;
  peers.listen = PeerAddress(listen, "peer_listen");
  if (!all.empty()) peers.all = PeerAddress(all, "peers_all");
  peers.own_number = own_number;
  const auto listed = root.find("peers");
  if (listed == root.end() || listed->is_null()) return peers;
  if (!listed->is_array()) ThrowError("peers", "a list of ADDRESS:PORT expected");
  for (const Json& peer : *listed) {
    const std::string path = "peers[" + std::to_string(peers.peers.size()) + "]";
    peers.peers.push_back(PeerAddress(peer.is_string() ? peer.get<std::string>() : "", path));
  }
  // A dispatcher that is not in the list is unknown to the others, so it runs without peers.
  if (static_cast<std::size_t>(own_number) >= peers.peers.size()) peers.peers.clear();
  return peers;
}

using Environment = std::function<const char*(const char*)>;

// `running`: the current configuration when the file is reloaded, or null at startup.
Config Read(const Environment& environment, const Config* running) {
  Config config;
  config.open_at_start = running != nullptr ? running->open_at_start : OpenDescriptors();
  const char* path = environment("BALANCER_CONFIG");
  if (path == nullptr || *path == '\0')
    ThrowError("BALANCER_CONFIG", "the path of the configuration expected");
  std::ifstream file(path);
  if (!file) ThrowError("BALANCER_CONFIG", std::string("cannot read ") + path);
  const Json root = Json::parse(file, nullptr, false);
  if (!root.is_object()) ThrowError("BALANCER_CONFIG", std::string(path) + " holds no JSON object");

  const auto text = [&](const char* variable, const char* key, bool file_wins = false) {
    const char* value = environment(variable);
    const std::string given = value != nullptr ? value : "", from_file = Text(root, key);
    const std::string found = given.empty() || (file_wins && !from_file.empty()) ? from_file : given;
    if (found.empty()) ThrowError(key, std::string("missing (or set ") + variable + ")");
    return found;
  };
  config.name = text("BALANCER_NAME", "name");
  config.listen = Address(text("BALANCER_LISTEN", "listen"), "listen");
  config.discovery = Address(text("BALANCER_DISCOVERY", "discovery", running != nullptr), "discovery");
  if (config.discovery == config.listen)
    ThrowError("discovery", "another address than that of listen expected");
  config.seed = ParseSeed(root);
  config.max_sockets = ReadSockets(root, config);
  config.memory_bytes = ReadMemory(root, config.memory_bytes);

  if (!root.contains("settings")) ThrowError("settings", "missing");
  config.site = rookgw::ReadSettings(Object(root, "settings"));  // its messages start with "settings: KEY"
  config.site.settings.reports_accepts = true;                   // runners acknowledge jobs with a 202
  if (config.site.settings.connect_timeout == 0)
    ThrowError("settings.Limits.ConnectTimeout", "above 0 expected");
  if (config.site.max_open == 0) ThrowError("settings.Limits.MaxOpen", "1 or more expected");

  if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
    try {
      config.known = ParseRunnerListUpdate(*known, config.site);
    } catch (const std::exception& e) {
      ThrowError("known", e.what());
    }
  }
  if (config.site.allow_peer_messages) config.peers = ReadPeers(root, config.site.settings.ordinal);
  return config;
}

}  // namespace

Config ReadConfig(const Environment& environment) { return Read(environment, nullptr); }

Config RereadConfig(const Environment& environment, const Config& running) {
  return Read(environment, &running);
}

}  // namespace lichenlug

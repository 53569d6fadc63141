#include "operate/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lichenlug {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kLeastSockets = 64;

[[noreturn]] void Bad(const std::string& key, const std::string& what) {
  throw std::runtime_error(key + ": " + what);
}

// A value of the file, where it is there and of the type expected.
template <typename T>
T Get(const Json& object, const char* key, T absent, const std::string& path = "") {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return absent;
  bool good = it->is_string();
  if constexpr (std::is_arithmetic_v<T>) good = it->is_number() && it->template get<double>() >= 0;
  if (!good) Bad(path + key, std::is_arithmetic_v<T> ? "a number of 0 or more expected" : "text expected");
  return it->template get<T>();
}

const Json& Object(const Json& object, const char* key) {
  static const Json none = Json::object();
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return none;
  if (!it->is_object()) Bad(key, "an object expected");
  return *it;
}

std::uint64_t ParseSeed(const Json& root) {
  const auto it = root.find("seed");
  if (it == root.end() || it->is_null()) return 1;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  const std::string text = it->is_string() ? it->get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    Bad("seed", "hex digits expected");
  return seed;
}

asio::ip::udp::endpoint PeerAddress(const std::string& text, const std::string& key) {
  const auto endpoint = ParseEndpoint(text, key);
  return {endpoint.address(), endpoint.port()};
}

PeerSettings ReadPeers(const Json& root, int own_number) {
  PeerSettings peers;
  const std::string listen = Get<std::string>(root, "peer_listen", ""),
                    all = Get<std::string>(root, "peers_all", "");
  if (listen.empty()) return peers;
  peers.listen = PeerAddress(listen, "peer_listen");
  if (!all.empty()) peers.all = PeerAddress(all, "peers_all");
  peers.own_number = own_number;
  const auto listed = root.find("peers");
  if (listed == root.end() || listed->is_null()) return peers;
  if (!listed->is_array()) Bad("peers", "a list of ADDRESS:PORT expected");
  for (const Json& peer : *listed) {
    if (!peer.is_string()) Bad("peers", "a list of ADDRESS:PORT expected");
    peers.peers.push_back(PeerAddress(peer.get<std::string>(), "peers"));
  }
  return peers;
}

using Environment = std::function<const char*(const char*)>;

Config Read(const Environment& environment, bool file_names_discovery) {
  const char* path = environment("BALANCER_CONFIG");
  if (path == nullptr || *path == '\0') Bad("BALANCER_CONFIG", "the path of the configuration expected");
  std::ifstream file(path);
  if (!file) Bad("BALANCER_CONFIG", std::string("cannot read ") + path);
  const Json root = Json::parse(file, nullptr, false);
  if (!root.is_object()) Bad("BALANCER_CONFIG", std::string(path) + " holds no JSON object");

  const auto text = [&](const char* variable, const char* key, bool file_wins = false) {
    const char* value = environment(variable);
    const std::string told = value != nullptr ? value : "", filed = Get<std::string>(root, key, "");
    const std::string found = told.empty() || (file_wins && !filed.empty()) ? filed : told;
    if (found.empty()) Bad(key, std::string("missing (or set ") + variable + ")");
    return found;
  };
  Config config;
  config.name = text("BALANCER_NAME", "name");
  config.listen = ParseEndpoint(text("BALANCER_LISTEN", "listen"), "listen");
  config.discovery =
      ParseEndpoint(text("BALANCER_DISCOVERY", "discovery", file_names_discovery), "discovery");
  config.seed = ParseSeed(root);

  config.most_sockets = Get(Object(root, "limits"), "sockets", config.most_sockets, "limits.");
  rlimit allowed{};
  if (getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY)
    config.most_sockets = std::min<std::size_t>(config.most_sockets, allowed.rlim_cur);
  if (config.most_sockets < kLeastSockets) Bad("limits.sockets", "64 or more expected");

  if (!root.contains("settings")) Bad("settings", "missing");
  const Json& settings = Object(root, "settings");
  config.site = rookgw::ParseSettings(settings.dump());  // its messages begin with "settings: KEY"
  config.site.settings.takes_told = true;                // by a runner's 202
  const Json& limits = Object(settings, "Limits");
  config.most_open = Get(limits, "MaxOpen", config.most_open, "settings.Limits.");
  config.idle_close = Get(limits, "IdleClose", config.idle_close, "settings.Limits.");
  config.connect_timeout = Get(limits, "ConnectTimeout", config.connect_timeout, "settings.Limits.");
  if (config.connect_timeout <= 0) Bad("settings.Limits.ConnectTimeout", "above 0 expected");
  if (config.most_open == 0) Bad("settings.Limits.MaxOpen", "1 or more expected");

  if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
    try {
      config.known = ParseRouteNews(*known, config.site);
    } catch (const std::exception& e) {
      Bad("known", e.what());
    }
  }
  const auto may_tell = limits.find("MayTell");
  if (may_tell != limits.end() && *may_tell == true)
    config.peers = ReadPeers(root, config.site.settings.ordinal);
  config.peers.own_zone = config.site.settings.my_zone;
  return config;
}

}  // namespace

Config ReadConfig(const Environment& environment) { return Read(environment, false); }

Config RereadConfig(const Environment& environment) { return Read(environment, true); }

}  // namespace lichenlug

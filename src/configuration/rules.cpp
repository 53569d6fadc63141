#include "configuration/rules.h"

#include <cctype>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "configuration/places.h"

namespace lichenlug::configuration {
namespace {

using messages::Configuration;
using messages::Route;

// List names in the operator's JSON.
constexpr std::string_view kRoutes = "routes", kServices = "postal_lines", kTenants = "senders";

using Names = std::unordered_set<std::string_view>;

// Each item of a list must have a name that is unique in the list.
template <typename Items>
std::optional<Problem> CheckNames(const Items& items, std::string_view list, Names* names) {
  names->reserve(static_cast<std::size_t>(items.size()));
  for (int i = 0; i < items.size(); ++i) {
    const std::string& name = items[i].name();
    if (name.empty()) return Problem{"name", PlaceInList(list, i, ""), "give a name"};
    if (!names->insert(name).second) {
      return Problem{"name", PlaceInList(list, i, name), "give each item a unique name"};
    }
  }
  return std::nullopt;
}

// A route and its position. The place is formatted only if the route is rejected.
struct RoutePosition {
  const Route& route;
  int index;
  std::string Place() const { return PlaceInList(kRoutes, index, route.name()); }
};

std::optional<Problem> CheckTargets(const RoutePosition& position, const Names& services) {
  const Route& route = position.route;
  const auto unknown = [&](const std::string& service) {
    return Problem{"line", position.Place(),
                   "\"" + service + "\" is not a service: use a name from " + std::string(kServices)};
  };
  const bool weighted = route.weighted_services_size() > 0;
  if ((!weighted || !route.service().empty()) && !services.contains(route.service())) {
    return unknown(route.service());
  }
  if (!weighted) return std::nullopt;
  double sum = 0;
  for (const auto& target : route.weighted_services()) {
    if (!services.contains(target.service())) return unknown(target.service());
    if (target.weight() < 0) return Problem{"share", position.Place(), "give a number of 0 or more"};
    sum += target.weight();
  }
  if (!(sum > 0)) return Problem{"apportion", position.Place(), "give shares with a sum greater than 0"};
  return std::nullopt;
}

std::optional<Problem> CheckRoute(const RoutePosition& position, const Names& services) {
  const Route& route = position.route;
  if (route.host().empty()) return Problem{"depot", position.Place(), "give a host"};
  const std::string& prefix = route.path_prefix();
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return Problem{"lane_prefix", position.Place(), "give a path that begins and ends with a slash"};
  }
  if (!(route.deadline_ms() > 0))
    return Problem{"deadline_ms", position.Place(), "give a number greater than 0"};
  return CheckTargets(position, services);
}

// Host names are case-insensitive, as in HTTP.
std::string HostAndPrefix(const Route& route) {
  std::string key;
  key.reserve(route.host().size() + route.path_prefix().size() + 1);
  for (const char c : route.host()) key += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return key.append(1, ' ').append(route.path_prefix());
}

std::optional<Problem> CheckRoutes(const Configuration& configuration, const Names& services) {
  Names names;
  if (auto problem = CheckNames(configuration.routes(), kRoutes, &names)) return problem;
  std::unordered_map<std::string, int> route_by_host_and_prefix;
  route_by_host_and_prefix.reserve(static_cast<std::size_t>(configuration.routes_size()));
  for (int i = 0; i < configuration.routes_size(); ++i) {
    const Route& route = configuration.routes(i);
    const RoutePosition position{route, i};
    if (auto problem = CheckRoute(position, services)) return problem;
    const auto [entry, added] = route_by_host_and_prefix.emplace(HostAndPrefix(route), i);
    if (!added) {
      const int first = entry->second;
      return Problem{"lane_prefix", position.Place(),
                     "the same host and prefix as " +
                         PlaceInList(kRoutes, first, configuration.routes(first).name()) +
                         ": change or remove one"};
    }
  }
  return std::nullopt;
}

// No two tenants may share a key. The problem doesn't include the key, which is a secret.
std::optional<Problem> CheckTenants(const Configuration& configuration) {
  Names names;
  if (auto problem = CheckNames(configuration.tenants(), kTenants, &names)) return problem;
  std::unordered_map<std::string_view, int> tenant_by_key;
  for (int i = 0; i < configuration.tenants_size(); ++i) {
    for (const std::string& key : configuration.tenants(i).keys()) {
      const auto [entry, added] = tenant_by_key.emplace(key, i);
      if (added || entry->second == i) continue;
      const int first = entry->second;
      return Problem{"stamps", PlaceInList(kTenants, i, configuration.tenants(i).name()),
                     "has a key that also belongs to " +
                         PlaceInList(kTenants, first, configuration.tenants(first).name()) +
                         ": give each key to one tenant only"};
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Problem> CheckRules(const Configuration& configuration) {
  if (configuration.edition() <= 0) {
    return Problem{"edition", std::string(kTopLevel), "give an integer greater than 0"};
  }
  Names services;
  if (auto problem = CheckNames(configuration.services(), kServices, &services)) return problem;
  if (auto problem = CheckRoutes(configuration, services)) return problem;
  return CheckTenants(configuration);
}

}  // namespace lichenlug::configuration

// Which route and tenant a request belongs to. Pure; built anew for each configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "messages/generated/configuration.pb.h"

namespace lichenlug::routing {

enum class RouteKind { kSafe, kUnsafe, kStream };

struct RouteMatch {
  const messages::Route* route = nullptr;    // lives as long as the Router
  const messages::Tenant* tenant = nullptr;  // null: anonymous
  RouteKind kind = RouteKind::kUnsafe;
  bool repeatable = false;  // safe, or a stream that may be resumed
  int precedence = 0;       // the tenant's goes before the route's; 0 first
};
struct RouteRefusal {
  int status = 404;     // 404 no route, 401 no or unknown key
  std::string message;  // one line
};

// The route's part of a precedence is its rest by this, the tenant's what is left.
inline constexpr int kRoutePrecedences = 16;

// How urgent a request is, 0 first; `tenant` is null for an anonymous one.
int CombinedPrecedence(const messages::Tenant* tenant, const messages::Route& route);

class Router {
 public:
  explicit Router(std::shared_ptr<const messages::Configuration> configuration);

  std::int64_t edition() const { return configuration_->edition(); }

  // `authorization` is the header's value, empty where there is none. `target` may carry a query.
  std::variant<RouteMatch, RouteRefusal> Match(std::string_view host, std::string_view target,
                                               std::string_view authorization) const;
  // The service for one request, by the route's weights; `draw` in [0, 1).
  static const std::string& ServiceOf(const messages::Route& route, double draw);

 private:
  // The routes of a host. A look-up costs one step for each length of a prefix, however many routes there
  // are.
  struct HostRoutes {
    std::unordered_map<std::string_view, const messages::Route*> by_prefix;
    std::vector<std::size_t> lengths;  // of the prefixes, longest first
  };

  const messages::Route* RouteOf(std::string_view host, std::string_view target) const;
  const messages::Tenant* TenantOf(std::string_view authorization) const;

  std::shared_ptr<const messages::Configuration> configuration_;
  std::unordered_map<std::string, HostRoutes> hosts_;  // by name in lower case, without a port
  std::unordered_map<std::string_view, const messages::Tenant*> tenants_by_key_;
};

}  // namespace lichenlug::routing

// Finds the route and tenant of a request. Immutable; rebuilt for each configuration.
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
  const messages::Route* route = nullptr;    // valid as long as the Router
  const messages::Tenant* tenant = nullptr;  // null: anonymous
  RouteKind kind = RouteKind::kUnsafe;
  bool repeatable = false;  // safe, or a stream that may be resumed
  int precedence = 0;       // ordered by the tenant's, then the route's; 0 is the most urgent
};
struct RouteRefusal {
  int status = 404;     // 404: no route; 401: missing or unknown key
  std::string message;  // one line
};

// A combined precedence is tenant precedence x kRoutePrecedences + route precedence.
inline constexpr int kRoutePrecedences = 16;

// The combined precedence of a request, 0 the most urgent. `tenant` is null for an anonymous request.
int CombinedPrecedence(const messages::Tenant* tenant, const messages::Route& route);

class Router {
 public:
  explicit Router(std::shared_ptr<const messages::Configuration> configuration);

  std::int64_t edition() const { return configuration_->edition(); }

  // `authorization` is the value of the Authorization header, empty if absent. `target` may include a query.
  std::variant<RouteMatch, RouteRefusal> Match(std::string_view host, std::string_view target,
                                               std::string_view authorization) const;
  // Chooses the service for a request by the route's weights; `draw` is a random number in [0, 1).
  static const std::string& ChooseService(const messages::Route& route, double draw);

 private:
  // The routes of a host. A lookup costs one step per distinct prefix length, however many routes there are.
  struct HostRoutes {
    std::unordered_map<std::string_view, const messages::Route*> by_prefix;
    std::vector<std::size_t> lengths;  // of the prefixes, longest first
  };

  const messages::Route* FindRoute(std::string_view host, std::string_view target) const;
  const messages::Tenant* FindTenant(std::string_view authorization) const;

  std::shared_ptr<const messages::Configuration> configuration_;
  std::unordered_map<std::string, HostRoutes> hosts_;  // by lowercase name without port
  std::unordered_map<std::string_view, const messages::Tenant*> tenants_by_key_;
};

}  // namespace lichenlug::routing

// Which route and tenant a request belongs to. Pure; built anew for each configuration.
#pragma once

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

class Router {
 public:
  explicit Router(std::shared_ptr<const messages::Configuration> configuration);

  // `authorization` is the header's value, empty where there is none. `target` may carry a query.
  std::variant<RouteMatch, RouteRefusal> Match(std::string_view host, std::string_view target,
                                               std::string_view authorization) const;
  // The service for one request, by the route's weights; `draw` in [0, 1).
  static const std::string& ServiceOf(const messages::Route& route, double draw);

 private:
  struct Prefix;
  std::shared_ptr<const messages::Configuration> configuration_;
  std::unordered_map<std::string, std::vector<const messages::Route*>>
      routes_by_host_;  // longest prefix first
  std::unordered_map<std::string, const messages::Tenant*> tenants_by_key_;
};

}  // namespace lichenlug::routing

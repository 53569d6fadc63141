#include "dataplane/configuration_log.h"

#include <glog/logging.h>

#include <string>
#include <string_view>
#include <unordered_map>

namespace lichenlug::dataplane {
namespace {

constexpr int kMaxLoggedRoutes = 8;

std::string DeadlineText(const messages::Route& route) {
  return std::to_string(static_cast<long long>(route.deadline_ms()));
}

}  // namespace

void LogConfigurationChange(const messages::Configuration* before, const messages::Configuration& now) {
  std::unordered_map<std::string_view, const messages::Route*> old_routes;
  if (before != nullptr)
    for (const messages::Route& route : before->routes()) old_routes.emplace(route.name(), &route);
  std::string changes;
  int logged = 0;
  for (const messages::Route& route : now.routes()) {
    const auto old = old_routes.find(route.name());
    if (old == old_routes.end() || old->second->deadline_ms() == route.deadline_ms()) continue;
    if (++logged > kMaxLoggedRoutes) break;
    changes.append(", deadline of ").append(route.name()).append(" ").append(DeadlineText(*old->second));
    changes.append(" -> ").append(DeadlineText(route)).append(" ms");
  }
  LOG(INFO) << "edition " << now.edition() << " in force for requests, " << now.routes_size() << " routes"
            << changes;
}

}  // namespace lichenlug::dataplane

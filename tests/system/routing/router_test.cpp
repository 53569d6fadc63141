// Route lookup by host and path prefix, and authorization by key.
#include "routing/router.h"

#include <catch2/catch.hpp>

namespace lichenlug::routing {
namespace {

messages::Route* AddRoute(messages::Configuration* configuration, const std::string& name,
                          const std::string& host, const std::string& prefix) {
  messages::Route* route = configuration->add_routes();
  route->set_name(name);
  route->set_host(host);
  route->set_path_prefix(prefix);
  route->set_kind("unsafe");
  route->set_service("pool");
  return route;
}

std::shared_ptr<messages::Configuration> TwoTenants() {
  auto configuration = std::make_shared<messages::Configuration>();
  AddRoute(configuration.get(), "root", "A.example", "/");
  AddRoute(configuration.get(), "deep", "a.example", "/x/y/");
  AddRoute(configuration.get(), "middle", "a.example", "/x/");
  AddRoute(configuration.get(), "open", "b.example", "/")->set_anonymous(true);
  messages::Tenant* first = configuration->add_tenants();
  first->set_name("first");
  first->add_keys("key-1");
  first->add_keys("key-2");
  messages::Tenant* second = configuration->add_tenants();
  second->set_name("second");
  second->add_keys("key-3");
  second->set_precedence(1);
  return configuration;
}

std::string NameOf(const std::variant<RouteMatch, RouteRefusal>& result) {
  if (const auto* match = std::get_if<RouteMatch>(&result)) return match->route->name();
  return std::to_string(std::get<RouteRefusal>(result).status);
}

TEST_CASE("the longest prefix of the host wins", "[router]") {
  const Router router(TwoTenants());
  const auto name = [&](const char* host, const char* target) {
    return NameOf(router.Match(host, target, "Bearer key-1"));
  };
  CHECK(name("a.example", "/") == "root");
  CHECK(name("a.example", "/x") == "root");
  CHECK(name("a.example", "/x/") == "middle");
  CHECK(name("a.example", "/x/y") == "middle");
  CHECK(name("a.example", "/x/y/z") == "deep");
  CHECK(name("a.example", "/q?p=/x/y/z") == "root");
  CHECK(name("a.example", "/x/?q=1") == "middle");
  CHECK(name("a.example", "x/") == "404");
  CHECK(name("a.example", "") == "404");
  CHECK(name("c.example", "/") == "404");
  CHECK(name("", "/") == "404");
}

TEST_CASE("hosts are compared without case and port", "[router]") {
  const Router router(TwoTenants());
  CHECK(NameOf(router.Match("A.EXAMPLE:8080", "/", "Bearer key-1")) == "root");
  CHECK(NameOf(router.Match(" a.example ", "/", "Bearer key-1")) == "root");
  auto configuration = std::make_shared<messages::Configuration>();
  AddRoute(configuration.get(), "six", "[2001:db8::1]", "/");
  const Router ipv6(configuration);
  CHECK(NameOf(ipv6.Match("[2001:DB8::1]:80", "/", "")) == "six");
  CHECK(NameOf(ipv6.Match("[2001:db8::1]", "/", "")) == "six");
}

TEST_CASE("a route that is not anonymous requires a known key", "[router]") {
  const Router router(TwoTenants());
  const auto status = [&](const char* authorization) {
    return NameOf(router.Match("a.example", "/", authorization));
  };
  CHECK(status("Bearer key-2") == "root");
  CHECK(status("bearer   key-2 ") == "root");
  CHECK(status("") == "401");
  CHECK(status("Bearer") == "401");
  CHECK(status("Bearer ") == "401");
  CHECK(status("Bearerkey-2") == "401");
  CHECK(status("Basic key-2") == "401");
  CHECK(status("Bearer key-4") == "401");
  CHECK(status("Bearer key-1 key-2") == "401");
  CHECK(NameOf(router.Match("c.example", "/", "")) == "404");
}

TEST_CASE("an anonymous route accepts any client and still identifies the tenant of a key", "[router]") {
  const Router router(TwoTenants());
  CHECK(std::get<RouteMatch>(router.Match("b.example", "/", "")).tenant == nullptr);
  CHECK(std::get<RouteMatch>(router.Match("b.example", "/", "Bearer none")).tenant == nullptr);
  CHECK(std::get<RouteMatch>(router.Match("b.example", "/", "Bearer key-3")).tenant->name() == "second");
}

TEST_CASE("without tenants no key is needed", "[router]") {
  auto configuration = TwoTenants();
  configuration->clear_tenants();
  const Router router(configuration);
  CHECK(NameOf(router.Match("a.example", "/", "")) == "root");
  CHECK(NameOf(router.Match("a.example", "/", "Bearer key-1")) == "root");
}

TEST_CASE("the route's kind decides what is repeatable, and the tenant's precedence outranks the route's",
          "[router]") {
  auto configuration = TwoTenants();
  messages::Route* route = configuration->mutable_routes(0);
  route->set_precedence(3);
  const auto match = [&](const std::string& key) {
    const Router router(configuration);
    RouteMatch found = std::get<RouteMatch>(router.Match("a.example", "/", "Bearer " + key));
    found.route = nullptr, found.tenant = nullptr;  // they belong to the destroyed router
    return found;
  };
  CHECK(match("key-1").precedence < match("key-3").precedence);
  route->set_precedence(0);
  const int second_tenant = match("key-3").precedence;
  route->set_precedence(1000);
  CHECK(match("key-1").precedence < second_tenant);

  CHECK(match("key-1").kind == RouteKind::kUnsafe);
  CHECK_FALSE(match("key-1").repeatable);
  route->set_kind("safe");
  CHECK(match("key-1").repeatable);
  route->set_kind("stream");
  CHECK(match("key-1").kind == RouteKind::kStream);
  CHECK_FALSE(match("key-1").repeatable);
  route->set_resumable(true);
  CHECK(match("key-1").repeatable);
}

TEST_CASE("weights split a route's requests", "[router]") {
  messages::Route route;
  route.set_service("one");
  CHECK(Router::ChooseService(route, 0.99) == "one");
  const auto add = [&](const char* service, double weight) {
    messages::WeightedService* weighted = route.add_weighted_services();
    weighted->set_service(service);
    weighted->set_weight(weight);
  };
  add("none", 0);
  add("most", 90);
  add("few", 10);
  add("never", 0);
  CHECK(Router::ChooseService(route, 0) == "most");
  CHECK(Router::ChooseService(route, 0.8999) == "most");
  CHECK(Router::ChooseService(route, 0.9001) == "few");
  CHECK(Router::ChooseService(route, 0.999999) == "few");
  CHECK(Router::ChooseService(route, 1) == "few");
}

TEST_CASE("each of ten thousand routes of a host is found", "[router]") {
  auto configuration = std::make_shared<messages::Configuration>();
  for (int i = 0; i < 10000; ++i) {
    const std::string number = std::to_string(i);
    AddRoute(configuration.get(), "r" + number, "a.example", "/p" + number + "/");
  }
  const Router router(configuration);
  for (int i = 0; i < 10000; ++i) {
    const std::string number = std::to_string(i);
    REQUIRE(NameOf(router.Match("a.example", "/p" + number + "/rest", "")) == "r" + number);
  }
}

}  // namespace
}  // namespace lichenlug::routing

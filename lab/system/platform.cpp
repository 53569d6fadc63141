#include "lab/system/platform.h"

#include <nlohmann/json.hpp>
#include <set>

#include "lab/system/http_call.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

using Json = nlohmann::json;

std::string HeaderOf(const HttpMessage& request, const char* name) {
  const std::string* value = request.Header(name);
  return value == nullptr ? "" : *value;
}

}  // namespace

Platform::Platform(asio::io_context& io, Ledger* ledger)
    : ledger_(ledger),
      server_(io, [this](const lab::HttpServer::Connection& connection, const HttpMessage& request) {
        Handle(connection, request);
      }) {}

std::string Platform::address() const { return AddressOf(server_.address()); }

std::uint64_t Platform::Reported(const std::string& tenant) const {
  std::set<std::int64_t> windows;
  std::uint64_t sum = 0;
  for (const UsageReport& report : usage_) {
    const auto found = report.tallies.find(tenant);
    if (windows.insert(report.window).second && found != report.tallies.end()) sum += found->second;
  }
  return sum;
}

bool Platform::AcceptFence(const std::string& subject, std::uint64_t fence, const std::string& holder) {
  Fence& highest = fences_[subject];
  if (fence < highest.number) {
    ++fenced_off_;
    return false;
  }
  if (fence == highest.number && !highest.holder.empty() && highest.holder != holder)
    ledger_->RecordViolation(subject + ": fence " + std::to_string(fence) + " is used by two holders");
  highest = {fence, holder};
  return true;
}

void Platform::RecordUsage(UsageReport report) {
  for (const UsageReport& earlier : usage_) {
    if (earlier.window == report.window && earlier.tallies != report.tallies)
      ledger_->RecordViolation("usage of window " + std::to_string(report.window) +
                               " was reported with two counts");
  }
  usage_.push_back(std::move(report));
}

void Platform::Handle(const lab::HttpServer::Connection& connection, const HttpMessage& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string fence = HeaderOf(request, wire::kDutyFence);
  const std::string holder = HeaderOf(request, wire::kDutyHolder);
  if (!body.is_object() || fence.empty() || holder.empty()) {
    ledger_->RecordViolation("the platform received a call without a holder, a fence or a body: " +
                             request.target);
    return lab::Reply(connection, 400, "");
  }
  const std::uint64_t number = std::stoull(fence);
  if (request.target == wire::kUsagePath) {
    if (!AcceptFence("usage", number, holder)) return lab::Reply(connection, 409, "");
    UsageReport report{body.at(wire::kWindow).get<std::int64_t>(), {}, holder, number};
    for (const auto& [tenant, count] : body.at(wire::kTallies).items())
      report.tallies[tenant] = count.get<std::uint64_t>();
    RecordUsage(std::move(report));
  } else if (request.target == wire::kFleetPath) {
    FleetOrder order{body.at(wire::kService).get<std::string>(), body.at(wire::kZone).get<std::string>(),
                     body.at("fleet_size").get<int>(), holder, number};
    if (!AcceptFence("fleet " + order.service + " " + order.zone, number, holder))
      return lab::Reply(connection, 409, "");
    fleet_.push_back(std::move(order));
  } else {
    return lab::Reply(connection, 404, "");
  }
  lab::Reply(connection, 200, "{}", {{wire::kContentType, wire::kJsonType}});
}

}  // namespace lichenlug::standins

// Simulated platform: accepts usage reports and fleet sizes, rejects calls with an outdated fence, and
// records what it accepted.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/fleet/http_server.h"
#include "lab/system/ledger.h"

namespace lichenlug::standins {

struct UsageReport {
  std::int64_t window = 0;
  std::map<std::string, std::uint64_t> tallies;  // by tenant
  std::string holder;
  std::uint64_t fence = 0;
};

struct FleetOrder {
  std::string service, zone;
  int size = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

class Platform {
 public:
  Platform(asio::io_context& io, Ledger* ledger);

  std::string address() const;
  const std::vector<UsageReport>& usage() const { return usage_; }  // those that were accepted
  const std::vector<FleetOrder>& fleet() const { return fleet_; }
  int fenced_off() const { return fenced_off_; }            // calls rejected for an outdated fence
  std::uint64_t Reported(const std::string& tenant) const;  // over all windows, each counted once

 private:
  struct Fence {
    std::uint64_t number = 0;
    std::string holder;
  };

  void Handle(const lab::HttpServer::Connection& connection, const HttpMessage& request);
  // Whether a call with this fence is accepted; the same fence from two holders breaks a rule.
  bool AcceptFence(const std::string& subject, std::uint64_t fence, const std::string& holder);
  void RecordUsage(UsageReport report);

  Ledger* ledger_;
  std::map<std::string, Fence> fences_;  // by duty and subject
  std::vector<UsageReport> usage_;
  std::vector<FleetOrder> fleet_;
  int fenced_off_ = 0;
  lab::HttpServer server_;
};

}  // namespace lichenlug::standins

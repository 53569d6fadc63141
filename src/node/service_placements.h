// The placements of the services whose shard this dispatcher owns or has owned. No I/O: HTTP calls are
// returned.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duties/ownership.h"
#include "node/node_settings.h"
#include "placement/placement.h"

namespace lichenlug::node {

class ServicePlacements {
 public:
  struct Call {
    std::string service;
    duties::HttpCall call;
  };
  struct Facts {
    const messages::Configuration* configuration = nullptr;
    const RunnerList* runners = nullptr;
    // The ownership of a service's shard; null if this dispatcher never wanted it.
    std::function<const duties::Ownership*(const std::string& service)> ownership_of;
    std::function<std::vector<messages::DemandReport>()> demand;
  };

  ServicePlacements(const NodeSettings& settings, std::uint64_t seed);

  std::vector<Call> Act(Time now, const Facts& facts);
  void Completed(Time now, const std::string& service, std::uint64_t tag, const duties::HttpResult& result);
  std::optional<Time> NextTimer() const;

  // What the placements of this shard may have loaded recently, to be stored with its owner's lease renewals.
  std::vector<messages::LoadHistory> RecentLoads(Time now, const std::string& register_name,
                                                 std::uint64_t epoch, bool resigned) const;
  std::vector<std::string> TakeNotices();            // for the log
  std::vector<std::string> Explain(Time now) const;  // one line per entry, for the operator

 private:
  placement::Placement& PlacementOf(const std::string& service);

  placement::Placement::Settings settings_;
  std::map<std::string, std::unique_ptr<placement::Placement>> placements_;  // by service
};

}  // namespace lichenlug::node

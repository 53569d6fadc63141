#include "lab/model/site.h"

namespace lichenlug::lab {

const std::vector<std::string>& FaultNames() {
  static const std::vector<std::string> names = {
      "vanish",      "kill",           "slow",           "grey",      "fail",
      "lie",         "shrink",         "replace",        "roll",      "partition",
      "one-way",     "discovery-down", "discovery-half", "store",     "surge",
      "retry-storm", "hot-key",        "heavy-tail",     "clock-jump"};
  return names;
}

const char* FaultName(FaultKind kind) { return FaultNames()[static_cast<std::size_t>(kind)].c_str(); }

double QuotaPerS(const Site& site, const TenantModel& tenant, double job_rate) {
  double shares = 0;
  for (const TenantModel& t : site.tenants) shares += t.share;
  return tenant.share / shares * site.quota_of_capacity * job_rate;
}

}  // namespace lichenlug::lab

#include "duties/usage_handover.h"

#include <algorithm>

namespace lichenlug::duties {
namespace {

constexpr int kWitnesses = 2;

}  // namespace

std::vector<std::string> UsageHandover::NewStores(const std::vector<Member>& live,
                                                  const std::string& self_name) {
  std::vector<std::string> added;
  std::set<std::pair<std::string, std::uint64_t>> present;
  for (const Member& member : live) {
    if (member.replica_id.empty() || member.name == self_name) continue;
    const std::pair process(member.name, member.incarnation);
    present.insert(process);
    if (!known_.contains(process)) added.push_back(member.address);
  }
  known_ = std::move(present);
  return added;
}

std::vector<std::string> UsageReceivers(const std::vector<Member>& live, const std::string& self_name,
                                        bool has_store) {
  std::vector<std::string> receivers;
  int witnesses = has_store ? kWitnesses : 0;
  for (const Member& member : live) {
    if (member.name == self_name) continue;
    const bool is_witness = member.replica_id.empty() && member.ready && witnesses-- > 0;
    if (is_witness || !member.replica_id.empty()) receivers.push_back(member.address);
  }
  return receivers;
}

std::vector<messages::UsageReport> ReportsOfEndedProcesses(std::vector<messages::UsageReport> reports,
                                                           const std::vector<Member>& live) {
  std::erase_if(reports, [&](const messages::UsageReport& report) {
    return std::any_of(live.begin(), live.end(), [&](const Member& member) {
      return member.name == report.name() && member.incarnation == report.incarnation();
    });
  });
  return reports;
}

}  // namespace lichenlug::duties

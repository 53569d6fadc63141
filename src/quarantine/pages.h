// The HTTP API for ticket owners: functions from the quarantine to a status and JSON.
//
//   GET  /-/quarantine?after=TICKET&most=N    ListPage
//   POST /-/quarantine/TICKET/release         ReleasePage
//   POST /-/quarantine/TICKET/discard?days=N  DiscardPage
//
// There is no authentication here: whoever may name a tenant to the program may decide for it. Tenants can't
// read or decide on each other's tickets: another tenant's ticket gets the same answer as a missing one.
#pragma once

#include <string>
#include <string_view>

#include "quarantine/quarantine.h"

namespace lichenlug {

struct OwnerResponse {
  int status = 200;
  std::string json;
};

inline constexpr int kMaxPerPage = 100;

OwnerResponse ListPage(const Quarantine& quarantine, std::string_view tenant, std::string_view after,
                       int max_count, Time now);
OwnerResponse ReleasePage(Quarantine* quarantine, std::string_view tenant, std::string_view ticket, Time now);
OwnerResponse DiscardPage(Quarantine* quarantine, std::string_view tenant, std::string_view ticket, int days,
                          Time now);

// The final answer to a held job: its type, its ticket, and its owner's options.
OwnerResponse HeldResponse(const Fingerprint& job, const Quarantine::Verdict& verdict);

}  // namespace lichenlug

// What owners are answered: pure functions from the quarantine to JSON and a status.
//
//   GET  /-/quarantine?after=TICKET&most=N    ListPage
//   POST /-/quarantine/TICKET/release         ReleasePage
//   POST /-/quarantine/TICKET/discard?days=N  DiscardPage
//
// There is no sign-in here: whoever may say a tenant's name to the program may decide for it. Guards against
// reading and deciding across tenants: another's ticket is answered like one that is not there.
#pragma once

#include <string>
#include <string_view>

#include "quarantine/quarantine.h"

namespace lichenlug {

struct OwnersAnswer {
  int status = 200;
  std::string json;
};

inline constexpr int kMaxOnPage = 100;

OwnersAnswer ListPage(const Quarantine& quarantine, std::string_view tenant, std::string_view after, int most,
                      Time now);
OwnersAnswer ReleasePage(Quarantine* quarantine, std::string_view tenant, std::string_view ticket, Time now);
OwnersAnswer DiscardPage(Quarantine* quarantine, std::string_view tenant, std::string_view ticket, int days,
                         Time now);

// The final answer to a job that is held: its type, its ticket, and what its owner can do.
OwnersAnswer HeldAnswer(const Fingerprint& job, const Quarantine::Verdict& verdict);

}  // namespace lichenlug

#include "quarantine/pages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lichenlug {
namespace {

using nlohmann::json;
using What = Quarantine::DecisionResult::What;

OwnerResponse Problem(int status, const char* type, const char* detail) {
  return {status, json{{"type", type}, {"detail", detail}}.dump()};
}

OwnerResponse ToAnswer(const Quarantine::DecisionResult& result, const Fingerprint& job) {
  switch (result.what) {
    case What::kDone:
      return {200, json{{"ticket", job.Ticket()},
                        {"state", StateName(result.state)},
                        {"held_by", result.holders},
                        {"members", result.members}}
                       .dump()};
    case What::kNotFound:
      return Problem(404, "not-found", "this tenant has no such ticket");
    case What::kNotHeld:
      return Problem(409, "not-held", "the job is not held; submit it again");
    case What::kTooManyWriters:
      return Problem(
          409, "too-many-deciders",
          "too many dispatchers have decided on this ticket; use one that has decided on it before");
    case What::kInvalidEnd:
      return Problem(400, "bad-end", "days must be 1 to 30");
  }
  return {};
}

json Row(const Fingerprint& job, const Ticket& ticket, Time now) {
  json row{{"ticket", job.Ticket()},
           {"state", StateName(ticket.StateAt(now))},
           {"job", ticket.line},
           {"runners_lost", ticket.strikes()},
           {"failed_trials", ticket.failed_trials},
           {"evidence", std::round(ticket.evidence.Sum(now) * 10) / 10}};
  const Decisions::Dot status = ticket.decisions.Current(UnixSeconds(now));
  if (const std::uint32_t until = status.what == Decision::kDiscarded ? status.until : ticket.condemned_until)
    row["until"] = until;
  return row;
}

}  // namespace

OwnerResponse ListPage(const Quarantine& quarantine, std::string_view tenant, std::string_view after,
                       int max_count, Time now) {
  Fingerprint from;
  if (!after.empty()) {
    const auto parsed = Fingerprint::Parse(after);
    if (!parsed) return Problem(400, "bad-ticket", "after must be 32 hexadecimal digits");
    from = *parsed;
  }
  max_count = std::clamp(max_count, 1, kMaxPerPage);
  const auto found = quarantine.List(ShortHash(tenant), from, max_count + 1);
  json page{{"tickets", json::array()}};
  for (std::size_t i = 0; i < std::min<std::size_t>(found.size(), static_cast<std::size_t>(max_count)); ++i)
    page["tickets"].push_back(Row(found[i].first, found[i].second, now));
  if (found.size() > static_cast<std::size_t>(max_count))
    page["next"] = found[static_cast<std::size_t>(max_count) - 1].first.Ticket();
  return {200, page.dump()};
}

OwnerResponse ReleasePage(Quarantine* quarantine, std::string_view tenant, std::string_view ticket,
                          Time now) {
  const auto job = Fingerprint::Parse(ticket);
  if (!job) return ToAnswer({.what = What::kNotFound}, {});
  return ToAnswer(quarantine->Release(ShortHash(tenant), *job, now), *job);
}

OwnerResponse DiscardPage(Quarantine* quarantine, std::string_view tenant, std::string_view ticket, int days,
                          Time now) {
  const auto job = Fingerprint::Parse(ticket);
  if (!job) return ToAnswer({.what = What::kNotFound}, {});
  if (days < 1 || days > 30) return ToAnswer({.what = What::kInvalidEnd}, {});
  // Ends with a UTC day, so that a repeated request is the same decision.
  const std::uint32_t day = 24 * 3600;
  const std::uint32_t until = (UnixSeconds(now) / day + static_cast<std::uint32_t>(days)) * day;
  return ToAnswer(quarantine->Discard(ShortHash(tenant), *job, until, now), *job);
}

OwnerResponse HeldResponse(const Fingerprint& job, const Quarantine::Verdict& verdict) {
  const bool discarded = verdict.what == Quarantine::Verdict::What::kDiscarded;
  const std::string path = "/-/quarantine/" + job.Ticket();
  json answer{{"type", discarded ? "job-discarded" : "job-quarantined"},
              {"ticket", job.Ticket()},
              {"until", verdict.until},
              {"release", "POST " + path + "/release"}};
  if (!discarded) answer["discard"] = "POST " + path + "/discard?days=7";
  return {422, answer.dump()};
}

}  // namespace lichenlug

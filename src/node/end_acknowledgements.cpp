#include "node/end_acknowledgements.h"

#include <utility>

namespace lichenlug::node {
namespace {

ControlResponse Refusal() {
  ControlResponse response;
  response.status = 503;
  response.content_type = "text/plain";
  response.body = "no majority of the core is known to hold this; call another dispatcher";
  return response;
}

}  // namespace

void EndAcknowledgements::Add(Time now, const std::string& runner_id, ControlResponse response,
                              Respond respond) {
  if (pending_.size() >= kMaxPendingEnds) return respond(Refusal());
  pending_.push_back({runner_id, now + kEndAcknowledgementTimeout, std::move(response), std::move(respond)});
}

int EndAcknowledgements::Check(Time now, const IsKnown& is_known) {
  int refused = 0;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    // A process that was frozen would respond late: its knowledge may be stale by then, and the caller has
    // given up.
    const bool is_over = now >= entry->until;
    if (!is_over && !is_known(entry->runner_id)) {
      ++entry;
      continue;
    }
    Pending done = std::move(*entry);
    entry = pending_.erase(entry);
    refused += is_over ? 1 : 0;
    done.respond(is_over ? Refusal() : std::move(done.response));
  }
  return refused;
}

std::optional<Time> EndAcknowledgements::NextTimer() const {
  return pending_.empty() ? std::nullopt : std::optional(pending_.front().until);
}

}  // namespace lichenlug::node

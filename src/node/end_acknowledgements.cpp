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
  if (waiting_.size() >= kMaxWaitingEnds) return respond(Refusal());
  waiting_.push_back({runner_id, now + kEndAcknowledgedWithin, std::move(response), std::move(respond)});
}

int EndAcknowledgements::Check(Time now, const IsKnown& is_known) {
  int refused = 0;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    // A process that was frozen would respond late: its knowledge may be stale by then, and the caller has
    // given up.
    const bool is_over = now >= entry->until;
    if (!is_over && !is_known(entry->runner_id)) {
      ++entry;
      continue;
    }
    Waiting done = std::move(*entry);
    entry = waiting_.erase(entry);
    refused += is_over ? 1 : 0;
    done.respond(is_over ? Refusal() : std::move(done.response));
  }
  return refused;
}

std::optional<Time> EndAcknowledgements::NextTimer() const {
  return waiting_.empty() ? std::nullopt : std::optional(waiting_.front().until);
}

}  // namespace lichenlug::node

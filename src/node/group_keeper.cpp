#include "node/group_keeper.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "configuration/configuration.h"
#include "node/duty_service.h"
#include "node/group_planner.h"

namespace lichenlug::node {

namespace {

constexpr Time kCheckInterval = 300 * kMillisecond;
constexpr Time kHintInterval = 500 * kMillisecond;
constexpr Time kPollInterval = 100 * kMillisecond;  // while the founding group is unknown
constexpr Time kProofPollInterval = 400 * kMillisecond;

}  // namespace

std::vector<std::string> AllRegisters() {
  std::vector<std::string> names = AllDutyRegisters();
  names.emplace_back(configuration::kRegisterName);
  return names;
}

Time GroupKeeper::NextTimer() const {
  return registers_->FoundingIsProven() ? next_check_ : std::min(next_check_, next_query_);
}

void GroupKeeper::Tick(Time now, const std::vector<Member>& live, const std::string& replica_id) {
  if (!registers_->FoundingIsProven() && now >= next_query_) QueryGroups(now, live);
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  if (IsGroupKeeper(live, settings_.name)) SendNextHint(now, live);
  ChangeGroups(now, live, !replica_id.empty());
}

void GroupKeeper::SendNextHint(Time now, const std::vector<Member>& live) {
  if (now < next_hint_) return;
  next_hint_ = now + kHintInterval;
  SendHints(live[next_hint_index_++ % live.size()].address);
}

void GroupKeeper::ChangeGroups(Time now, const std::vector<Member>& live, bool may_change) {
  for (const std::string& name : AllRegisters()) {
    if (auto move = mover_.Next(now, name, registers_->KnownGroup(name), live, may_change))
      Change(std::move(*move));
  }
}

void GroupKeeper::Change(GroupMove move) {
  LOG(INFO) << move.register_name << ": changing the replica group to " << move.members.size() << " members";
  registers_->Submit(
      move.register_name,
      [change = consensus::NewGroup{std::move(move.members), move.if_version}](const std::string&) {
        return change;
      },
      move.deadline,
      [this, register_name = move.register_name](const consensus::Completion& completion) {
        const bool settled = completion.outcome == consensus::Outcome::kChosen ||
                             completion.outcome == consensus::Outcome::kKept;
        mover_.Completed(host_->Now(), register_name, settled);
        LOG_IF_EVERY_N(WARNING, !settled, 20) << register_name << ": replica group not changed; retrying";
      });
}

void GroupKeeper::Receive(const std::string& from_address, const messages::GroupHints& hints) {
  if (hints.has_founding()) registers_->LearnFounding(hints.founding(), hints.founding_proven());
  for (const auto& hint : hints.groups()) registers_->LearnGroup(hint.register_name(), hint.group());
  if (hints.wants_reply()) SendHints(from_address);
}

// A process that is not on its first start and has no store, or an empty one, queries others for the groups.
// A process that only assumes the founding group queries whether another one was agreed on.
void GroupKeeper::QueryGroups(Time now, const std::vector<Member>& live) {
  next_query_ = now + (registers_->KnowsFounding() ? kProofPollInterval : kPollInterval);
  for (const std::string& address : query_targets_.Next(live, settings_.internal_address)) {
    messages::Envelope envelope;
    envelope.mutable_group_hints()->set_wants_reply(true);
    host_->Send(address, std::move(envelope));
  }
}

void GroupKeeper::SendHints(const std::string& address) {
  if (address == settings_.internal_address || !registers_->KnowsFounding()) return;
  messages::Envelope envelope;
  *envelope.mutable_group_hints()->mutable_founding() = registers_->founding();
  envelope.mutable_group_hints()->set_founding_proven(registers_->FoundingIsProven());
  for (const std::string& name : AllRegisters()) {
    const messages::ReplicaGroup group = registers_->KnownGroup(name);
    if (group.version() == 0) continue;
    messages::RegisterGroup* hint = envelope.mutable_group_hints()->add_groups();
    hint->set_register_name(name);
    *hint->mutable_group() = group;
  }
  host_->Send(address, std::move(envelope));
}

}  // namespace lichenlug::node

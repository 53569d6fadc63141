#include "node/configuration_source.h"

#include "configuration/configuration.h"
#include "consensus/group.h"

namespace lichenlug::node {

namespace {

const std::string kRegister(configuration::kRegisterName);

}  // namespace

// A value that is written back, or moved to another replica group, carries a revision that is already in
// force on this dispatcher.
void ConfigurationSource::OnAcceptRequest(Time now, const std::string& payload) {
  const auto state = configuration::ReadState(payload);
  const configuration::Follower::Version* current = follower_->Current();
  const bool is_news = state && (current == nullptr || state->revision() > current->revision);
  if (!is_news) return;
  const std::size_t replicas = consensus::AllMembers(registers_->KnownGroup(kRegister)).size();
  reader_.OnAcceptRequest(now, payload.size() * replicas);
}

// A dispatcher with a replica completes an unfinished proposal that it finds; all others only read. If they
// completed it too, all dispatchers would be competing proposers that preempt one another's ballots.
void ConfigurationSource::ReadIfDue(Time now, bool has_replica) {
  const auto read = reader_.Next(now);
  if (!read) return;
  const auto done = [this, push = read->push](const consensus::Completion& completion) {
    Read(completion, push);
  };
  if (!has_replica) return registers_->Read(kRegister, read->deadline, done);
  registers_->Submit(
      kRegister, [](const std::string&) { return consensus::KeepPayload{}; }, read->deadline, done);
}

void ConfigurationSource::Read(const consensus::Completion& completion, bool push) {
  const bool answered = completion.outcome == consensus::Outcome::kKept;
  reader_.Completed(host_->Now(), answered);
  if (!answered) return;
  if (const auto state = configuration::ReadState(completion.payload)) learned_(*state, push);
}

}  // namespace lichenlug::node

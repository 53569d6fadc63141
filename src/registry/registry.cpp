#include "registry/registry.h"

#include <algorithm>
#include <utility>

#include "registry/registry_impl.h"

namespace lichenlug::registry {
namespace {

constexpr int kMissedHeartbeatsUntilLost = 3;
constexpr int kGraceHeartbeats = 1;  // added for a new home, as runners have yet to switch to it
constexpr Time kMinPause = kSecond;  // a longer gap between ticks is a pause of this process
constexpr Time kMaxExpiryCheckInterval = kSecond / 4;  // between two checks for silent runners
constexpr Time kRecentChangeAge = 4 * kSecond;  // changes this recent are also sent to a newly live peer

// Notifies the home that a runner which reports to this dispatcher is alive.
void NotifyHome(const Home& home, const TrackedRunner& runner, RegistryOutput* output) {
  if (!IsAlive(runner.record.state())) return;
  auto& send = output->sends.emplace_back();
  send.address = home.address;
  auto* alive = send.message.mutable_update()->add_alive();
  alive->set_runner_id(runner.record.runner_id());
  alive->set_call_count(runner.last_call_count);
}

Homes::Candidate SelfCandidate(const RegistrySettings& settings) {
  Homes::Candidate self;
  self.member.name = settings.self_name;
  self.member.zone = settings.zone;
  self.member.counts_for_quorum = settings.counts_for_quorum;
  self.serves_control = settings.serves_control;
  return self;
}

}  // namespace

Registry::Impl::Impl(RegistrySettings settings)
    : settings_(std::move(settings)),
      table_(settings_.max_runners),
      homes_(SelfCandidate(settings_), settings_.prefers_quorum_members),
      spread_(settings_.seed),
      storage_(settings_.has_store),
      anti_entropy_(settings_.heartbeat_interval, settings_.seed) {}

Registry::Answer Registry::Impl::Heartbeat(Time now, const messages::RunnerRecord& heartbeat,
                                           RegistryOutput* output) {
  const Home& home = HomeOf(now, heartbeat);
  const bool is_end = heartbeat.state() == messages::RUNNER_DRAINING;
  Answer answer{true, home.control_address, is_end};
  TrackedRunner* runner = table_.Find(heartbeat.runner_id());
  if (runner == nullptr) {
    runner = table_.Add(now, heartbeat);
    if (runner == nullptr) return {};
    ClaimAddress(now, *runner, output);
    RecordChange(now, runner, output);
  } else if (!ApplyHeartbeat(now, heartbeat, runner, output) && !home.is_self) {
    NotifyHome(home, *runner, output);
  }
  StoreEnd(now, *runner, output);
  spread_.Flush(now, &table_, output);
  return answer;
}

bool Registry::Impl::ApplyHeartbeat(Time now, const messages::RunnerRecord& heartbeat, TrackedRunner* runner,
                                    RegistryOutput* output) {
  if (heartbeat.call_count() <= runner->last_call_count || !MayBeAlive(now, *runner, heartbeat.address()))
    return ApplyStaleDrain(now, heartbeat, runner, output);
  runner->last_call_count = heartbeat.call_count();
  runner->last_heard = now;
  const messages::RunnerRecord before = runner->record;
  if (MergeRecord(heartbeat, true, runner) == MergeResult::kNothing) return false;
  if (HasSameContent(before, runner->record)) {
    runner->record.set_call_count(before.call_count());
    return false;
  }
  if (!IsAlive(before.state()) || before.address() != runner->record.address())
    ClaimAddress(now, *runner, output);
  RecordChange(now, runner, output);
  return true;
}

bool Registry::Impl::ApplyStaleDrain(Time now, const messages::RunnerRecord& heartbeat, TrackedRunner* runner,
                                     RegistryOutput* output) {
  if (heartbeat.state() != messages::RUNNER_DRAINING || runner->record.state() != messages::RUNNER_READY)
    return false;
  runner->record.set_state(messages::RUNNER_DRAINING);
  RecordChange(now, runner, output);
  return true;
}

bool Registry::Impl::MayBeAlive(Time now, const TrackedRunner& runner, const std::string& address) {
  if (IsAlive(runner.record.state())) return true;
  const TrackedRunner* holder = table_.FindAliveByAddress(address, runner.record.runner_id());
  return holder == nullptr || now - holder->last_heard > settings_.heartbeat_interval * 5 / 4;
}

void Registry::Impl::ClaimAddress(Time now, const TrackedRunner& runner, RegistryOutput* output) {
  const std::string& runner_id = runner.record.runner_id();
  while (TrackedRunner* older = table_.FindAliveByAddress(runner.record.address(), runner_id))
    DeclareLost(now, older, output);
}

void Registry::Impl::DeclareLost(Time now, TrackedRunner* runner, RegistryOutput* output) {
  runner->record.set_was_draining(runner->record.state() == messages::RUNNER_DRAINING);
  runner->record.set_state(messages::RUNNER_LOST);
  runner->record.set_call_count(runner->last_call_count);
  RecordChange(now, runner, output);
}

void Registry::Impl::RecordChange(Time now, TrackedRunner* runner, RegistryOutput* output) {
  if (!IsAlive(runner->record.state())) runner->ended_at = now;
  receipts_.Remove(runner->record.runner_id());  // they are for the previous record
  runner->spread_at = now;
  spread_.Add(runner->record.runner_id());
  output->changed = true;
}

Time Registry::Impl::HomeTimeout() const {
  return (kMissedHeartbeatsUntilLost + kGraceHeartbeats) * settings_.heartbeat_interval;
}

const Home& Registry::Impl::HomeOf(Time now, const messages::RunnerRecord& record) {
  return homes_.HomeOf(now, record.service(), record.zone());
}

void Registry::Impl::Expire(Time now, RegistryOutput* output) {
  const Time timeout = kMissedHeartbeatsUntilLost * settings_.heartbeat_interval;
  for (auto& [runner_id, runner] : table_.runners()) {
    if (!IsAlive(runner.record.state()) || now - runner.last_heard < timeout) continue;
    const Home& home = HomeOf(now, runner.record);
    if (!home.is_self || now - std::max(home.since, resumed_at_) < HomeTimeout()) continue;
    DeclareLost(now, &runner, output);
  }
}

void Registry::Impl::Delete(Time now, const std::string& runner_id, RegistryOutput* output) {
  TrackedRunner* runner = table_.Find(runner_id);
  if (runner == nullptr) {
    messages::RunnerRecord gone;
    gone.set_runner_id(runner_id);
    MarkGone(&gone);
    runner = table_.Add(now, gone);
    if (runner == nullptr) return;
  } else if (runner->record.state() == messages::RUNNER_GONE) {
    return;
  }
  MarkGone(&runner->record);
  RecordChange(now, runner, output);
  StoreEnd(now, *runner, output);
  spread_.Flush(now, &table_, output);
}

bool Registry::Impl::IsEndAcknowledgedBy(const std::string& runner_id, const std::string& address) const {
  return receipts_.Has(runner_id, address);
}

void Registry::Impl::SendEnd(Time now, const std::string& runner_id,
                             const std::vector<std::string>& addresses, RegistryOutput* output) {
  for (const std::string& address : addresses) {
    const bool is_notified = receipts_.Has(runner_id, address) || spread_.IsInFlight(address, runner_id);
    if (!is_notified) spread_.AddFor(address, runner_id);
  }
  if (const TrackedRunner* runner = table_.Find(runner_id)) StoreEnd(now, *runner, output);
  spread_.Flush(now, &table_, output);
}

void Registry::Impl::SetMembers(Time now, const std::vector<Member>& live, RegistryOutput* output) {
  homes_.SetMembers(now, live);
  const std::vector<std::string> added = spread_.SetPeers(live);
  for (const std::string& address : added) receipts_.RemovePeer(address);
  for (const auto& [runner_id, runner] : table_.runners()) {
    if (runner.spread_at == 0 || now - runner.spread_at > kRecentChangeAge) continue;
    for (const std::string& address : added) spread_.AddFor(address, runner_id);
  }
  anti_entropy_.SetPeers(now, live, added);
  spread_.Flush(now, &table_, output);
}

void Registry::Impl::Tick(Time now, RegistryOutput* output) {
  if (last_tick_ && now - *last_tick_ > kMinPause) resumed_at_ = now;
  last_tick_ = now;
  if (now >= next_expiry_check_) {
    next_expiry_check_ = now + std::min(settings_.heartbeat_interval / 4, kMaxExpiryCheckInterval);
    Expire(now, output);
    table_.RemoveExpired(now);
    const auto is_tracked = [this](const std::string& runner_id) {
      return table_.Find(runner_id) != nullptr;
    };
    receipts_.RemoveUnless(is_tracked);
    storage_.EraseUnless(is_tracked, output);
    StoreEnds(now, output);
  }
  spread_.Flush(now, &table_, output);
  spread_.Tick(now, &table_, output);
  anti_entropy_.Tick(now, table_, output);
}

std::optional<Time> Registry::Impl::NextTimer() const {
  const Time next = std::min(next_expiry_check_, anti_entropy_.NextTimer());
  return std::min(next, spread_.NextTimer().value_or(next));
}

Registry::Registry(RegistrySettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Registry::~Registry() = default;

Registry::Answer Registry::Heartbeat(Time now, const messages::RunnerRecord& record, RegistryOutput* output) {
  return impl_->Heartbeat(now, record, output);
}
void Registry::Delete(Time now, const std::string& runner_id, RegistryOutput* output) {
  impl_->Delete(now, runner_id, output);
}
bool Registry::IsEndAcknowledgedBy(const std::string& runner_id, const std::string& address) const {
  return impl_->IsEndAcknowledgedBy(runner_id, address);
}
bool Registry::IsEndStored(const std::string& runner_id) const { return impl_->IsEndStored(runner_id); }
void Registry::StoreOpened(Time now, const std::vector<messages::RunnerRecord>& ends,
                           RegistryOutput* output) {
  impl_->StoreOpened(now, ends, output);
}
void Registry::WriteDone(Time now, std::uint64_t token, bool written, RegistryOutput* output) {
  impl_->WriteDone(now, token, written, output);
}
void Registry::SendEnd(Time now, const std::string& runner_id, const std::vector<std::string>& addresses,
                       RegistryOutput* output) {
  impl_->SendEnd(now, runner_id, addresses, output);
}
void Registry::Receive(Time now, const std::string& from_address, const messages::RegistryMessage& message,
                       RegistryOutput* output) {
  impl_->Receive(now, from_address, message, output);
}
void Registry::SetMembers(Time now, const std::vector<Member>& live, RegistryOutput* output) {
  impl_->SetMembers(now, live, output);
}
void Registry::Tick(Time now, RegistryOutput* output) { impl_->Tick(now, output); }
std::optional<Time> Registry::NextTimer() const { return impl_->NextTimer(); }
RunnerList Registry::Runners() const { return impl_->Runners(); }
bool Registry::Settled(Time now) const { return impl_->Settled(now); }

}  // namespace lichenlug::registry

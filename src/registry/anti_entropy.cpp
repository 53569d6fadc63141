#include "registry/anti_entropy.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lichenlug::registry {
namespace {

constexpr Time kDigestInterval = kSecond;
constexpr Time kFastDigestInterval = 250 * kMillisecond;  // in a new process, and after a peer failed
constexpr Time kFastDigestDuration = 2 * kSecond;
constexpr std::size_t kExpectedGreetings = 8;  // expected number of peers that send a newly live one a digest
constexpr int kMaxRecordsInRepair = 256;       // per message

// Splits records into updates that require no acknowledgement.
class RepairWriter {
 public:
  RepairWriter(std::string address, RegistryOutput* output) : address_(std::move(address)), output_(output) {}

  void Add(messages::RunnerRecord record) {
    if (update_ == nullptr || update_->records_size() >= kMaxRecordsInRepair) Begin();
    *update_->add_records() = std::move(record);
  }
  void Request(const std::string& runner_id) {
    if (update_ == nullptr) Begin();
    update_->add_wanted(runner_id);
  }

 private:
  void Begin() {
    output_->sends.emplace_back().address = address_;
    update_ = output_->sends.back().message.mutable_update();
  }

  std::string address_;
  RegistryOutput* output_;
  messages::RegistryUpdate* update_ = nullptr;
};

}  // namespace

void AntiEntropy::SetPeers(Time now, const std::vector<Member>& live, const std::vector<std::string>& added) {
  const bool some_left = live.size() < peers_.size() + added.size();
  if (some_left) fast_until_ = now + kFastDigestDuration;
  if (some_left || (!added.empty() && !settled_)) next_at_ = 0;
  peers_.clear();
  core_peers_.clear();
  for (const Member& member : live) {
    peers_.push_back(member.address);
    if (member.counts_for_quorum) core_peers_.push_back(member.address);
  }
  std::erase_if(unsynced_peers_, [this](const std::string& address) {
    return std::find(peers_.begin(), peers_.end(), address) == peers_.end();
  });
  for (const std::string& address : added)
    if (random_() % (peers_.size() + 1) < kExpectedGreetings) unsynced_peers_.push_back(address);
}

void AntiEntropy::Tick(Time now, const RunnerTable& table, RegistryOutput* output) {
  if (started_at_ < 0) started_at_ = now;
  for (const std::string& address : std::exchange(unsynced_peers_, {})) SendHash(now, address, table, output);
  if (now < next_at_) return;
  const Time every = Settled(now) && now >= fast_until_ ? kDigestInterval : kFastDigestInterval;
  next_at_ = now + every * 3 / 4 + static_cast<Time>(random_() % static_cast<std::uint64_t>(every / 2));
  if (peers_.empty()) return;
  const std::string& peer = peers_[random_() % peers_.size()];
  SendHash(now, peer, table, output);
  if (core_peers_.empty()) return;
  const std::string& core_peer = core_peers_[random_() % core_peers_.size()];
  if (core_peer != peer) SendHash(now, core_peer, table, output);
}

void AntiEntropy::SendHash(Time now, const std::string& address, const RunnerTable& table,
                           RegistryOutput* output) const {
  auto& send = output->sends.emplace_back();
  send.address = address;
  send.message.mutable_digest()->set_hash(table.Hash(now));
  send.message.mutable_digest()->set_settled(Settled(now));
}

void AntiEntropy::Receive(Time now, const std::string& from_address, const messages::RegistryDigest& digest,
                          RunnerTable* table, RegistryOutput* output) {
  const std::uint64_t hash = table->Hash(now);
  if (digest.hash() == hash) {
    settled_ = settled_ || digest.settled();
    if (!digest.reply() && !digest.settled() && Settled(now)) {
      SendHash(now, from_address, *table, output);
      output->sends.back().message.mutable_digest()->set_reply(true);
    }
    return;
  }
  if (digest.reply()) return Repair(now, from_address, digest, table, output);
  auto& send = output->sends.emplace_back();
  send.address = from_address;
  auto* reply = send.message.mutable_digest();
  reply->set_hash(hash);
  reply->set_reply(true);
  reply->set_settled(Settled(now));
  table->Describe(now, reply);
}

void AntiEntropy::Repair(Time now, const std::string& from_address, const messages::RegistryDigest& digest,
                         RunnerTable* table, RegistryOutput* output) {
  RepairWriter writer(from_address, output);
  std::set<std::string> listed;
  if (digest.settled()) awaited_.clear();
  for (const auto& entry : digest.entries()) {
    listed.insert(entry.runner_id());
    const Version theirs{entry.call_count(), entry.state()};
    const TrackedRunner* local = table->Find(entry.runner_id());
    if (local == nullptr || WouldChange(VersionOf(local->record), theirs)) {
      writer.Request(entry.runner_id());
      if (digest.settled()) awaited_[entry.runner_id()] = theirs;
    } else if (WouldChange(theirs, VersionOf(local->record))) {
      writer.Add(RunnerTable::RecordToSend(now, *local));
    }
  }
  for (const auto& [runner_id, runner] : table->runners()) {
    messages::RunnerRecord record = RunnerTable::RecordToSend(now, runner);
    if (!listed.contains(runner_id) && RunnerTable::ShouldAccept(record)) writer.Add(std::move(record));
  }
  if (digest.settled() && awaited_.empty()) settled_ = true;
}

void AntiEntropy::SendRequested(Time now, const std::string& from_address,
                                const messages::RegistryUpdate& update, RunnerTable* table,
                                RegistryOutput* output) const {
  RepairWriter writer(from_address, output);
  for (const std::string& runner_id : update.wanted())
    if (const TrackedRunner* runner = table->Find(runner_id))
      writer.Add(RunnerTable::RecordToSend(now, *runner));
}

void AntiEntropy::OnUpdateMerged(RunnerTable* table) {
  if (awaited_.empty()) return;
  std::erase_if(awaited_, [table](const auto& entry) {
    const TrackedRunner* local = table->Find(entry.first);
    return local != nullptr && !WouldChange(VersionOf(local->record), entry.second);
  });
  if (awaited_.empty()) settled_ = true;
}

bool AntiEntropy::Settled(Time now) const {
  return settled_ || (started_at_ >= 0 && now - started_at_ >= heartbeat_interval_ * 5 / 2);
}

}  // namespace lichenlug::registry

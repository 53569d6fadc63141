#include "controlplane/register_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <utility>

namespace lichenlug::controlplane {

namespace {

constexpr std::size_t kMostHints = 64;
constexpr Time kDiskAgainAfter = 300 * kMillisecond;  // a full disk may have space again
constexpr const char* kFoundingKey = "system/founding_group";

std::string FounderIdentity(const std::string& address) { return "founder:" + address; }

std::string RandomIdentity() {
  std::random_device device;
  const std::uint64_t high = device(), low = device();
  return "replica:" + std::to_string(high << 32 | low);
}

messages::ReplicaGroup GroupOfSeeds(const NodeSettings& settings) {
  messages::ReplicaGroup group;
  for (const std::string& address : settings.seed_addresses) {
    messages::ReplicaIdentity* member = group.add_members();
    member->set_replica_id(FounderIdentity(address));
    member->set_address(address);
  }
  return group;
}

}  // namespace

RegisterService::RegisterService(EventLoop* loop, const NodeSettings& settings, std::uint64_t incarnation,
                                 std::uint64_t seed, SendFunction send)
    : loop_(loop), settings_(settings), incarnation_(incarnation), seed_(seed), send_(std::move(send)) {
  if (settings_.first_run) LearnFounding(GroupOfSeeds(settings_));
}

RegisterService::~RegisterService() { store_.reset(); }

consensus::RegisterNodeSettings RegisterService::NodeSettingsFor(const std::string& role,
                                                                 const std::string& replica_id) const {
  consensus::RegisterNodeSettings node;
  node.proposer = settings_.name + "/" + std::to_string(incarnation_) + "/" + role;
  node.self_address = settings_.internal_address;
  node.self_name = settings_.name;
  node.replica_id = replica_id;
  node.founding_group = {founding_.members().begin(), founding_.members().end()};
  node.seed = seed_;
  return node;
}

void RegisterService::LearnFounding(const messages::ReplicaGroup& founding) {
  if (KnowsFounding() || founding.members_size() == 0) return;
  founding_ = founding;
  node_ = std::make_unique<consensus::RegisterNode>(NodeSettingsFor("proposer", ""));
  StartReplica();
}

void RegisterService::OpenStore(std::function<void(const std::string& replica_id)> started) {
  if (settings_.store_folder.empty()) return;
  replica_started_ = std::move(started);
  const std::string identity =
      settings_.first_run ? FounderIdentity(settings_.internal_address) : RandomIdentity();
  store_ = std::make_unique<storage::RecordStore>(settings_.store_folder, identity);
  AskStoreToOpen();
}

void RegisterService::AskStoreToOpen() {
  reopen_store_at_.reset();
  store_->Open([this](storage::RecordStore::OpenResult result) {
    loop_->Post([this, result = std::move(result)]() mutable { StoreOpened(std::move(result)); });
  });
}

void RegisterService::StoreOpened(storage::RecordStore::OpenResult result) {
  if (!result.opened) {
    LOG_EVERY_N(ERROR, 20) << "store: " << result.error;
    reopen_store_at_ = EventLoop::Now() + kDiskAgainAfter;
    return;
  }
  LOG(INFO) << "store: opened as " << result.replica_id << (result.created ? " (new)" : "");
  const auto kept = std::find_if(result.records.begin(), result.records.end(),
                                 [](const auto& record) { return record.first == kFoundingKey; });
  messages::ReplicaGroup founding;
  if (kept != result.records.end()) {
    founding_kept_ = founding.ParseFromString(kept->second);
    result.records.erase(kept);
  }
  opened_store_ = std::move(result);
  if (founding_kept_) LearnFounding(founding);
  StartReplica();
}

// Needs the store and the founding group, whichever comes last.
void RegisterService::StartReplica() {
  if (!opened_store_ || !KnowsFounding() || replicates_) return;
  const std::string replica_id = opened_store_->replica_id;
  auto replica = std::make_unique<consensus::RegisterNode>(NodeSettingsFor("replica", replica_id));
  if (!replica->Restore(opened_store_->records)) {
    LOG(ERROR) << "store: a record in " << settings_.store_folder
               << " can't be read; empty the folder, then this machine joins again as a new replica";
    return;
  }
  opened_store_.reset();
  for (const auto& [name, group] : hints_) replica->LearnGroup(name, group);
  node_ = std::move(replica);
  replicates_ = true;
  EndOperations();
  KeepFounding();
  replica_started_(replica_id);
}

void RegisterService::KeepFounding() {
  keep_founding_at_.reset();
  if (founding_kept_) return;
  founding_kept_ = true;
  store_->Write(kFoundingKey, founding_.SerializeAsString(), [this](bool written) {
    if (written) return;
    loop_->Post([this] {
      founding_kept_ = false;
      keep_founding_at_ = EventLoop::Now() + kDiskAgainAfter;
    });
  });
}

void RegisterService::Submit(const std::string& register_name, consensus::ChangeFunction change,
                             Time give_up_at, Done done) {
  if (!node_) return loop_->Post([done = std::move(done)] { done({}); });
  consensus::RegisterOutput output;
  const auto operation =
      node_->Submit(EventLoop::Now(), register_name, std::move(change), give_up_at, &output);
  waiting_.emplace(operation, std::move(done));
  Carry(std::move(output));
}

void RegisterService::EndOperations() {
  const auto waiting = std::exchange(waiting_, {});
  for (const auto& [operation, done] : waiting) {
    consensus::Completion completion;
    completion.outcome = consensus::Outcome::kUnknown;
    done(completion);
  }
}

void RegisterService::Receive(const std::string& from_address, const messages::RegisterMessage& message) {
  if (!node_) return;
  if (message.has_accept() && accepting_)
    accepting_(message.register_name(), message.accept().value().payload());
  consensus::RegisterOutput output;
  node_->Receive(EventLoop::Now(), from_address, message, &output);
  Carry(std::move(output));
}

void RegisterService::Tick(Time now) {
  if (reopen_store_at_ && *reopen_store_at_ <= now) AskStoreToOpen();
  if (keep_founding_at_ && *keep_founding_at_ <= now) KeepFounding();
  if (!node_) return;
  consensus::RegisterOutput output;
  node_->Tick(now, &output);
  Carry(std::move(output));
}

std::optional<Time> RegisterService::NextTimer() const {
  std::optional<Time> next = node_ ? node_->NextTimer() : std::nullopt;
  for (const std::optional<Time>& timer : {reopen_store_at_, keep_founding_at_}) {
    if (timer) next = std::min(next.value_or(*timer), *timer);
  }
  return next;
}

void RegisterService::LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group) {
  if (hints_.size() >= kMostHints && hints_.count(register_name) == 0) return;
  messages::ReplicaGroup& held = hints_[register_name];
  if (group.version() > held.version()) held = group;
  if (node_) node_->LearnGroup(register_name, group);
}

messages::ReplicaGroup RegisterService::KnownGroup(const std::string& register_name) const {
  return node_ ? node_->KnownGroup(register_name) : messages::ReplicaGroup();
}

void RegisterService::Carry(consensus::RegisterOutput output) {
  for (consensus::RegisterSend& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_consensus() = std::move(send.message);
    send_(send.address, std::move(envelope));
  }
  for (consensus::RegisterWrite& write : output.writes) {
    store_->Write(std::move(write.key), std::move(write.value), [this, token = write.token](bool written) {
      loop_->Post([this, token, written] { WriteDone(token, written); });
    });
  }
  for (const consensus::Completion& completion : output.completions) {
    const auto found = waiting_.find(completion.operation);
    if (found == waiting_.end()) continue;
    const Done done = std::move(found->second);
    waiting_.erase(found);
    done(completion);
  }
}

void RegisterService::WriteDone(std::uint64_t token, bool written) {
  if (!written) {
    LOG_EVERY_N(WARNING, 20) << "store: a record can't be written; free space on the disk";
  }
  consensus::RegisterOutput output;
  node_->StoreDone(EventLoop::Now(), token, written, &output);
  Carry(std::move(output));
}

}  // namespace lichenlug::controlplane

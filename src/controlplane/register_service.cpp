#include "controlplane/register_service.h"

#include <glog/logging.h>

#include <random>
#include <utility>

#include "configuration/configuration.h"

namespace lichenlug::controlplane {

namespace {

constexpr Time kOpenAgainAfter = 500 * kMillisecond;

std::string FounderIdentity(const std::string& address) { return "founder:" + address; }

std::string RandomIdentity() {
  std::random_device device;
  const std::uint64_t high = device(), low = device();
  return "replica:" + std::to_string(high << 32 | low);
}

std::vector<messages::ReplicaIdentity> FoundingGroup(const NodeSettings& settings) {
  std::vector<messages::ReplicaIdentity> group;
  for (const std::string& address : settings.seed_addresses) {
    messages::ReplicaIdentity& member = group.emplace_back();
    member.set_replica_id(FounderIdentity(address));
    member.set_address(address);
  }
  return group;
}

bool IsForReplica(const messages::RegisterMessage& message) {
  return message.has_prepare() || message.has_accept();
}

}  // namespace

RegisterService::RegisterService(EventLoop* loop, const NodeSettings& settings, std::uint64_t incarnation,
                                 std::uint64_t seed, SendFunction send)
    : loop_(loop), settings_(settings), incarnation_(incarnation), seed_(seed), send_(std::move(send)) {
  proposer_ = std::make_unique<consensus::RegisterNode>(NodeSettingsFor("proposer", ""));
}

RegisterService::~RegisterService() { store_.reset(); }

consensus::RegisterNodeSettings RegisterService::NodeSettingsFor(const std::string& role,
                                                                 const std::string& replica_id) const {
  consensus::RegisterNodeSettings node;
  node.proposer = settings_.name + "/" + std::to_string(incarnation_) + "/" + role;
  node.self_address = settings_.internal_address;
  node.self_name = settings_.name;
  node.replica_id = replica_id;
  node.founding_group = FoundingGroup(settings_);
  node.seed = seed_;
  return node;
}

void RegisterService::OpenStore(std::function<void(const std::string& replica_id)> opened) {
  if (settings_.store_folder.empty()) return;
  const std::string identity =
      settings_.first_run ? FounderIdentity(settings_.internal_address) : RandomIdentity();
  store_ = std::make_unique<storage::RecordStore>(settings_.store_folder, identity);
  store_->Open([this, opened = std::move(opened)](storage::RecordStore::OpenResult result) {
    loop_->Post([this, result = std::move(result), opened] { StoreOpened(result, opened); });
  });
}

void RegisterService::StoreOpened(storage::RecordStore::OpenResult result,
                                  std::function<void(const std::string& replica_id)> opened) {
  if (!result.opened) {
    LOG(ERROR) << "store: " << result.error;
    return;
  }
  auto replica = std::make_unique<consensus::RegisterNode>(NodeSettingsFor("replica", result.replica_id));
  if (!replica->Restore(result.records)) {
    LOG(ERROR) << "store: a record in " << settings_.store_folder
               << " can't be read; empty the folder, then this machine joins again as a new replica";
    return;
  }
  replica_ = std::move(replica);
  LOG(INFO) << "store: opened as " << result.replica_id << (result.created ? " (new)" : "");
  opened(result.replica_id);
}

void RegisterService::Submit(const std::string& register_name, consensus::ChangeFunction change,
                             Time give_up_at, Done done) {
  consensus::RegisterOutput output;
  const auto operation =
      proposer_->Submit(EventLoop::Now(), register_name, std::move(change), give_up_at, &output);
  waiting_.emplace(operation, std::move(done));
  Carry(proposer_.get(), std::move(output));
}

void RegisterService::Receive(const std::string& from_address, const messages::RegisterMessage& message) {
  consensus::RegisterNode* node = IsForReplica(message) ? replica_.get() : proposer_.get();
  if (node == nullptr) return;
  if (message.has_accept() && message.register_name() == configuration::kRegisterName &&
      configuration_accepted_)
    configuration_accepted_();
  consensus::RegisterOutput output;
  node->Receive(EventLoop::Now(), from_address, message, &output);
  Carry(node, std::move(output));
}

void RegisterService::Tick(Time now) {
  for (consensus::RegisterNode* node : {proposer_.get(), replica_.get()}) {
    if (node == nullptr) continue;
    consensus::RegisterOutput output;
    node->Tick(now, &output);
    Carry(node, std::move(output));
  }
}

std::optional<Time> RegisterService::NextTimer() const { return proposer_->NextTimer(); }

void RegisterService::LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group) {
  proposer_->LearnGroup(register_name, group);
}

messages::ReplicaGroup RegisterService::KnownGroup(const std::string& register_name) const {
  return proposer_->KnownGroup(register_name);
}

void RegisterService::Carry(consensus::RegisterNode* node, consensus::RegisterOutput output) {
  for (consensus::RegisterSend& send : output.sends) {
    if (send.address == settings_.internal_address) {
      loop_->Post(
          [this, message = std::move(send.message)] { Receive(settings_.internal_address, message); });
      continue;
    }
    messages::Envelope envelope;
    *envelope.mutable_consensus() = std::move(send.message);
    send_(send.address, std::move(envelope));
  }
  for (consensus::RegisterWrite& write : output.writes) {
    store_->Write(std::move(write.key), std::move(write.value), [this, token = write.token](bool written) {
      loop_->Post([this, token, written] { WriteDone(token, written); });
    });
  }
  if (node != proposer_.get()) return;
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
  replica_->StoreDone(EventLoop::Now(), token, written, &output);
  Carry(replica_.get(), std::move(output));
}

}  // namespace lichenlug::controlplane

#include "node/register_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <utility>

#include "consensus/ballot.h"
#include "node/founding_records.h"

namespace lichenlug::node {

namespace {

constexpr std::size_t kMaxHints = 64;
constexpr Time kStoreRetryInterval = 300 * kMillisecond;  // a full disk may have free space by then

// Long enough to learn the founding group from peers that know it, which takes about 100 ms. If two disks may
// be lost at once, dispatchers that are not seats may be the only ones that know it.
constexpr Time kFoundingRoundDelay = 500 * kMillisecond;
constexpr Time kFoundingRoundDelayMoreLosses = 1500 * kMillisecond;

// Unique to one run of a process, as its seed is.
std::string RandomIdentity(std::uint64_t seed) {
  return "replica:" + std::to_string(std::mt19937_64(seed)());
}

}  // namespace

RegisterService::RegisterService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity)
    : host_(host), settings_(settings), identity_(identity) {
  if (settings_.first_run)
    LearnFounding(consensus::FirstStartFounding(settings_.seed_addresses), /*proven=*/false);
}

consensus::RegisterNodeSettings RegisterService::NodeSettingsFor(const std::string& role,
                                                                 const std::string& replica_id) const {
  consensus::RegisterNodeSettings node;
  node.proposer = ProposerName(role);
  node.self_address = settings_.internal_address;
  node.self_name = settings_.name;
  node.replica_id = replica_id;
  node.founding_group = {founding_->group().members().begin(), founding_->group().members().end()};
  node.seed = identity_.seed;
  return node;
}

std::string RegisterService::ProposerName(const std::string& role) const {
  const std::uint64_t round = founding_ ? founding_->ballot().round() : 0;
  return settings_.name + "/" + std::to_string(identity_.incarnation) + "/" + role + "/" +
         std::to_string(round);
}

void RegisterService::LearnFounding(const messages::Founding& founding, bool proven) {
  if (founding.group().members_size() == 0) return;
  const bool is_current = founding_ && consensus::Equal(founding_->ballot(), founding.ballot());
  if (!is_current && founding_ && !consensus::Less(founding_->ballot(), founding.ballot())) return;
  const bool has_new_information = !is_current || (proven && !founding_proven_);
  if (!is_current) AdoptFounding(founding);
  founding_proven_ = proven || (is_current && founding_proven_);
  if (!agreement_ || !has_new_information) return;
  consensus::FoundingOutput output;
  agreement_->Learn(*founding_, founding_proven_, &output);
  Execute(std::move(output));
}

void RegisterService::AdoptFounding(const messages::Founding& founding) {
  const bool replaces = founding_.has_value();
  founding_ = founding;
  if (!replaces) {
    node_ = std::make_unique<consensus::RegisterNode>(NodeSettingsFor("proposer", ""));
    return StartReplica();
  }
  LOG(WARNING) << "registers: the seats have agreed on a founding group other than that of the first start";
  hints_.clear();
  const auto& members = founding_->group().members();
  node_->ReplaceFoundingGroup({members.begin(), members.end()},
                              ProposerName(replicates_ ? "replica" : "proposer"));
  FailPendingOperations();
}

void RegisterService::OpenStore(std::function<void(const std::string& replica_id)> started) {
  if (settings_.store_folder.empty()) return;
  replica_started_ = std::move(started);
  TryOpenStore();
}

void RegisterService::TryOpenStore() {
  reopen_store_at_.reset();
  const std::string identity = settings_.first_run ? consensus::FounderIdentity(settings_.internal_address)
                                                   : RandomIdentity(identity_.seed);
  host_->OpenStore(identity, [this](StoreContents contents) { StoreOpened(std::move(contents)); });
}

void RegisterService::StoreOpened(StoreContents contents) {
  if (!contents.opened) {
    LOG_EVERY_N(ERROR, 20) << "store: " << contents.error;
    reopen_store_at_ = host_->Now() + kStoreRetryInterval;
    return;
  }
  LOG(INFO) << "store: opened as " << contents.replica_id << (contents.created ? " (new)" : "");
  messages::FoundingRecord record = ExtractFoundingRecord(&contents.records);
  if (store_opened_callback_) store_opened_callback_(&contents.records);
  opened_store_ = std::move(contents);
  StartFoundingAgreement(std::move(record));
  StartReplica();
}

void RegisterService::StartFoundingAgreement(messages::FoundingRecord record) {
  consensus::FoundingSettings founding;
  founding.proposer = ProposerName("founding");
  founding.self_address = settings_.internal_address;
  founding.replica_id = opened_store_->replica_id;
  founding.seats = settings_.seed_addresses;
  founding.begin_at =
      host_->Now() + (settings_.tolerated_machines > 1 ? kFoundingRoundDelayMoreLosses : kFoundingRoundDelay);
  const bool established = record.established();
  const messages::Founding kept = record.founding();
  agreement_.emplace(std::move(founding), std::move(record));
  if (established) LearnFounding(kept, /*proven=*/false);
  if (!founding_) return;
  consensus::FoundingOutput output;
  agreement_->Learn(*founding_, founding_proven_, &output);
  Execute(std::move(output));
}

// Requires the store and the founding group, which is written to the store before the replica votes.
void RegisterService::StartReplica() {
  if (!opened_store_ || !KnowsFounding() || replicates_) return;
  if (!agreement_ || !agreement_->MayVoteInRegisters()) return;
  const std::string replica_id = opened_store_->replica_id;
  auto replica = std::make_unique<consensus::RegisterNode>(NodeSettingsFor("replica", replica_id));
  if (!replica->Restore(opened_store_->records)) {
    LOG(ERROR) << "store: a record in " << settings_.store_folder
               << " can't be parsed; empty the folder, then this machine rejoins as a new replica";
    return;
  }
  opened_store_.reset();
  for (const auto& [name, group] : hints_) replica->LearnGroup(name, group);
  node_ = std::move(replica);
  replicates_ = true;
  FailPendingOperations();
  replica_started_(replica_id);
  if (node_->HoldsValues()) LearnFounding(*founding_, /*proven=*/true);
}

bool RegisterService::HoldsValues() const { return node_ && node_->HoldsValues(); }

void RegisterService::ReceiveFounding(const std::string& from_address,
                                      const messages::FoundingMessage& message) {
  if (!agreement_) return;
  consensus::FoundingOutput output;
  agreement_->Receive(host_->Now(), from_address, message, HoldsValues(), &output);
  Execute(std::move(output));
}

void RegisterService::Execute(consensus::FoundingOutput output) {
  for (consensus::FoundingSend& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_founding() = std::move(send.message);
    host_->Send(send.address, std::move(envelope));
  }
  for (const consensus::FoundingWrite& write : output.writes) {
    host_->Write(kFoundingKey, write.record.SerializeAsString(), [this, token = write.token](bool written) {
      consensus::FoundingOutput done;
      agreement_->StoreDone(host_->Now(), token, written, HoldsValues(), &done);
      Execute(std::move(done));
    });
  }
  if (replicates_) node_->SetVoting(agreement_->MayVoteInRegisters());
  if (output.found) LearnFounding(*output.found, output.established);
  StartReplica();
}

// A chosen value proves the founding group, because its group is the founding group or a successor of it.
void RegisterService::UpdateFoundingProof(const consensus::Completion& completion) {
  if (founding_proven_ || !founding_) return;
  const bool chosen = completion.outcome == consensus::Outcome::kChosen ||
                      (completion.outcome == consensus::Outcome::kKept && !completion.payload.empty());
  if (chosen) LearnFounding(*founding_, /*proven=*/true);
}

void RegisterService::Submit(const std::string& register_name, consensus::ChangeFunction change,
                             Time deadline, Done done) {
  if (!node_) return host_->Post([done = std::move(done)] { done({}); });
  consensus::RegisterOutput output;
  const auto operation = node_->Submit(host_->Now(), register_name, std::move(change), deadline, &output);
  pending_operations_.emplace(operation, std::move(done));
  Execute(std::move(output));
}

void RegisterService::Read(const std::string& register_name, Time deadline, Done done) {
  if (!node_) return host_->Post([done = std::move(done)] { done({}); });
  consensus::RegisterOutput output;
  const auto operation = node_->Read(host_->Now(), register_name, deadline, &output);
  pending_operations_.emplace(operation, std::move(done));
  Execute(std::move(output));
}

void RegisterService::FailPendingOperations() {
  const auto operations = std::exchange(pending_operations_, {});
  for (const auto& [operation, done] : operations) {
    consensus::Completion completion;
    completion.outcome = consensus::Outcome::kUnknown;
    done(completion);
  }
}

void RegisterService::Receive(const std::string& from_address, const messages::RegisterMessage& message) {
  if (!node_) return;
  consensus::RegisterOutput output;
  node_->Receive(host_->Now(), from_address, message, &output);
  Execute(std::move(output));
}

void RegisterService::Tick(Time now) {
  if (reopen_store_at_ && *reopen_store_at_ <= now) TryOpenStore();
  if (replicates_ && !founding_proven_ && HoldsValues()) LearnFounding(*founding_, /*proven=*/true);
  if (agreement_) {
    consensus::FoundingOutput output;
    agreement_->Tick(now, HoldsValues(), &output);
    Execute(std::move(output));
  }
  if (!node_) return;
  consensus::RegisterOutput output;
  node_->Tick(now, &output);
  Execute(std::move(output));
}

std::optional<Time> RegisterService::NextTimer() const {
  std::optional<Time> next = node_ ? node_->NextTimer() : std::nullopt;
  const std::optional<Time> founding = agreement_ ? agreement_->NextTimer() : std::nullopt;
  for (const std::optional<Time>& timer : {reopen_store_at_, founding}) {
    if (timer) next = std::min(next.value_or(*timer), *timer);
  }
  return next;
}

void RegisterService::LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group) {
  if (hints_.size() >= kMaxHints && hints_.count(register_name) == 0) return;
  messages::ReplicaGroup& held = hints_[register_name];
  if (group.version() > held.version()) held = group;
  if (node_) node_->LearnGroup(register_name, group);
}

messages::ReplicaGroup RegisterService::KnownGroup(const std::string& register_name) const {
  return node_ ? node_->KnownGroup(register_name) : messages::ReplicaGroup();
}

void RegisterService::Execute(consensus::RegisterOutput output) {
  for (consensus::RegisterSend& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_consensus() = std::move(send.message);
    host_->Send(send.address, std::move(envelope));
  }
  for (consensus::RegisterWrite& write : output.writes) {
    host_->Write(std::move(write.key), std::move(write.value),
                 [this, token = write.token](bool written) { WriteDone(token, written); });
  }
  for (const consensus::RegisterProposal& proposal : output.proposals) {
    if (accept_callback_) accept_callback_(proposal.register_name, proposal.value->payload());
  }
  for (const consensus::Completion& completion : output.completions) {
    UpdateFoundingProof(completion);
    const auto found = pending_operations_.find(completion.operation);
    if (found == pending_operations_.end()) continue;
    const Done done = std::move(found->second);
    pending_operations_.erase(found);
    done(completion);
  }
}

void RegisterService::WriteDone(std::uint64_t token, bool written) {
  if (!written) {
    LOG_EVERY_N(WARNING, 20) << "store: a record can't be written; free space on the disk";
  }
  consensus::RegisterOutput output;
  node_->StoreDone(host_->Now(), token, written, &output);
  Execute(std::move(output));
}

}  // namespace lichenlug::node

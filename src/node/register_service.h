// The registers at work in this process: the register node, its store, and the callbacks of operations. Until
// the store is open the node only proposes, so that a disk that hangs at the start holds up nothing else;
// then a node with a replica takes its place, and operations under way end as unknown.
//
// All nodes have to agree on the founding group of the registers for ever. It is the seeds of the very first
// start; later settings may name other seeds. So a process of a later start takes it from its store or from a
// peer, and neither proposes nor votes before it knows it. Where the first start was cut short, the seats
// agree on another one (consensus/founding.h), and whoever assumed the first one moves to it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "consensus/founding.h"
#include "consensus/register_node.h"
#include "messages/generated/envelope.pb.h"
#include "node/node_host.h"
#include "node/node_settings.h"

namespace lichenlug::node {

class RegisterService {
 public:
  using Done = std::function<void(const consensus::Completion&)>;

  // `host` outlives it.
  RegisterService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity);

  // Opens the store, if there is one; `started` is told the replica's identity once it votes. A disk that
  // refuses (a full one) is asked again and again.
  void OpenStore(std::function<void(const std::string& replica_id)> started);

  void Submit(const std::string& register_name, consensus::ChangeFunction change, Time deadline, Done done);
  // Only looks; see RegisterNode::Read.
  void Read(const std::string& register_name, Time deadline, Done done);
  void Receive(const std::string& from_address, const messages::RegisterMessage& message);
  void Tick(Time now);
  std::optional<Time> NextTimer() const;

  // Called whenever another dispatcher asks the replica here to accept a value, with its payload.
  using Accepting = std::function<void(const std::string& register_name, const std::string& payload)>;
  void OnAccepting(Accepting accepting) { accepting_ = std::move(accepting); }

  bool KnowsFounding() const { return founding_.has_value(); }
  const messages::Founding& founding() const { return *founding_; }
  // A value was chosen in the founding group, or its stores have agreed on it: there is never another one.
  bool FoundingIsProven() const { return founding_proven_; }
  void LearnFounding(const messages::Founding& founding, bool proven);
  void ReceiveFounding(const std::string& from_address, const messages::FoundingMessage& message);
  void LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group);
  messages::ReplicaGroup KnownGroup(const std::string& register_name) const;

 private:
  void StoreOpened(StoreContents contents);
  void AskStoreToOpen();
  void BeginFounding(messages::FoundingRecord record);
  void StartReplica();
  void AdoptFounding(const messages::Founding& founding);
  void NoteProven(const consensus::Completion& completion);
  bool HoldsValues() const;
  void EndOperations();
  void Carry(consensus::FoundingOutput output);
  void Carry(consensus::RegisterOutput output);
  void WriteDone(std::uint64_t token, bool written);
  std::string ProposerName(const std::string& role) const;
  consensus::RegisterNodeSettings NodeSettingsFor(const std::string& role,
                                                  const std::string& replica_id) const;

  NodeHost* host_;
  NodeSettings settings_;
  NodeIdentity identity_;
  std::optional<messages::Founding> founding_;
  bool founding_proven_ = false;
  std::optional<consensus::FoundingAgreement> agreement_;  // once the store is open
  std::optional<StoreContents> opened_store_;              // until the replica starts
  std::function<void(const std::string& replica_id)> replica_started_;
  std::optional<Time> reopen_store_at_;                            // it could not be opened
  std::unique_ptr<consensus::RegisterNode> node_;                  // none before the founding group is known
  bool replicates_ = false;                                        // node_ has a replica
  std::unordered_map<std::string, messages::ReplicaGroup> hints_;  // by register, for the next node
  std::unordered_map<consensus::OperationId, Done> waiting_;
  Accepting accepting_;
};

}  // namespace lichenlug::node

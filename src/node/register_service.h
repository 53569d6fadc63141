// Runs the registers of this process: the register node, its store, and the callbacks of operations. Until
// the store is open the node only proposes, so that a disk that hangs at startup blocks nothing else; then a
// node with a replica replaces it, and operations in flight end with an unknown outcome.
//
// All nodes must agree permanently on the founding group of the registers. It consists of the seeds of the
// very first start; later settings may list other seeds. A process on a later start therefore takes the group
// from its store or from a peer, and neither proposes nor votes until it knows it. If the first start was
// interrupted, the seats agree on another group (consensus/founding.h), and any node that assumed the first
// one switches to it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
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

  // `host` must outlive this object.
  RegisterService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity);

  // Called once, with the records of the opened store, of which it removes those that are not of registers.
  using StoreRecords = std::vector<std::pair<std::string, std::string>>;  // by key
  using StoreOpenedCallback = std::function<void(StoreRecords* records)>;
  void SetStoreOpenedCallback(StoreOpenedCallback callback) { store_opened_callback_ = std::move(callback); }

  // Opens the store, if there is one; `started` is called with the replica's identity once it votes. If the
  // store can't be opened (for example on a full disk), retries until it succeeds.
  void OpenStore(std::function<void(const std::string& replica_id)> started);

  void Submit(const std::string& register_name, consensus::ChangeFunction change, Time deadline, Done done);
  // Reads without completing proposals; see RegisterNode::Read.
  void Read(const std::string& register_name, Time deadline, Done done);
  void Receive(const std::string& from_address, const messages::RegisterMessage& message);
  void Tick(Time now);
  std::optional<Time> NextTimer() const;

  // Called with the payload whenever another dispatcher asks the local replica to accept a value.
  using AcceptCallback = std::function<void(const std::string& register_name, const std::string& payload)>;
  void SetAcceptCallback(AcceptCallback accept_callback) { accept_callback_ = std::move(accept_callback); }

  bool KnowsFounding() const { return founding_.has_value(); }
  const messages::Founding& founding() const { return *founding_; }
  // Whether a value was chosen in the founding group, or its stores have agreed on it, so that it is final.
  bool FoundingIsProven() const { return founding_proven_; }
  void LearnFounding(const messages::Founding& founding, bool proven);
  void ReceiveFounding(const std::string& from_address, const messages::FoundingMessage& message);
  void LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group);
  messages::ReplicaGroup KnownGroup(const std::string& register_name) const;

 private:
  void StoreOpened(StoreContents contents);
  void TryOpenStore();
  void StartFoundingAgreement(messages::FoundingRecord record);
  void StartReplica();
  void AdoptFounding(const messages::Founding& founding);
  void UpdateFoundingProof(const consensus::Completion& completion);
  bool HoldsValues() const;
  void FailPendingOperations();
  void Execute(consensus::FoundingOutput output);
  void Execute(consensus::RegisterOutput output);
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
  std::optional<Time> reopen_store_at_;                            // set if it could not be opened
  std::unique_ptr<consensus::RegisterNode> node_;                  // null until the founding group is known
  bool replicates_ = false;                                        // node_ has a replica
  std::unordered_map<std::string, messages::ReplicaGroup> hints_;  // by register, to initialize the next node
  std::unordered_map<consensus::OperationId, Done> pending_operations_;
  AcceptCallback accept_callback_;
  StoreOpenedCallback store_opened_callback_;
};

}  // namespace lichenlug::node

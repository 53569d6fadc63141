// The registers at work in this process: a proposer, the replica where there is a disk, and the callbacks of
// operations. The replica is a node of its own, so that a disk that hangs at the start holds up no proposal.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "consensus/register_node.h"
#include "controlplane/event_loop.h"
#include "controlplane/node_settings.h"
#include "messages/generated/envelope.pb.h"
#include "storage/record_store.h"

namespace lichenlug::controlplane {

class RegisterService {
 public:
  using SendFunction = std::function<void(const std::string& address, messages::Envelope envelope)>;
  using Done = std::function<void(const consensus::Completion&)>;

  RegisterService(EventLoop* loop, const NodeSettings& settings, std::uint64_t incarnation,
                  std::uint64_t seed, SendFunction send);
  ~RegisterService();

  // Opens the store, if there is one, and retries until it opens; `opened` is told the replica's identity.
  void OpenStore(std::function<void(const std::string& replica_id)> opened);

  void Submit(const std::string& register_name, consensus::ChangeFunction change, Time give_up_at, Done done);
  void Receive(const std::string& from_address, const messages::RegisterMessage& message);
  void Tick(Time now);
  std::optional<Time> NextTimer() const;

  // Called whenever the replica here is asked to accept a configuration.
  void OnConfigurationAccept(std::function<void()> accepted) {
    configuration_accepted_ = std::move(accepted);
  }

  void LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group);
  messages::ReplicaGroup KnownGroup(const std::string& register_name) const;

 private:
  void StoreOpened(storage::RecordStore::OpenResult result,
                   std::function<void(const std::string& replica_id)> opened);
  void Carry(consensus::RegisterNode* node, consensus::RegisterOutput output);
  void WriteDone(std::uint64_t token, bool written);
  consensus::RegisterNodeSettings NodeSettingsFor(const std::string& role,
                                                  const std::string& replica_id) const;

  EventLoop* loop_;
  NodeSettings settings_;
  std::uint64_t incarnation_;
  std::uint64_t seed_;
  SendFunction send_;
  std::unique_ptr<consensus::RegisterNode> proposer_;
  std::unique_ptr<consensus::RegisterNode> replica_;
  std::unordered_map<consensus::OperationId, Done> waiting_;
  std::function<void()> configuration_accepted_;
  std::unique_ptr<storage::RecordStore> store_;  // last: its thread ends before what its callbacks use
};

}  // namespace lichenlug::controlplane

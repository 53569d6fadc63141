// Register nodes of dispatchers on links of limited bandwidth, in virtual time. Shared by both simulations of
// a recovery from a total power loss.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../consensus/cluster.h"
#include "../consensus/linked_network.h"
#include "consensus/group.h"
#include "consensus/value.h"

namespace lichenlug::node {

inline constexpr consensus::LinkedNetwork::Machine kStoreMachine{12.5,
                                                                 300};  // 100 Mbit/s; 300 us per message
inline constexpr consensus::LinkedNetwork::Machine kOtherMachine{
    1.25, 1000};  // 10 Mbit/s; 1 ms per message, with a small share of a core

class LinkedDispatchers {
 public:
  virtual ~LinkedDispatchers() = default;

 protected:
  static constexpr Time kDelay = 500;  // one way, microseconds

  // The first `stores` dispatchers keep a store.
  LinkedDispatchers(std::size_t stores, std::size_t others) : nodes_(stores + others) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      addresses_.push_back(std::to_string(i) + ":7660");
      network_.Add(i < stores ? kStoreMachine : kOtherMachine);
      if (i < stores) store_names_.push_back(std::to_string(i));
    }
  }

  virtual void Completed(std::size_t index, const consensus::Completion& completion) = 0;
  virtual void Sending(std::size_t /*index*/, const consensus::RegisterSend& /*send*/) {}

  std::vector<messages::ReplicaIdentity> Stores() const {
    std::vector<messages::ReplicaIdentity> members;
    for (const std::string& name : store_names_) members.push_back(consensus::Identity(name));
    return members;
  }

  consensus::RegisterNodeSettings SettingsOf(std::size_t index, std::uint64_t seed) const {
    const bool has_store = index < store_names_.size();
    auto settings = consensus::Settings(std::to_string(index), store_names_, has_store);
    settings.seed = seed;
    return settings;
  }

  // Starts a node whose store contains this payload, chosen in the group of all stores.
  void OpenStore(std::size_t index, const std::string& payload, std::uint64_t seed) {
    nodes_[index] = std::make_unique<consensus::RegisterNode>(SettingsOf(index, seed));
    messages::StoredAccept record;
    record.mutable_ballot()->set_round(7);
    record.mutable_ballot()->set_proposer("before");
    *record.mutable_value()->mutable_group() = consensus::FoundingGroup(Stores());
    record.mutable_value()->set_payload(payload);
    record.set_digest(consensus::ValueDigest(consensus::kName, record.ballot(), record.value()));
    REQUIRE(nodes_[index]->Restore({{"accepted/" + consensus::kName, record.SerializeAsString()}}));
  }

  void Execute(std::size_t index, consensus::RegisterOutput output) {
    for (const consensus::RegisterSend& send : output.sends) SendOver(index, send);
    for (const consensus::RegisterWrite& write : output.writes) {
      network_.At(network_.now() + kMillisecond, [this, index, token = write.token] {
        if (!nodes_[index]) return;
        consensus::RegisterOutput done;
        nodes_[index]->StoreDone(network_.now(), token, true, &done);
        Execute(index, std::move(done));
      });
    }
    for (const consensus::Completion& completion : output.completions) Completed(index, completion);
    const auto timer = nodes_[index] ? nodes_[index]->NextTimer() : std::nullopt;
    if (timer) network_.At(std::max(*timer, network_.now() + 1), [this, index] { Tick(index); });
  }

  virtual void Receive(std::size_t index, std::size_t from, const messages::RegisterMessage& message) {
    if (!nodes_[index]) return;  // not started, or its store is not open yet
    consensus::RegisterOutput output;
    nodes_[index]->Receive(network_.now(), addresses_[from], message, &output);
    Execute(index, std::move(output));
  }

  consensus::LinkedNetwork network_{kDelay};
  std::vector<std::string> store_names_, addresses_;
  std::vector<std::unique_ptr<consensus::RegisterNode>> nodes_;

 private:
  void Tick(std::size_t index) {
    if (!nodes_[index]) return;
    const auto due = nodes_[index]->NextTimer();
    if (!due || *due > network_.now()) return;
    consensus::RegisterOutput output;
    nodes_[index]->Tick(network_.now(), &output);
    Execute(index, std::move(output));
  }

  void SendOver(std::size_t from, const consensus::RegisterSend& send) {
    Sending(from, send);
    const std::size_t to = std::stoul(send.address);
    network_.Send(from, to, send.message.ByteSizeLong(),
                  [this, from, to, message = send.message] { Receive(to, from, message); });
  }
};

}  // namespace lichenlug::node

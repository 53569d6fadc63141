// The replica (acceptor) of a node: its promise and accepted value for each register, durable before any
// reply.
//
// Promise and accepted value are separate records, so that a promise does not rewrite a large value. A reply
// is sent only after the store has synced the record. A failed write is never answered; the proposer's retry
// writes again. Writes complete in order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/register_node.h"
#include "consensus/value.h"

namespace lichenlug::consensus {

inline constexpr std::size_t kMaxRegisters = 64;
inline constexpr std::uint64_t kMaxRoundStep = 1ull << 32;  // a larger step means a corrupt ballot

class Replica {
 public:
  explicit Replica(std::string replica_id) : replica_id_(std::move(replica_id)) {}

  bool Restore(const std::vector<std::pair<std::string, std::string>>& records);

  // Handles Prepare, Accept and Read.
  void Receive(const std::string& from_address, const messages::RegisterMessage& message,
               RegisterOutput* output);
  void StoreDone(std::uint64_t token, bool written, RegisterOutput* output);
  // Accepts a value that another replica has accepted, as if its Accept had arrived here.
  void CatchUp(const std::string& register_name, const AcceptedValue& accepted, RegisterOutput* output);

  // The last value that is accepted and on disk; null if there is none.
  const AcceptedValue* Accepted(const std::string& register_name) const;
  // The highest round that this replica has promised.
  std::uint64_t HighestRound(const std::string& register_name) const;
  std::vector<std::string> RegisterNames() const;  // of registers with an accepted value
  bool HoldsValues() const;                        // a value is accepted or being written

 private:
  struct Slot {
    messages::Ballot promised;  // the highest, on disk or being written
    messages::Ballot stored_promise;
    AcceptedValue accepted;  // on disk
    int pending_promises = 0;
    int pending_accepts = 0;
  };
  struct Pending {
    std::string register_name;
    std::string reply_to;  // empty: no reply is expected
    std::uint64_t request = 0;
    messages::Ballot ballot;
    messages::Prepare prepare;              // for a promise
    std::optional<AcceptedValue> accepted;  // for an Accept
  };

  Slot* FindSlot(const std::string& register_name);
  bool IsPending(const std::string& register_name, const messages::Ballot& ballot, bool accept) const;
  void OnPrepare(const std::string& from, const messages::RegisterMessage& message, RegisterOutput* output);
  void OnAccept(const std::string& from, const messages::RegisterMessage& message, RegisterOutput* output);
  void OnRead(const std::string& from, const messages::RegisterMessage& message, RegisterOutput* output);
  void StoreAccept(Slot* slot, Pending pending, RegisterOutput* output);
  void Write(std::string key, std::string value, Pending pending, RegisterOutput* output);
  void Refuse(const std::string& from, const messages::RegisterMessage& message,
              const messages::Ballot& ballot, RegisterOutput* output);
  void RefuseMissingBase(const std::string& from, const messages::RegisterMessage& message,
                         RegisterOutput* output) const;
  void SendPromise(const Pending& pending, const Slot& slot, RegisterOutput* output);
  void SendAccepted(const Pending& pending, RegisterOutput* output);
  bool RestoreRecord(const std::string& key, const std::string& record);

  std::string replica_id_;
  std::map<std::string, Slot> slots_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_token_ = 0;
};

}  // namespace lichenlug::consensus

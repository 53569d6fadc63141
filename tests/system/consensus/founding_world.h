// Three founding seats with their disks and the messages between them, for tests that explore
// interleavings. Writes reach the disk immediately: a crash before a write is equivalent to a lost message.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/founding.h"

namespace lichenlug::consensus {

inline constexpr std::size_t kSeats = 3;

enum class FirstStart {
  kNothingKept,   // power was lost before the store was created
  kIdentityKept,  // power was lost before the founding was stored
  kFounded,       // the store has the founding of the first start
};

struct SeatState {
  std::string replica_id;
  messages::FoundingRecord record;  // on disk
  bool holds_values = false;        // on disk
  int store_count = 0;              // number of stores that this seat has had
  int start_count = 0;
  std::optional<FoundingAgreement> agreement;
};

struct MessageInFlight {
  std::size_t from = 0, to = 0;
  std::string bytes;
  auto operator<=>(const MessageInFlight&) const = default;
};

class FoundingTestbed {
 public:
  explicit FoundingTestbed(const std::array<FirstStart, kSeats>& first_start);

  // Steps
  void BeginRound(std::size_t seat);
  void Deliver(const MessageInFlight& message);  // removes it from messages()
  void Restart(std::size_t seat);
  void Wipe(std::size_t seat);                // then restarts it
  void LearnFirstFounding(std::size_t seat);  // by a diskless process running since the first start
  // The seats that have this founding as established and belong to its group; a majority may choose a value.
  std::vector<std::size_t> Replicas(const messages::Founding& founding) const;
  // Every founding in whose group a majority of replicas currently votes.
  std::vector<messages::Founding> FoundingsWithQuorum() const;
  void ChooseValue(const messages::Founding& founding, std::size_t without);

  void DeliverAll();  // in order, until no message is left
  const std::set<MessageInFlight>& messages() const { return messages_; }
  const SeatState& seat(std::size_t index) const { return seats_[index]; }
  std::string State() const;
  // A value was acknowledged in one group and then in another that does not have it.
  bool broken() const { return broken_; }

  // Bugs that the tests must detect, injected one at a time.
  struct InjectedBugs {
    bool forgets_values = false;    // a seat votes although its store has values
    bool forgets_promises = false;  // promises are not written to disk
    bool reuses_identity = false;   // a wiped store reuses the founder's identity
  };
  void InjectBugs(const InjectedBugs& bugs) { bugs_ = bugs; }

 private:
  static std::string Address(std::size_t seat) { return "10.0.0." + std::to_string(seat + 1) + ":7660"; }
  static std::size_t SeatAt(const std::string& address) { return static_cast<std::size_t>(address[7] - '1'); }
  void Start(std::size_t seat);
  void NewStore(std::size_t seat);
  void HandleOutput(std::size_t seat, FoundingOutput output);
  bool ReportsValues(std::size_t seat) const { return seats_[seat].holds_values && !bugs_.forgets_values; }

  std::array<SeatState, kSeats> seats_;
  std::set<MessageInFlight> messages_;
  std::string chosen_group_;  // of the last acknowledged value
  bool broken_ = false;
  InjectedBugs bugs_;
};

}  // namespace lichenlug::consensus

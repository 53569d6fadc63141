// When the newest configuration is read from its register: until a majority has told it once in this life,
// and after the replica here was asked to accept one that nobody has told since (its proposer may be dead).
// Replicas wait for times drawn at random, so that one of them reads and tells the others. A state machine.
#pragma once

#include <cstddef>
#include <optional>
#include <random>

#include "base/clock.h"

namespace lichenlug::node {

class ConfigurationReader {
 public:
  struct Read {
    bool push = false;  // what is read is told to all others
    Time deadline = 0;  // without an answer
  };

  explicit ConfigurationReader(std::uint64_t seed) : random_(seed) {}

  // The replica here was asked to accept a configuration newer than the one in force, of which its proposer
  // may have to send so many bytes to all replicas.
  void Accepting(Time now, std::size_t bytes_to_all);
  // Registers can be read from now on: the founding group is known.
  void RegistersKnown(Time now);
  // A majority told a configuration: to a read, or to an operator's call.
  void Confirmed();
  // A configuration came into force here.
  void Installed();

  // The read to begin now, if any. It is under way until Completed().
  std::optional<Read> Next(Time now);
  // `answered`: by a majority, be it that there is no configuration yet.
  void Completed(Time now, bool answered);

  bool confirmed() const { return confirmed_; }
  std::optional<Time> NextTimer() const;

 private:
  Read Begin(Time now, bool push);
  Time DrawWait();

  std::mt19937_64 random_;
  bool confirmed_ = false;
  std::optional<Read> in_flight_;
  Time next_read_ = 0;  // while nothing is confirmed
  std::optional<Time> check_accepted_at_;
  Time check_latest_ = 0;         // of what was asked first
  std::size_t bytes_to_all_ = 0;  // of what was asked last
};

}  // namespace lichenlug::node

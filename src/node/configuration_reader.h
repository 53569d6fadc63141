// Decides when to read the newest configuration from its register: until a majority has confirmed it once in
// the lifetime of this process, and after the local replica was asked to accept a configuration that no
// dispatcher has distributed since (its proposer may have crashed). Replicas wait for random times, so that
// one of them reads the register and distributes the result to the others. A state machine without I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <random>

#include "base/clock.h"

namespace lichenlug::node {

class ConfigurationReader {
 public:
  struct Read {
    bool push = false;  // whether to distribute the result to all other dispatchers
    Time deadline = 0;  // when the read times out
  };

  explicit ConfigurationReader(std::uint64_t seed) : random_(seed) {}

  // The local replica was asked to accept a configuration newer than the one in force. `bytes_to_all`: how
  // many bytes its proposer may have to send to all replicas in total.
  void OnAcceptRequest(Time now, std::size_t bytes_to_all);
  // Registers can be read from now on, because the founding group is known.
  void RegistersKnown(Time now);
  // A majority confirmed a configuration, in answer to a read or to an operator's call.
  void Confirmed();
  // A configuration came into force on this dispatcher.
  void Installed();

  // The read to start now, if any. It is in flight until Completed() is called.
  std::optional<Read> Next(Time now);
  // `answered`: whether a majority answered, even if only that there is no configuration yet.
  void Completed(Time now, bool answered);

  bool confirmed() const { return confirmed_; }
  std::optional<Time> NextTimer() const;

 private:
  Read Begin(Time now, bool push);
  Time RandomWait();

  std::mt19937_64 random_;
  bool confirmed_ = false;
  std::optional<Read> in_flight_;
  Time next_read_ = 0;  // used until a configuration is confirmed
  std::optional<Time> accept_check_at_;
  Time check_deadline_ = 0;       // latest time for the check, set by the first pending accept
  std::size_t bytes_to_all_ = 0;  // of the last pending accept
};

}  // namespace lichenlug::node

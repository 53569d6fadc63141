// The push connections to all peers: made when first used, renewed when nothing comes back, closed when idle.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "transport/link_liveness.h"
#include "transport/push_connection.h"

namespace lichenlug::transport {

class PeerLinks {
 public:
  struct Counters {
    std::atomic<std::uint64_t> sent = 0, dropped = 0, renewals = 0;
  };

  explicit PeerLinks(std::size_t most_peers) : most_peers_(most_peers) {}

  void Send(const std::string& address, const messages::Envelope& envelope);  // not from nng's threads
  void Forget(const std::string& address);                                    // not from nng's threads

  // A message came from this peer. Sends it `answer` if it was sent nothing for a while. From any thread.
  void Received(const std::string& address, const messages::Envelope* answer);

  const Counters& counters() const { return counters_; }
  std::size_t size() const;

 private:
  struct Peer {
    std::unique_ptr<PushConnection> connection;
    LinkLiveness liveness;
    SteadyTime last_used;
    SteadyTime dialled_at;
    std::chrono::milliseconds dial_patience{};
    bool reached = false;  // since it was dialled
  };
  // Closing a connection waits for nng's threads, which may wait for the mutex: so it happens without it.
  using ToClose = std::vector<std::unique_ptr<PushConnection>>;

  static bool DialsTooLong(Peer& peer, SteadyTime now);
  Peer& Find(const std::string& address, SteadyTime now, ToClose* to_close);
  void SendTo(const std::string& address, Peer& peer, const messages::Envelope& envelope, SteadyTime now,
              ToClose* to_close);
  void Renew(const std::string& address, Peer& peer, SteadyTime now, ToClose* to_close);
  void CloseLeastRecentlyUsed(ToClose* to_close);
  void CloseIdle(SteadyTime now, ToClose* to_close);

  const std::size_t most_peers_;
  Counters counters_;
  mutable std::mutex mutex_;
  std::map<std::string, Peer> peers_;
  SteadyTime next_sweep_;
};

}  // namespace lichenlug::transport

// Connections to all peers: opened on first use, reopened when the peer stops responding, closed when idle.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "transport/link_liveness.h"
#include "transport/peer_connection.h"

namespace lichenlug::transport {

class PeerLinks {
 public:
  struct Counters {
    std::uint64_t sent = 0, dropped = 0, reopens = 0;
  };

  // `base` must outlive the links; all calls must be made on its loop's thread.
  PeerLinks(event_base* base, std::size_t max_peers) : base_(base), max_peers_(max_peers) {}

  void Send(const std::string& address, const messages::Envelope& envelope);
  void Forget(const std::string& address);

  // To be called for each message from this peer. Sends it `acknowledgement`, if not null, when an
  // acknowledgement is due.
  void Received(const std::string& address, const messages::Envelope* acknowledgement);

  const Counters& counters() const { return counters_; }
  std::size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    std::unique_ptr<PeerConnection> connection;
    LinkLiveness liveness;
    SteadyTime last_used;
    SteadyTime connect_started_at;
    std::chrono::milliseconds connect_timeout{};
    bool reached = false;  // since the last connection attempt began
  };

  static bool ConnectTimedOut(Peer& peer, SteadyTime now);
  Peer& Find(const std::string& address, SteadyTime now);
  void SendTo(const std::string& address, Peer& peer, const messages::Envelope& envelope, SteadyTime now);
  void Reopen(const std::string& address, Peer& peer, SteadyTime now);
  void CloseLeastRecentlyUsed();
  void CloseIdle(SteadyTime now);

  event_base* const base_;
  const std::size_t max_peers_;
  Counters counters_;
  std::map<std::string, Peer> peers_;
  SteadyTime next_sweep_;
};

}  // namespace lichenlug::transport

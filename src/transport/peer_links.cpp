#include "transport/peer_links.h"

#include <algorithm>

namespace lichenlug::transport {
namespace {

constexpr std::chrono::seconds kIdleTimeout{60};
constexpr std::chrono::seconds kUnreachedIdleTimeout{3};  // each connection attempt costs time
constexpr std::chrono::seconds kSweepInterval{1};
// A powered-off peer does not respond, and the kernel retransmits a SYN only after a second or more. The peer
// may be back before that, so the connection attempt is restarted with an exponentially growing timeout.
constexpr std::chrono::milliseconds kInitialConnectTimeout{100};
constexpr std::chrono::milliseconds kMaxConnectTimeout{4000};

}  // namespace

void PeerLinks::Send(const std::string& address, const messages::Envelope& envelope) {
  const SteadyTime now = std::chrono::steady_clock::now();
  Peer& peer = Find(address, now);
  if (peer.liveness.AckOverdue(now) && peer.liveness.MayReopenStale(now)) Reopen(address, peer, now);
  if (ConnectTimedOut(peer, now)) {
    peer.connect_timeout = std::min(2 * peer.connect_timeout, kMaxConnectTimeout);
    Reopen(address, peer, now);
  }
  SendTo(address, peer, envelope, now);
  peer.liveness.Sent(now);
  CloseIdle(now);
}

bool PeerLinks::ConnectTimedOut(Peer& peer, SteadyTime now) {
  if (peer.connection == nullptr) return false;
  peer.reached = peer.reached || peer.connection->connected();
  if (peer.reached) peer.connect_timeout = kInitialConnectTimeout;
  return !peer.reached && now - peer.connect_started_at >= peer.connect_timeout;
}

void PeerLinks::SendTo(const std::string& address, Peer& peer, const messages::Envelope& envelope,
                       SteadyTime now) {
  peer.last_used = now;
  auto result = PeerConnection::SendResult::kLost;
  if (peer.connection != nullptr) result = peer.connection->Send(envelope);
  const bool may_reopen = result == PeerConnection::SendResult::kLost ? peer.liveness.MayReopenLost(now)
                                                                      : peer.liveness.MayReopenStale(now);
  if (result != PeerConnection::SendResult::kQueued && may_reopen) {
    Reopen(address, peer, now);
    if (peer.connection != nullptr) result = peer.connection->Send(envelope);
  }
  ++(result == PeerConnection::SendResult::kQueued ? counters_.sent : counters_.dropped);
}

PeerLinks::Peer& PeerLinks::Find(const std::string& address, SteadyTime now) {
  if (const auto found = peers_.find(address); found != peers_.end()) return found->second;
  if (peers_.size() >= max_peers_) CloseLeastRecentlyUsed();
  Peer& peer = peers_[address];
  peer.connection = PeerConnection::Open(base_, address);
  peer.connect_started_at = now;
  peer.connect_timeout = kInitialConnectTimeout;
  peer.last_used = now;
  return peer;
}

void PeerLinks::Reopen(const std::string& address, Peer& peer, SteadyTime now) {
  peer.connection = PeerConnection::Open(base_, address);
  peer.connect_started_at = now;
  peer.reached = false;
  peer.liveness.Reopened(now);
  ++counters_.reopens;
}

void PeerLinks::CloseLeastRecentlyUsed() {
  const auto oldest =
      std::ranges::min_element(peers_, {}, [](const auto& entry) { return entry.second.last_used; });
  if (oldest == peers_.end()) return;
  peers_.erase(oldest);
}

void PeerLinks::CloseIdle(SteadyTime now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepInterval;
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    Peer& peer = entry->second;
    const bool reached = peer.connection != nullptr && peer.connection->connected();
    if (now - peer.last_used <= (reached ? kIdleTimeout : kUnreachedIdleTimeout)) {
      ++entry;
    } else {
      entry = peers_.erase(entry);
    }
  }
}

void PeerLinks::Forget(const std::string& address) { peers_.erase(address); }

void PeerLinks::Received(const std::string& address, const messages::Envelope* acknowledgement) {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (const auto found = peers_.find(address); found != peers_.end()) found->second.liveness.Received();
  if (acknowledgement == nullptr) return;
  Peer& peer = Find(address, now);
  if (!peer.liveness.AckDue(now)) return;
  SendTo(address, peer, *acknowledgement, now);
  peer.liveness.AckSent(now);
}

}  // namespace lichenlug::transport

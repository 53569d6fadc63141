#include "transport/peer_links.h"

#include <algorithm>

namespace lichenlug::transport {
namespace {

constexpr std::chrono::seconds kCloseIdleAfter{60};
constexpr std::chrono::seconds kCloseUnreachedAfter{3};  // each connection attempt costs time
constexpr std::chrono::seconds kBetweenSweeps{1};
// A powered-off peer does not respond, and the kernel retransmits a SYN only after a second or more. The peer
// may be back before that, so the connection attempt is restarted with an exponentially growing timeout.
constexpr std::chrono::milliseconds kFirstDialTimeout{100};
constexpr std::chrono::milliseconds kLongestDialTimeout{4000};

}  // namespace

void PeerLinks::Send(const std::string& address, const messages::Envelope& envelope) {
  const SteadyTime now = std::chrono::steady_clock::now();
  Peer& peer = Find(address, now);
  if (peer.liveness.Unanswered(now) && peer.liveness.MayRenew(now)) Renew(address, peer, now);
  if (DialsTooLong(peer, now)) {
    peer.dial_timeout = std::min(2 * peer.dial_timeout, kLongestDialTimeout);
    Renew(address, peer, now);
  }
  SendTo(address, peer, envelope, now);
  peer.liveness.Sent(now);
  CloseIdle(now);
}

bool PeerLinks::DialsTooLong(Peer& peer, SteadyTime now) {
  if (peer.connection == nullptr) return false;
  peer.reached = peer.reached || peer.connection->connected();
  if (peer.reached) peer.dial_timeout = kFirstDialTimeout;
  return !peer.reached && now - peer.dialled_at >= peer.dial_timeout;
}

void PeerLinks::SendTo(const std::string& address, Peer& peer, const messages::Envelope& envelope,
                       SteadyTime now) {
  peer.last_used = now;
  auto result = PeerConnection::SendResult::kLost;
  if (peer.connection != nullptr) result = peer.connection->Send(envelope);
  const bool may_renew = result == PeerConnection::SendResult::kLost ? peer.liveness.MayReopen(now)
                                                                     : peer.liveness.MayRenew(now);
  if (result != PeerConnection::SendResult::kQueued && may_renew) {
    Renew(address, peer, now);
    if (peer.connection != nullptr) result = peer.connection->Send(envelope);
  }
  ++(result == PeerConnection::SendResult::kQueued ? counters_.sent : counters_.dropped);
}

PeerLinks::Peer& PeerLinks::Find(const std::string& address, SteadyTime now) {
  if (const auto found = peers_.find(address); found != peers_.end()) return found->second;
  if (peers_.size() >= max_peers_) CloseLeastRecentlyUsed();
  Peer& peer = peers_[address];
  peer.connection = PeerConnection::Open(base_, address);
  peer.dialled_at = now;
  peer.dial_timeout = kFirstDialTimeout;
  peer.last_used = now;
  return peer;
}

void PeerLinks::Renew(const std::string& address, Peer& peer, SteadyTime now) {
  peer.connection = PeerConnection::Open(base_, address);
  peer.dialled_at = now;
  peer.reached = false;
  peer.liveness.Renewed(now);
  ++counters_.renewals;
}

void PeerLinks::CloseLeastRecentlyUsed() {
  const auto oldest =
      std::ranges::min_element(peers_, {}, [](const auto& entry) { return entry.second.last_used; });
  if (oldest == peers_.end()) return;
  peers_.erase(oldest);
}

void PeerLinks::CloseIdle(SteadyTime now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + kBetweenSweeps;
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    Peer& peer = entry->second;
    const bool reached = peer.connection != nullptr && peer.connection->connected();
    if (now - peer.last_used <= (reached ? kCloseIdleAfter : kCloseUnreachedAfter)) {
      ++entry;
    } else {
      entry = peers_.erase(entry);
    }
  }
}

void PeerLinks::Forget(const std::string& address) { peers_.erase(address); }

void PeerLinks::Received(const std::string& address, const messages::Envelope* answer) {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (const auto found = peers_.find(address); found != peers_.end()) found->second.liveness.Received();
  if (answer == nullptr) return;
  Peer& peer = Find(address, now);
  if (!peer.liveness.OwesAnswer(now)) return;
  SendTo(address, peer, *answer, now);
  peer.liveness.Answered(now);
}

}  // namespace lichenlug::transport

#include "transport/peer_links.h"

#include <algorithm>

namespace lichenlug::transport {
namespace {

constexpr std::chrono::seconds kCloseIdleAfter{60};
constexpr std::chrono::seconds kCloseUnreachedAfter{3};  // each of nng's attempts to dial costs time
constexpr std::chrono::seconds kBetweenSweeps{1};
// A peer without power says nothing, and the kernel repeats its call only after a second and more. The peer
// may be there again before: it is dialled anew, each time after a longer wait.
constexpr std::chrono::milliseconds kFirstDialPatience{250};
constexpr std::chrono::milliseconds kLongestDialPatience{4000};

}  // namespace

void PeerLinks::Send(const std::string& address, const messages::Envelope& envelope) {
  const SteadyTime now = std::chrono::steady_clock::now();
  ToClose to_close;
  const std::lock_guard lock(mutex_);
  Peer& peer = Find(address, now, &to_close);
  if (peer.liveness.Unanswered(now) && peer.liveness.MayRenew(now)) Renew(address, peer, now, &to_close);
  if (DialsTooLong(peer, now)) {
    peer.dial_patience = std::min(2 * peer.dial_patience, kLongestDialPatience);
    Renew(address, peer, now, &to_close);
  }
  SendTo(address, peer, envelope, now, &to_close);
  peer.liveness.Sent(now);
  CloseIdle(now, &to_close);
}

bool PeerLinks::DialsTooLong(Peer& peer, SteadyTime now) {
  if (peer.connection == nullptr) return false;
  peer.reached = peer.reached || peer.connection->connected();
  if (peer.reached) peer.dial_patience = kFirstDialPatience;
  return !peer.reached && now - peer.dialled_at >= peer.dial_patience;
}

void PeerLinks::SendTo(const std::string& address, Peer& peer, const messages::Envelope& envelope,
                       SteadyTime now, ToClose* to_close) {
  peer.last_used = now;
  auto result = PushConnection::SendResult::kFailed;
  if (peer.connection != nullptr) result = peer.connection->Send(envelope);
  const bool may_renew = result == PushConnection::SendResult::kLost ? peer.liveness.MayReopen(now)
                                                                     : peer.liveness.MayRenew(now);
  if (result != PushConnection::SendResult::kQueued && may_renew) {
    Renew(address, peer, now, to_close);
    if (peer.connection != nullptr) result = peer.connection->Send(envelope);
  }
  ++(result == PushConnection::SendResult::kQueued ? counters_.sent : counters_.dropped);
}

PeerLinks::Peer& PeerLinks::Find(const std::string& address, SteadyTime now, ToClose* to_close) {
  if (const auto found = peers_.find(address); found != peers_.end()) return found->second;
  if (peers_.size() >= most_peers_) CloseLeastRecentlyUsed(to_close);
  Peer& peer = peers_[address];
  peer.connection = PushConnection::Open(address);
  peer.dialled_at = now;
  peer.dial_patience = kFirstDialPatience;
  peer.last_used = now;
  return peer;
}

void PeerLinks::Renew(const std::string& address, Peer& peer, SteadyTime now, ToClose* to_close) {
  to_close->push_back(std::move(peer.connection));
  peer.connection = PushConnection::Open(address);
  peer.dialled_at = now;
  peer.reached = false;
  peer.liveness.Renewed(now);
  ++counters_.renewals;
}

void PeerLinks::CloseLeastRecentlyUsed(ToClose* to_close) {
  const auto oldest =
      std::ranges::min_element(peers_, {}, [](const auto& entry) { return entry.second.last_used; });
  if (oldest == peers_.end()) return;
  to_close->push_back(std::move(oldest->second.connection));
  peers_.erase(oldest);
}

void PeerLinks::CloseIdle(SteadyTime now, ToClose* to_close) {
  if (now < next_sweep_) return;
  next_sweep_ = now + kBetweenSweeps;
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    Peer& peer = entry->second;
    const bool reached = peer.connection != nullptr && peer.connection->connected();
    if (now - peer.last_used <= (reached ? kCloseIdleAfter : kCloseUnreachedAfter)) {
      ++entry;
    } else {
      to_close->push_back(std::move(peer.connection));
      entry = peers_.erase(entry);
    }
  }
}

void PeerLinks::Forget(const std::string& address) {
  std::unique_ptr<PushConnection> closed;
  const std::lock_guard lock(mutex_);
  if (const auto found = peers_.find(address); found != peers_.end()) {
    closed = std::move(found->second.connection);
    peers_.erase(found);
  }
}

void PeerLinks::Received(const std::string& address, const messages::Envelope* answer) {
  const SteadyTime now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  auto found = peers_.find(address);
  if (found != peers_.end()) found->second.liveness.Received();
  if (answer == nullptr) return;
  if (found == peers_.end()) {
    if (peers_.size() >= most_peers_) return;  // closing one is for the thread that sends
    ToClose none;
    Find(address, now, &none);
    found = peers_.find(address);
  }
  Peer& peer = found->second;
  if (!peer.liveness.OwesAnswer(now) || peer.connection == nullptr) return;
  const bool queued = peer.connection->Send(*answer) == PushConnection::SendResult::kQueued;
  ++(queued ? counters_.sent : counters_.dropped);
  peer.last_used = now;
  peer.liveness.Answered(now);
}

std::size_t PeerLinks::size() const {
  const std::lock_guard lock(mutex_);
  return peers_.size();
}

}  // namespace lichenlug::transport

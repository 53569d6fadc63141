// UDP transport between the dispatchers of a tier: sends the datagrams of Holdings and passes it the received
// ones.
//
// A datagram from an address that isn't a peer's, or that Holdings can't parse, is dropped and counted. Each
// iteration of the event loop reads a bounded number. A datagram that can't be sent counts as lost. Nothing
// waits for the transport: if the socket can't be opened, the dispatcher runs without peers and logs it.
#pragma once

#include <array>
#include <asio.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "peers/holdings.h"

namespace lichenlug {

struct PeerSettings {
  asio::ip::udp::endpoint listen;              // peer_listen; port 0: disabled
  std::vector<asio::ip::udp::endpoint> peers;  // by number, including this dispatcher
  asio::ip::udp::endpoint all;                 // peers_all: reaches all peers; port 0: unicast to each
  int own_number = 0;

  bool on() const { return listen.port() != 0 && peers.size() > 1; }
};

class PeerTransport {
 public:
  PeerTransport(asio::io_context& io, const PeerSettings& settings, Holdings* holdings, Deadlines* deadlines);

  // Throws std::system_error if the socket can't be bound.
  void Start();

  // To be called when Holdings may have new updates; schedules their sending.
  void Changed();

  std::size_t unknown_senders() const { return unknown_senders_; }

 private:
  void AwaitDatagrams();
  void ReceiveAvailable();
  void Send();
  void RunPeriodicTasks();
  void Greet(const asio::ip::udp::endpoint& peer, const std::string& greeting);

  const PeerSettings settings_;
  Holdings* holdings_;
  Deadlines* deadlines_;
  asio::ip::udp::socket socket_;
  std::map<asio::ip::udp::endpoint, int> peer_numbers_;
  std::array<char, Holdings::kMaxBytes + 1> receive_buffer_;
  Deadlines::Key due_;
  Time due_at_ = 0;
  Time last_greeting_at_ = 0;
  std::size_t unknown_senders_ = 0;
};

}  // namespace lichenlug

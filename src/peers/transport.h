// Datagrams between the dispatchers of a tier: what Holdings has to tell goes out, what the others tell comes
// in.
//
// Guards: a datagram from an address that is not a peer's, or that Holdings cannot read, is dropped and
// counted; one turn of the loop takes in a bounded number; a datagram that cannot be sent is as good as lost.
// Nothing waits for any of it: a socket that cannot be opened leaves the dispatcher alone, with a line that
// says so.
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
  asio::ip::udp::endpoint listen;              // peer_listen; port 0: no talk between dispatchers
  std::vector<asio::ip::udp::endpoint> peers;  // by their number, this one among them
  asio::ip::udp::endpoint all;                 // peers_all: reaches all of them; port 0: each is sent to
  int own_number = 0;

  bool on() const { return listen.port() != 0 && peers.size() > 1; }
};

class PeerTransport {
 public:
  PeerTransport(asio::io_context& io, const PeerSettings& settings, Holdings* holdings, Deadlines* deadlines);

  // Throws std::system_error when it cannot listen.
  void Start();

  // Something has changed in Holdings: sends it when it is due.
  void Changed();

  std::size_t strangers() const { return strangers_; }

 private:
  void Await();
  void Take();
  void Send();
  void EverySecond();
  void Greet(const asio::ip::udp::endpoint& peer, const std::string& greeting);

  const PeerSettings settings_;
  Holdings* holdings_;
  Deadlines* deadlines_;
  asio::ip::udp::socket socket_;
  std::map<asio::ip::udp::endpoint, int> numbers_;
  std::array<char, Holdings::kMaxBytes + 1> bytes_;
  Deadlines::Key due_;
  Time due_at_ = 0;
  Time greeted_ = 0;
  std::size_t strangers_ = 0;
};

}  // namespace lichenlug

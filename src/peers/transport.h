// Datagrams between the dispatchers of a tier: what Holdings and the parts beside it have to tell goes out,
// what the others tell comes in.
//
// Guards: a datagram from an address that is not a peer's, or that Holdings cannot read, is dropped and
// counted; one turn of the loop takes in a bounded number; a datagram that cannot be sent is as good as lost.
// Nothing waits for any of it: a socket that cannot be opened leaves the dispatcher alone, with a line that
// says so.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "peers/extension.h"
#include "peers/holdings.h"

namespace lichenlug {

struct PeerSettings {
  asio::ip::udp::endpoint listen;              // peer_listen; port 0: no talk between dispatchers
  std::vector<asio::ip::udp::endpoint> peers;  // by their number, this one among them
  asio::ip::udp::endpoint all;                 // peers_all: reaches all of them; port 0: each is sent to
  int own_number = 0;
  int own_zone = -1;        // below 0: none
  bool membership = false;  // the operator's [peers] membership

  bool on() const { return listen.port() != 0 && peers.size() > 1; }
};

class PeerTransport {
 public:
  PeerTransport(asio::io_context& io, const PeerSettings& settings, Holdings* holdings, Deadlines* deadlines);

  // A part that tells something beside Holdings, in datagrams of this kind; `life` as Holdings has it. Before
  // Start().
  void Host(extension::Kind kind, PeerPart* part, int life);

  // Called for each datagram of a peer before it is read, and with kUnheard after a turn of hearing or
  // telling.
  void OnTurn(std::function<void(int peer)> turn) { turn_ = std::move(turn); }

  // Throws std::system_error when it cannot listen.
  void Start();

  // Something has changed in Holdings or a part: sends it when it is due.
  void Changed();

  std::size_t strangers() const { return strangers_; }
  std::size_t dropped() const { return dropped_; }  // of parts, unread

 private:
  void Await();
  void Take();
  void Hear(int peer, std::string_view bytes);
  void Send();
  void SendParts(Time now);
  void EverySecond();
  void Greet(const asio::ip::udp::endpoint& peer, const std::string& greeting);

  struct Part {
    PeerPart* part;
    int life;
  };

  const PeerSettings settings_;
  Holdings* holdings_;
  Deadlines* deadlines_;
  asio::ip::udp::socket socket_;
  std::map<asio::ip::udp::endpoint, int> numbers_;
  std::map<extension::Kind, Part> parts_;
  std::function<void(int)> turn_ = [](int) {};
  std::array<char, Holdings::kMostBytes + 1> bytes_;
  Deadlines::Key due_;
  Time due_at_ = 0;
  Time greeted_ = 0;
  std::size_t strangers_ = 0, dropped_ = 0;
};

}  // namespace lichenlug

// What lies between two parties: bytes and datagrams pass through here, on real sockets, and meet the faults
// of their link. A relay reads no message and makes none up.
//
// Guards against a rig that is kinder than a network: a stalled way is silent, it does not fail; a connection
// that is reset takes what is under way with it; bytes never overtake one another.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "lab/fleet/links.h"

namespace lichenlug::lab {

using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

// All TCP connections from one party to another, each passed on over a connection of its own.
class TcpRelay {
 public:
  TcpRelay(asio::io_context& io, Deadlines* deadlines, Links* links, std::string from, std::string to,
           Tcp::endpoint target);
  ~TcpRelay();
  Tcp::endpoint address() const { return address_; }
  void Watch();  // resets what a cut has to reset; called every few milliseconds
  void Reset();  // the machine at its end is back, and knows nothing of what was open
  void Close();  // nobody listens at its address any more

 private:
  struct Session;
  void Accept();

  asio::io_context& io_;
  Deadlines* deadlines_;
  Links* links_;
  const std::string from_, to_;
  const Tcp::endpoint target_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  std::vector<std::weak_ptr<Session>> sessions_;
};

// The datagrams of all dispatchers. Each has one address here, which the others send to, and which all that
// it sends comes from; one more address stands for all the others.
class PeerRelay {
 public:
  PeerRelay(asio::io_context& io, Deadlines* deadlines, Links* links, std::vector<Udp::endpoint> dispatchers);
  ~PeerRelay();
  Udp::endpoint address(int dispatcher) const { return sockets_[dispatcher]->local_endpoint(); }
  Udp::endpoint all() const { return sockets_.back()->local_endpoint(); }
  std::uint64_t passed() const { return passed_; }
  std::uint64_t too_long() const { return too_long_; }

 private:
  void Receive(std::size_t socket);
  void Pass(int from, int to, const std::string& datagram);

  Deadlines* deadlines_;
  Links* links_;
  const std::vector<Udp::endpoint> dispatchers_;
  std::vector<std::unique_ptr<Udp::socket>> sockets_;
  std::vector<std::array<char, 2048>> buffers_;
  std::vector<Udp::endpoint> senders_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t passed_ = 0, too_long_ = 0;
};

}  // namespace lichenlug::lab

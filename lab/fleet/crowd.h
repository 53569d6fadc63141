// A crowd of clients that misbehave: each opens a connection, sends the same bytes and stays connected.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace lichenlug::lab {

// What each connection of a crowd sends: the head, then `blocks` times the block, then the tail.
struct CrowdPlan {
  int connections = 0;
  std::string head, block;
  std::size_t blocks = 0;
  std::string tail = {};
  bool reads = true;  // reads and drops what it is sent
};

class Crowd {
 public:
  Crowd(asio::io_context& io, const asio::ip::tcp::endpoint& to, CrowdPlan plan);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Each connection has sent all of its bytes or was ended by the other side.
  bool Settled() const { return settled_ == members_.size(); }
  std::size_t sent_bytes() const { return sent_bytes_; }
  void Close();

 private:
  struct Member;

  void Connect(const std::shared_ptr<Member>& member, const asio::ip::tcp::endpoint& to);
  void SendNext(const std::shared_ptr<Member>& member);
  void Read(const std::shared_ptr<Member>& member);
  void Settle(Member* member);
  asio::const_buffer Unsent(const Member& member) const;

  const CrowdPlan plan_;
  std::vector<std::shared_ptr<Member>> members_;
  std::size_t settled_ = 0, sent_bytes_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab

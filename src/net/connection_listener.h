// Accepts connections up to a limit, owns them and applies their time limits. At the limit, connections that
// are idle or have stalled make room for new ones.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/byte_budget.h"
#include "base/deadlines.h"

namespace lichenlug {

// One accepted connection.
class ServedConnection {
 public:
  virtual ~ServedConnection() = default;

  // `on_closed` is called once, when the connection is closed. The object outlives that call by one iteration
  // of the event loop.
  virtual void Start(std::function<void()> on_closed) = 0;
  virtual void CheckTimeout(
      Time now) = 0;               // applies the time limit of the stage; called a few times per second
  virtual bool CloseIfIdle() = 0;  // closes gracefully if idle and without unread bytes
  virtual void Evict() = 0;        // refuses an incomplete request, or closes
  virtual void Close() = 0;

  virtual std::optional<Time> idle_since() const = 0;
  virtual std::optional<Time> stalled_since() const = 0;    // of ByteAccount
  virtual std::optional<Time> finishing_since() const = 0;  // only the peer's end is awaited
};

class ConnectionListener {
 public:
  struct Limits {
    std::size_t max_connections = 0;
    std::size_t receive_buffer_bytes = 0;  // of the system, for each connection: unread bytes use memory, too
  };
  using Factory = std::function<std::unique_ptr<ServedConnection>(asio::ip::tcp::socket)>;

  // `budget` counts the bytes of the connections.
  ConnectionListener(asio::io_context& io, Deadlines* deadlines, ByteBudget* budget, const Limits& limits,
                     Factory factory);

  bool Listen(const std::string& address, std::string* error);  // "ip:port"; `error`: one line
  void Start();
  std::size_t connections() const { return connections_.size(); }

  // Accepts the connections waiting in the backlog. True: the backlog is empty.
  bool AcceptWaiting();
  void Close();  // accepts no further connections
  bool closed() const { return !acceptor_.is_open(); }
  void CloseIdle();  // closes connections without a request in progress
  // `visit` may close the connection it is called for.
  void ForEach(const std::function<void(ServedConnection*)>& visit);

 private:
  void AwaitConnections();
  void Add(asio::ip::tcp::socket socket);
  bool EnsureCapacity();
  void CheckTimeouts();

  asio::io_context& io_;
  Deadlines* const deadlines_;
  ByteBudget* const budget_;
  const Limits limits_;
  const Factory factory_;
  asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<ServedConnection*, std::unique_ptr<ServedConnection>> connections_;
  std::vector<std::unique_ptr<ServedConnection>> closed_;  // until the next iteration of the event loop
  bool checking_timeouts_ = false;
};

// The receive buffer of each of so many connections that together use at most a part of the memory.
std::size_t ReceiveBufferBytes(std::size_t memory_bytes, std::size_t max_connections);

}  // namespace lichenlug

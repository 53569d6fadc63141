// A pool of connections to runners, kept open between requests. Connections are keyed by the runner's id and
// address: an address may be reassigned to another runner, and connections to the old runner must never be
// used for the new one.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/deadlines.h"
#include "base/delay_estimate.h"
#include "dataplane/runner_watch.h"
#include "net/http_connection.h"

namespace lichenlug::dataplane {

// The current user of a connection. An idle connection, which has no user, is removed from the pool when it
// ends.
class RunnerConnectionUser {
 public:
  virtual ~RunnerConnectionUser() = default;
  virtual void OnHead(const HttpMessage& head) = 0;
  virtual void OnBodyChunk(std::string_view piece) = 0;
  virtual void OnMessage(HttpMessage message) = 0;
  virtual void OnConnectionEnd(HttpConnection::End end) = 0;
};

class RunnerConnection {
 public:
  RunnerConnection(asio::io_context& io, std::string key);
  ~RunnerConnection();  // closes the connection
  RunnerConnection(const RunnerConnection&) = delete;

  HttpConnection& http() { return *http_; }
  void set_user(RunnerConnectionUser* user) { user_ = user; }

 private:
  friend class RunnerPool;

  std::shared_ptr<HttpConnection> http_;
  std::string key_;
  RunnerConnectionUser* user_ = nullptr;
  std::function<void()> on_idle_end_;
  Time usable_until_ = 0;
};

class RunnerPool {
 public:
  using Connection = std::shared_ptr<RunnerConnection>;

  RunnerPool(asio::io_context& io, Deadlines* deadlines, std::size_t max_connections);
  ~RunnerPool();

  // An idle connection that has neither ended nor received bytes; null: none.
  Connection TakeIdle(const std::string& runner_id, const std::string& address);
  // Opens a new connection; null: the limit is reached or `address` is invalid. `done` receives whether the
  // connection was established, unless the connection is released before.
  Connection Connect(const std::string& runner_id, const std::string& address,
                     std::function<void(bool connected)> done);
  // Keeps a connection whose exchange is complete. `response` states how long the runner keeps it open.
  void PutIdle(Connection connection, const HttpMessage& response);

  // Watches the runner for an attempt that waits for it (RunnerWatch::Begin); null: the address is invalid.
  std::unique_ptr<RunnerWatch::Wait> Watch(const std::string& runner_id, const std::string& address,
                                           std::function<void()> unreachable);

  // Runners limit the total number of connections from all dispatchers.
  void SetMaxIdlePerRunner(std::size_t max_per_runner) { max_idle_per_runner_ = max_per_runner; }

  std::size_t idle() const { return idle_count_; }

 private:
  void DropIdle(RunnerConnection* connection);
  bool EnsureCapacity();
  void ArmSweep();
  void Sweep();

  asio::io_context& io_;
  Deadlines* deadlines_;
  const std::size_t max_connections_;
  std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
  std::unordered_map<std::string, std::vector<Connection>> idle_;  // most recently used last
  std::size_t idle_count_ = 0, max_idle_per_runner_ = 64;
  Deadlines::Key sweep_timer_;
  DelayEstimate connect_delays_;  // how long connections take to be established
  RunnerWatch watch_;
};

}  // namespace lichenlug::dataplane

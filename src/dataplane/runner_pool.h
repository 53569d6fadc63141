// Connections to runners, kept between requests. One is keyed by the runner's id and address: an address may
// pass to another runner, and what was kept to the old one is never used for the new one.
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

// Who uses a connection just now. An end with no user removes a kept connection from the pool.
class RunnerConnectionUser {
 public:
  virtual ~RunnerConnectionUser() = default;
  virtual void HeadCame(const HttpMessage& head) = 0;
  virtual void PieceCame(std::string_view piece) = 0;
  virtual void MessageCame(HttpMessage message) = 0;
  virtual void ConnectionEnded(HttpConnection::End end) = 0;
};

class RunnerConnection {
 public:
  RunnerConnection(asio::io_context& io, std::string key);
  ~RunnerConnection();  // closes
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

  // A kept connection that shows no end and no bytes; null: none.
  Connection TakeIdle(const std::string& runner_id, const std::string& address);
  // A new one, still to be connected; null: the bound is reached, or `address` can't be read. `done` is told
  // whether it came up, unless the connection is given back or dropped before.
  Connection Connect(const std::string& runner_id, const std::string& address,
                     std::function<void(bool connected)> done);
  // Keeps a connection whose exchange is whole; `answer` tells for how long its runner does.
  void Keep(Connection connection, const HttpMessage& answer);

  // For an attempt that waits for this runner (RunnerWatch::Begin); null: the address can't be read.
  std::unique_ptr<RunnerWatch::Wait> Watch(const std::string& runner_id, const std::string& address,
                                           std::function<void()> unreachable);

  // Runners bound the connections of all dispatchers together.
  void SetMaxIdle(std::size_t max_per_runner) { max_idle_ = max_per_runner; }

  std::size_t idle() const { return idle_count_; }

 private:
  void DropIdle(RunnerConnection* connection);
  bool MakeRoom();
  void ArmSweep();
  void Sweep();

  asio::io_context& io_;
  Deadlines* deadlines_;
  const std::size_t max_connections_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
  std::unordered_map<std::string, std::vector<Connection>> idle_;  // the latest used last
  std::size_t idle_count_ = 0, max_idle_ = 64;
  Deadlines::Key sweep_;
  DelayEstimate connects_;  // how long connections take to come up
  RunnerWatch watch_;
};

}  // namespace lichenlug::dataplane

// A client with a persistent connection: it sends one request after another until the dispatcher closes the
// connection or exits, then reconnects. It checks the outcome of each request that it has sent completely.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/system/answer_check.h"
#include "lab/system/clients.h"
#include "lab/system/ledger.h"
#include "lab/system/loop.h"
#include "net/http_connection.h"

namespace lichenlug::standins {

// The addresses that the clients may connect to, and when a dispatcher was last lost with all its
// connections.
class FrontDirectory {
 public:
  struct Front {
    std::string address;
    bool open = true;           // accepts new connections
    bool kill_pending = false;  // killed, exit not yet seen: a thread in a disk sync delays it
    Time lost_at = -1;          // when the killed process had exited; -1: never
  };

  explicit FrontDirectory(std::vector<std::string> addresses);

  std::size_t size() const { return fronts_.size(); }
  const Front& front(std::size_t index) const { return fronts_[index]; }
  void Open(std::size_t index) { fronts_[index].open = true; }
  void Close(std::size_t index) { fronts_[index].open = false; }
  void MarkKilled(std::size_t index);
  void MarkLost(std::size_t index, Time now);  // the process has exited

 private:
  std::vector<Front> fronts_;
};

struct PersistentClientFigures {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, lost_with_dispatcher = 0, lost_with_runner = 0,
                raced_with_close = 0;
};

class PersistentClient {
 public:
  // The pointers must outlive the client. Each request is picked from `requests` at random, seeded by `seed`.
  PersistentClient(Loop* loop, FrontDirectory* fronts, Ledger* ledger, PersistentClientFigures* figures,
                   std::vector<ClientRequest> requests, std::uint64_t seed);
  ~PersistentClient();

  void Start();
  void Stop();  // after the request in flight
  bool IsIdle() const { return !in_flight_; }

 private:
  void Connect();
  void ScheduleSend();
  void Send();
  void OnResponse(const HttpMessage& answer);
  void OnDisconnect();
  void CheckInterruption();
  bool WasLostWithDispatcher() const;
  std::size_t PickFront();

  Loop* loop_;
  FrontDirectory* fronts_;
  Ledger* ledger_;
  PersistentClientFigures* figures_;
  const std::vector<ClientRequest> requests_;
  std::mt19937_64 random_;
  std::size_t front_ = 0;
  Time connected_at_ = 0, sent_at_ = 0;
  bool in_flight_ = false, stopped_ = false;
  std::string attempt_id_;
  bool stream_ = false;
  int items_ = 0;                       // events of a stream, lines of a plain response
  std::unique_ptr<AnswerCheck> check_;  // of the 2xx response in progress
  std::shared_ptr<HttpConnection> connection_;
  asio::steady_timer delay_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::standins

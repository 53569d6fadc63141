// The caller legs: the listener, the clients' connections, what they ask and what they are answered. Runners'
// call-backs come in here too and are handed to the branches.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "branch/branches.h"
#include "config/config.h"
#include "core/ports.h"
#include "core/transactions.h"
#include "net/deadlines.h"
#include "net/http_connection.h"
#include "net/slots.h"

namespace lichenlug {

class Callers : public CallerPort {
 public:
  // Listens at once; throws std::system_error when the address is not to be had.
  Callers(asio::io_context& io, const Config& config, const RouteSet* routes, Deadlines* deadlines,
          TransactionTable* core, Branches* branches);

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void Start();

  // From now on the program is not ready; all that comes is still served, and as long as there is time for
  // more, answers keep their connections. `done` is called when nothing is owed and no connection is left.
  void Drain(std::function<void()> done);

  void Answer(Handle leg, const FinalAnswer& answer) override;

 private:
  enum class Stage { kIdle, kReading, kWaiting, kAnswering, kFinishing };
  struct Leg {
    std::shared_ptr<HttpConnection> connection;
    Stage stage = Stage::kIdle;
    bool close_after = false;  // said by the client
    Handle transaction;
    std::string call_id;
    Time connected = 0, since = 0;  // idle since
    bool asked = false;             // a whole request has come on it
    bool carried = false;           // a job or a call-back has come on it
    bool of_client = false;         // a job has
    Deadlines::Key alarm;
  };

  void Accept();
  void Accepted(asio::ip::tcp::socket socket);
  int EvictionRank(const Leg& leg) const;
  bool EvictLeg();
  void Began(Handle handle);
  void Arrived(Handle handle, HttpMessage message);
  void Submit(Handle handle, HttpMessage message, int cls);
  void Ended(Handle handle, HttpConnection::End end);
  void Reply(Handle handle, int status, std::string_view body = {},
             std::vector<std::pair<std::string, std::string>> headers = {}, bool close = false);
  void Replied(Handle handle, bool close, std::error_code error);
  void Idle(Handle handle);
  void DropLeg(Handle handle);
  bool HasSpareLegs();
  void LookForEnd();

  asio::io_context& io_;
  const Config& config_;
  const RouteSet* routes_;
  Deadlines* deadlines_;
  TransactionTable* core_;
  Branches* branches_;
  asio::ip::tcp::acceptor acceptor_;
  SlotTable<Leg> legs_;
  std::unordered_set<std::string> open_ids_;
  bool draining_ = false;
  Time drain_began_ = 0, taking_until_ = 0, last_request_ = 0;
  std::function<void()> drained_;
};

}  // namespace lichenlug

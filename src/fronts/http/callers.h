// The HTTP front end: the listener, the clients' connections, their requests and the responses. Runners'
// callbacks arrive here too and are passed to the attempts.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/deadlines.h"
#include "base/slots.h"
#include "core/ports.h"
#include "core/transactions.h"
#include "decisions/settings.h"
#include "net/http_connection.h"

namespace lichenlug {

struct CallerSettings {
  asio::ip::tcp::endpoint listen;
  std::size_t max_legs = 0;     // connections of clients and of runners that send callbacks
  std::size_t max_serving = 0;  // with this many unanswered requests, only callbacks are accepted
  const rookgw::Site& site;     // must outlive the front end
};

class Callers : public CallerPort {
 public:
  // `has_list` returns whether a list of runners is known; without one the program is not ready.
  // Listens immediately; throws std::system_error if it can't bind the address.
  Callers(asio::io_context& io, const CallerSettings& settings, std::function<bool()> has_list,
          Deadlines* deadlines, TransactionTable* core, CallBackPort* branches);

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void Start();

  // Makes the program report that it is not ready. Requests are still served, and as long as there is time
  // for more of them, responses keep their connections open. Calls `done` when every request is answered and
  // no connection is left.
  void Drain(std::function<void()> done);

  void Answer(Handle leg, const FinalAnswer& answer) override;
  bool Gone(Handle leg) override;

 private:
  enum class Stage { kIdle, kReading, kWaiting, kAnswering, kFinishing };
  struct Leg {
    std::shared_ptr<HttpConnection> connection;
    Stage stage = Stage::kIdle;
    bool close_after = false;  // the client asked for it
    Handle transaction;
    std::string call_id;
    Time connected = 0, since = 0;  // since: when it entered its stage
    bool asked = false;             // a complete request has arrived on it
    bool carried = false;           // a job or a callback has arrived on it
    bool of_client = false;         // a job has arrived on it
    Deadlines::Key alarm;
  };

  void Accept();
  void TakeWaiting();
  void Accepted(asio::ip::tcp::socket socket);
  int EvictionRank(const Leg& leg) const;
  bool MakeRoom(std::size_t most);
  void Began(Handle handle);
  void Arrived(Handle handle, HttpMessage message);
  void Submit(Handle handle, HttpMessage message, int cls);
  void Ended(Handle handle, HttpConnection::End end);
  void Reply(Handle handle, int status, std::string_view body = {},
             std::vector<std::pair<std::string, std::string>> headers = {}, bool close = false);
  void Replied(Handle handle, bool close, std::error_code error);
  void Idle(Handle handle);
  bool Retire(Handle handle);
  void FinishLeg(Handle handle);
  void DropLeg(Handle handle);
  bool HasSpareLegs();
  void LookForEnd();

  asio::io_context& io_;
  const CallerSettings settings_;
  std::function<bool()> has_list_;
  Deadlines* deadlines_;
  TransactionTable* core_;
  CallBackPort* branches_;
  asio::ip::tcp::acceptor acceptor_;
  SlotTable<Leg> legs_;
  std::unordered_set<std::string> open_ids_;
  bool draining_ = false, backlog_empty_ = true;
  Time drain_began_ = 0, taking_until_ = 0, last_request_ = 0;
  std::function<void()> drained_;
};

}  // namespace lichenlug

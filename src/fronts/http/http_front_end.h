// The HTTP front end: the listener, the clients' connections, their requests and the responses. Runners'
// callbacks arrive here too and are passed to the runner client.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/byte_budget.h"
#include "base/deadlines.h"
#include "base/slots.h"
#include "core/ports.h"
#include "core/request_table.h"
#include "decisions/settings.h"
#include "net/http_connection.h"

namespace lichenlug {

struct HttpFrontEndSettings {
  asio::ip::tcp::endpoint listen;
  std::size_t max_connections = 0;  // connections of clients and of runners that send callbacks
  std::size_t max_unanswered = 0;   // with this many unanswered requests, only callbacks are accepted
  std::size_t max_held_bytes =
      0;  // by all connections: incomplete requests, unanswered jobs, unread responses
  std::size_t receive_buffer_bytes = 0;  // of the system, for each connection
  const rookgw::Site& site;              // must outlive the front end
};

class HttpFrontEnd : public ClientPort {
 public:
  // `has_list` returns whether a list of runners is known; without one the program is not ready.
  // Listens immediately; throws std::system_error if it can't bind the address.
  HttpFrontEnd(asio::io_context& io, const HttpFrontEndSettings& settings, std::function<bool()> has_list,
               Deadlines* deadlines, RequestTable* core, CallbackPort* callbacks);

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void Start();

  // Makes the program report that it is not ready. Requests are still served, and as long as there is time
  // for more of them, responses keep their connections open. Calls `done` when every request is answered and
  // no connection is left.
  void Drain(std::function<void()> done);

  void Answer(Handle client, const FinalAnswer& answer) override;
  bool IsDisconnected(Handle client) override;

 private:
  enum class Stage { kIdle, kReading, kWaiting, kAnswering, kFinishing };
  struct Client {
    std::shared_ptr<HttpConnection> connection;
    Stage stage = Stage::kIdle;
    bool close_after = false;  // the client asked for it
    Handle request;
    std::string call_id;
    Time connected = 0, since = 0;  // since: when it became idle, reading or finishing
    bool had_request = false;       // a complete request has arrived on it
    bool useful = false;            // a job or a callback has arrived on it
    bool submitted_job = false;     // a job has arrived on it
    std::size_t job_bytes = 0;      // of the unanswered job
    std::unique_ptr<ByteAccount> account;
    Deadlines::Key alarm;
  };

  void UpdateAccount(Handle handle);
  void Evict(Handle handle);
  void Accept();
  void AcceptBacklog();
  void Accepted(asio::ip::tcp::socket socket);
  int EvictionRank(const Client& client) const;
  bool EvictToFit(std::size_t limit);
  void OnRequestStart(Handle handle);
  void OnRequest(Handle handle, HttpMessage message);
  void Submit(Handle handle, HttpMessage message, int cls);
  void OnConnectionEnd(Handle handle, HttpConnection::End end);
  void Reply(Handle handle, int status, std::string_view body = {},
             std::vector<std::pair<std::string, std::string>> headers = {}, bool close = false);
  void OnReplySent(Handle handle, bool close, std::error_code error);
  void MarkIdle(Handle handle);
  bool CloseUnlessUnread(Handle handle);
  void FinishClient(Handle handle);
  void DropClient(Handle handle);
  bool HasIdleReserve();
  void CheckDrained();

  asio::io_context& io_;
  const HttpFrontEndSettings settings_;
  std::function<bool()> has_list_;
  Deadlines* deadlines_;
  RequestTable* core_;
  CallbackPort* callbacks_;
  asio::ip::tcp::acceptor acceptor_;
  ByteBudget budget_;
  SlotTable<Client> clients_;
  std::unordered_set<std::string> active_ids_;
  bool draining_ = false, backlog_empty_ = true;
  Time drain_started_ = 0, accepting_until_ = 0, last_request_ = 0;
  std::function<void()> on_drained_;
};

}  // namespace lichenlug

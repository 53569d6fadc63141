#include "host/http_server.h"

#include <cstdlib>
#include <list>
#include <thread>

#include "host/control_connection.h"

namespace lichenlug::host {

std::pair<std::string, int> SplitAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return {address, 0};
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  explicit Impl(EventLoop* loop) : loop_(loop) {}

  bool Listen(const std::string& address, const Limits& limits, Handler handler, std::string* error) {
    ports_.emplace_back(this, limits, std::move(handler));
    if (ports_.back().listener.Listen(address, error)) return true;
    *error += "; check that no other process uses it";
    return false;
  }

  void Start() {
    if (ports_.empty()) return;
    for (Port& port : ports_) port.listener.Start();
    thread_ = std::thread([this] { io_.run(); });
  }

  // What was posted before is done first.
  void Stop() {
    asio::post(io_, [this] { io_.stop(); });
    if (thread_.joinable()) thread_.join();
  }

 private:
  struct Port {
    Port(Impl* server, const Limits& port_limits, Handler port_handler)
        : limits(port_limits),
          handler(std::move(port_handler)),
          budget(limits.max_held_bytes),
          listener(server->io_, &server->deadlines_, &budget,
                   {limits.max_connections, limits.receive_buffer_bytes},
                   [this, server](asio::ip::tcp::socket socket) {
                     return std::make_unique<ControlConnection>(
                         std::move(socket), limits.max_body_bytes, &server->deadlines_, &budget,
                         [this, server](node::ControlRequest request, ControlConnection* connection) {
                           server->PassOn(*this, std::move(request), connection->reference());
                         });
                   }) {}

    const Limits limits;
    const Handler handler;
    ByteBudget budget;
    ConnectionListener listener;
  };

  // The handler runs, and responds, on the event loop's thread; the connection is used on this one.
  void PassOn(const Port& port, node::ControlRequest request, std::weak_ptr<ControlConnection*> connection) {
    auto respond = [weak = weak_from_this(), connection](node::ControlResponse response) {
      const auto server = weak.lock();
      if (server == nullptr) return;
      asio::post(server->io_, [connection, response = std::move(response)] {
        if (const auto open = connection.lock()) (*open)->Respond(response);
      });
    };
    loop_->Post([&port, request = std::move(request), respond = std::move(respond)]() mutable {
      port.handler(std::move(request), std::move(respond));
    });
  }

  EventLoop* const loop_;
  asio::io_context io_{1};
  Clock clock_;
  Deadlines deadlines_{io_, clock_};
  std::list<Port> ports_;
  std::thread thread_;
};

HttpServer::HttpServer(EventLoop* loop) : impl_(std::make_shared<Impl>(loop)) {}
HttpServer::~HttpServer() { impl_->Stop(); }

bool HttpServer::Listen(const std::string& address, const Limits& limits, Handler handler,
                        std::string* error) {
  return impl_->Listen(address, limits, std::move(handler), error);
}

void HttpServer::Start() { impl_->Start(); }

}  // namespace lichenlug::host

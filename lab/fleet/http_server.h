// A listener of the rig's that speaks HTTP/1.1, for stand-ins: each message goes to one handler, and the
// process that it stands for can end and come back at its address.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "net/http_connection.h"

namespace lichenlug::lab {

// An address of loopback, its port chosen by the system and kept: whoever listens there may end and come
// back, and no connection that goes out meanwhile is given the port.
class KeptAddress {
 public:
  explicit KeptAddress(asio::io_context& io) : holder_(io, asio::ip::tcp::v4()) {
    holder_.set_option(asio::socket_base::reuse_address(true));
    holder_.bind({asio::ip::address_v4::loopback(), 0});
  }
  asio::ip::tcp::endpoint address() const { return holder_.local_endpoint(); }

 private:
  asio::ip::tcp::socket holder_;  // bound, never listening
};

class HttpServer {
 public:
  using Connection = std::shared_ptr<HttpConnection>;
  using Handler = std::function<void(const Connection&, const HttpMessage&)>;

  HttpServer(asio::io_context& io, Handler handler) : handler_(std::move(handler)), kept_(io), acceptor_(io) {
    Up();
  }
  ~HttpServer() { Down(); }

  asio::ip::tcp::endpoint address() const { return kept_.address(); }

  // The process ends: its connections end, new ones are refused.
  void Down() {
    std::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : connections_)
      if (const Connection connection = weak.lock()) connection->Close();
    connections_.clear();
  }

  void Up() {
    if (acceptor_.is_open()) return;
    acceptor_.open(address().protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address());
    acceptor_.listen();
    Accept();
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (!error) Serve(std::make_shared<HttpConnection>(std::move(socket), HttpConnection::Side::kServer));
      if (acceptor_.is_open()) Accept();
    });
  }

  void Serve(const Connection& connection) {
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    const std::weak_ptr<HttpConnection> weak = connection;
    HttpConnection::Events events;
    events.on_message = [this, weak](HttpMessage message) {
      const Connection alive = weak.lock();
      if (alive == nullptr) return;
      handler_(alive, message);
      alive->Next();
    };
    events.on_end = [weak](HttpConnection::End) {
      if (const Connection alive = weak.lock()) alive->Close();
    };
    connection->SetEvents(std::move(events));
    connection->Start();
  }

  Handler handler_;
  KeptAddress kept_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<HttpConnection>> connections_;
};

// Writes an answer and forgets about it: who asked may be gone.
inline void Reply(const HttpServer::Connection& to, int status, std::string_view body,
                  const std::vector<std::pair<std::string, std::string>>& headers = {}) {
  to->Write(FormatResponse(status, headers, body, true), [to](std::error_code) {});
}

}  // namespace lichenlug::lab

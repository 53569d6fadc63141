// Accepts client connections up to a limit and owns them.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "dataplane/client_connection.h"

namespace lichenlug::dataplane {

class Listener {
 public:
  Listener(Context* context, ExchangeTable* exchanges, std::size_t max_connections);

  bool Listen(const std::string& address, std::string* error);
  void Start();
  std::size_t connections() const { return clients_.size(); }

  // Accepts the connections waiting in the backlog. True: the backlog is empty.
  bool AcceptWaiting();
  void Close();  // accepts no further connections
  bool closed() const { return !acceptor_.is_open(); }
  void CloseIdle();        // closes connections without a request in progress
  void OnConfiguration();  // the first configuration: serves requests that wait for it

 private:
  void AwaitConnections();
  void AddClient(asio::ip::tcp::socket socket);
  bool EnsureCapacity();
  void CheckTimeouts();

  Context* const context_;
  ExchangeTable* const exchanges_;
  const std::size_t max_connections_;
  asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
  bool checking_timeouts_ = false;
};

}  // namespace lichenlug::dataplane

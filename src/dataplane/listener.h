// Accepts clients' connections and holds them, within a bound.
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

  // Takes what waits in the backlog. True: nothing waits.
  bool TakeWaiting();
  void RetireIdle();         // all on which nothing is owed
  void ConfigurationCame();  // the first one: requests wait for it

 private:
  void Accept();
  void Accepted(asio::ip::tcp::socket socket);
  bool MakeRoom();
  void Look();

  Context* const context_;
  ExchangeTable* const exchanges_;
  const std::size_t max_connections_;
  asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
  bool looking_ = false;
};

}  // namespace lichenlug::dataplane

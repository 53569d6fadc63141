#include "dataplane/listener.h"

#include <charconv>

namespace lichenlug::dataplane {
namespace {

constexpr Time kAcceptRetryDelay = 20 * kMillisecond;  // at the connection limit, or if out of descriptors
constexpr Time kCheckInterval = 250 * kMillisecond;    // interval of checking the time limits of connections

}  // namespace

Listener::Listener(Context* context, ExchangeTable* exchanges, std::size_t max_connections)
    : context_(context), exchanges_(exchanges), max_connections_(max_connections), acceptor_(context->io) {}

bool Listener::Listen(const std::string& address, std::string* error) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  std::error_code failure = asio::error::invalid_argument;
  asio::ip::address ip;
  if (colon != std::string::npos) {
    const char* end = address.data() + address.size();
    const auto read = std::from_chars(address.data() + colon + 1, end, port);
    if (read.ec == std::errc() && read.ptr == end)
      ip = asio::ip::make_address(address.substr(0, colon), failure);
  }
  const asio::ip::tcp::endpoint endpoint(ip, port);
  if (!failure) acceptor_.open(endpoint.protocol(), failure);
  if (!failure) acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  if (!failure) acceptor_.bind(endpoint, failure);
  if (!failure) acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  if (!failure) acceptor_.non_blocking(true, failure);
  if (failure) *error = "cannot listen at " + address + ": " + failure.message();
  return !failure;
}

void Listener::Start() { AwaitConnections(); }

// Waits for readiness instead of accepting asynchronously: a connection that was accepted, but whose handler
// has not run yet, would be missed when the process exits.
void Listener::AwaitConnections() {
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](std::error_code error) {
    if (error) return;
    if (AcceptWaiting()) return AwaitConnections();
    // Accepting and closing a connection would lose its request, so it stays in the backlog.
    context_->deadlines.Add(context_->Now() + kAcceptRetryDelay, [this] { AwaitConnections(); });
  });
}

bool Listener::AcceptWaiting() {
  while (EnsureCapacity()) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    if (error == asio::error::would_block) return true;
    if (error == asio::error::connection_aborted) continue;
    if (error) return false;
    AddClient(std::move(socket));
  }
  return false;
}

void Listener::AddClient(asio::ip::tcp::socket socket) {
  auto client = std::make_unique<ClientConnection>(std::move(socket), context_, exchanges_);
  ClientConnection* const raw = client.get();
  clients_.emplace(raw, std::move(client));
  raw->Start([this, raw] {
    const auto found = clients_.find(raw);
    // The connection is still executing a member function: it is destroyed after that has returned.
    asio::post(context_->io,
               [closed_client = std::shared_ptr<ClientConnection>(std::move(found->second))] {});
    clients_.erase(found);
  });
  if (!std::exchange(checking_timeouts_, true)) CheckTimeouts();
}

// At the limit the connection that has been idle longest is closed.
bool Listener::EnsureCapacity() {
  if (clients_.size() < max_connections_) return true;
  ClientConnection* oldest = nullptr;
  for (const auto& [raw, client] : clients_)
    if (raw->idle() && (oldest == nullptr || raw->stage_began() < oldest->stage_began())) oldest = raw;
  if (oldest != nullptr) oldest->CloseIfIdle();
  return clients_.size() < max_connections_;
}

void Listener::Close() {
  std::error_code ignored;
  acceptor_.close(ignored);
}

void Listener::CloseIdle() {
  for (const auto& [raw, client] : clients_) raw->CloseIfIdle();
}

void Listener::OnConfiguration() {
  std::vector<ClientConnection*> all;
  for (const auto& [raw, client] : clients_) all.push_back(raw);
  for (ClientConnection* client : all) client->OnConfiguration();  // may close that one
}

void Listener::CheckTimeouts() {
  if (clients_.empty()) return void(checking_timeouts_ = false);
  std::vector<ClientConnection*> all;
  all.reserve(clients_.size());
  for (const auto& [raw, client] : clients_) all.push_back(raw);
  const Time now = context_->Now();
  for (ClientConnection* client : all) client->CheckTimeout(now);  // may close that one
  context_->deadlines.Add(now + kCheckInterval, [this] { CheckTimeouts(); });
}

}  // namespace lichenlug::dataplane

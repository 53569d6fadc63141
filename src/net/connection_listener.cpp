#include "net/connection_listener.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "base/memory_release.h"
#include "base/receive_buffer.h"

namespace lichenlug {
namespace {

constexpr Time kAcceptRetryDelay = 20 * kMillisecond;  // at the connection limit, or if out of descriptors
constexpr Time kCheckInterval = 250 * kMillisecond;    // interval of checking the time limits of connections
constexpr Time kMinStalled = kSecond;                  // before a connection makes room for a new one
constexpr Time kMinFinishing = 100 * kMillisecond;     // for a peer to close its side
constexpr std::size_t kMaxFinishing = 8;               // connections that are closed ahead of new ones
constexpr std::size_t kMinReceiveBuffer = 16 * 1024, kMaxReceiveBuffer = 64 * 1024;
constexpr std::size_t kReceiveMemoryDivisor = 4;

// The connection with the earliest of these times, of those that have one.
struct Earliest {
  ServedConnection* connection = nullptr;
  Time since = 0;
  std::size_t count = 0;

  void Offer(ServedConnection* offered, std::optional<Time> offered_since) {
    if (!offered_since) return;
    ++count;
    if (connection == nullptr || *offered_since < since) connection = offered, since = *offered_since;
  }
};

}  // namespace

std::size_t ReceiveBufferBytes(std::size_t memory_bytes, std::size_t max_connections) {
  return std::clamp(memory_bytes / kReceiveMemoryDivisor / std::max<std::size_t>(1, max_connections),
                    kMinReceiveBuffer, kMaxReceiveBuffer);
}

ConnectionListener::ConnectionListener(asio::io_context& io, Deadlines* deadlines, ByteBudget* budget,
                                       const Limits& limits, Factory factory)
    : io_(io),
      deadlines_(deadlines),
      budget_(budget),
      limits_(limits),
      factory_(std::move(factory)),
      acceptor_(io) {}

bool ConnectionListener::Listen(const std::string& address, std::string* error) {
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
  if (!failure) BoundReceiveBuffers(acceptor_.native_handle(), limits_.receive_buffer_bytes);
  if (!failure) acceptor_.bind(endpoint, failure);
  if (!failure) acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  if (!failure) acceptor_.non_blocking(true, failure);
  if (failure) *error = "cannot listen at " + address + ": " + failure.message();
  return !failure;
}

void ConnectionListener::Start() { AwaitConnections(); }

// Waits for readiness instead of accepting asynchronously: a connection that was accepted, but whose handler
// has not run yet, would be missed when the process exits.
void ConnectionListener::AwaitConnections() {
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](std::error_code error) {
    if (error) return;
    if (AcceptWaiting()) return AwaitConnections();
    // Accepting and closing a connection would lose its request, so it stays in the backlog.
    deadlines_->Add(deadlines_->Now() + kAcceptRetryDelay, [this] {
      if (!closed()) AwaitConnections();
    });
  });
}

bool ConnectionListener::AcceptWaiting() {
  while (EnsureCapacity()) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    if (error == asio::error::would_block) return true;
    if (error == asio::error::connection_aborted) continue;
    if (error) return false;
    Add(std::move(socket));
  }
  return false;
}

void ConnectionListener::Add(asio::ip::tcp::socket socket) {
  auto connection = factory_(std::move(socket));
  ServedConnection* const raw = connection.get();
  connections_.emplace(raw, std::move(connection));
  raw->Start([this, raw] {
    const auto found = connections_.find(raw);
    // The connection is still executing a member function: it is destroyed after that has returned.
    closed_.push_back(std::move(found->second));
    connections_.erase(found);
    if (closed_.size() == 1) asio::post(io_, [this] { closed_.clear(); });
  });
  if (!std::exchange(checking_timeouts_, true)) CheckTimeouts();
}

// At the limit closes the connection that has been idle for the longest time, or else evicts the one that has
// stalled for the longest time. A few are closed gracefully at a time; those whose peers do not close their
// side soon are dropped.
bool ConnectionListener::EnsureCapacity() {
  if (connections_.size() < limits_.max_connections) return true;
  Earliest idle, stalled, finishing;
  for (const auto& [raw, connection] : connections_) {
    idle.Offer(raw, raw->idle_since());
    stalled.Offer(raw, raw->stalled_since());
    finishing.Offer(raw, raw->finishing_since());
  }
  const Time now = deadlines_->Now();
  if (finishing.count < kMaxFinishing) {
    const bool closed_idle = idle.connection != nullptr && idle.connection->CloseIfIdle();
    if (!closed_idle && stalled.connection != nullptr && now - stalled.since >= kMinStalled)
      stalled.connection->Evict();
  }
  if (finishing.connection != nullptr && now - finishing.since >= kMinFinishing)
    finishing.connection->Close();
  return connections_.size() < limits_.max_connections;
}

void ConnectionListener::Close() {
  std::error_code ignored;
  acceptor_.close(ignored);
}

void ConnectionListener::CloseIdle() {
  ForEach([](ServedConnection* connection) { connection->CloseIfIdle(); });
}

void ConnectionListener::ForEach(const std::function<void(ServedConnection*)>& visit) {
  std::vector<ServedConnection*> all;
  all.reserve(connections_.size());
  for (const auto& [raw, connection] : connections_) all.push_back(raw);
  for (ServedConnection* connection : all) visit(connection);
}

void ConnectionListener::CheckTimeouts() {
  if (budget_->HasDrained()) ReturnFreeMemory();
  if (connections_.empty()) return void(checking_timeouts_ = false);
  const Time now = deadlines_->Now();
  ForEach([now](ServedConnection* connection) { connection->CheckTimeout(now); });
  deadlines_->Add(now + kCheckInterval, [this] { CheckTimeouts(); });
}

}  // namespace lichenlug

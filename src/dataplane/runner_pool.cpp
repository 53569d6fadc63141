#include "dataplane/runner_pool.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "dataplane/header_names.h"

namespace lichenlug::dataplane {
namespace {

// Bounds of the connect timeout. It grows when recent connections were slow, for example because this
// machine's link is saturated.
constexpr Time kMinConnectTimeout = 400 * kMillisecond, kMaxConnectTimeout = kSecond;
constexpr Time kSweepInterval = 500 * kMillisecond;
// Runners state in whole seconds how long they keep idle connections. A runner that states nothing keeps them
// for an unknown time below one second.
constexpr Time kDefaultIdleTime = 150 * kMillisecond;
constexpr Time kIdleTimeMargin = 350 * kMillisecond;  // a request must not cross with the runner's close
constexpr Time kMaxIdleTime = 20 * kSecond;
// A machine that lost power sends nothing. Keep-alive probes distinguish it from a runner that is only
// silent.
constexpr int kTcpUserTimeoutMs = 2500, kKeepAliveIdleS = 1, kKeepAliveIntervalS = 1;
constexpr std::size_t kMaxResponseBytes = std::size_t{1} << 40;  // the user limits it piece by piece

std::string ConnectionKey(const std::string& runner_id, const std::string& address) {
  return runner_id + '\n' + address;
}

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [parsed_end, parse_error] = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parse_error != std::errc() || parsed_end != end) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

Time IdleTimeOf(const HttpMessage& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* value = response.Header(header::kKeepAlive);
  const std::size_t at = value == nullptr ? std::string::npos : value->find(kTimeout);
  if (at == std::string::npos) return kDefaultIdleTime;
  Time seconds = 0;
  std::from_chars(value->data() + at + kTimeout.size(), value->data() + value->size(), seconds);
  return std::clamp<Time>(seconds * kSecond - kIdleTimeMargin, 0, kMaxIdleTime);
}

template <int kLevel, int kName>
using IntegerOption = asio::detail::socket_option::integer<kLevel, kName>;

void SetSocketOptions(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(kTcpUserTimeoutMs), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleS), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalS), ignored);
}

HttpOptions RunnerHttpOptions() {
  HttpOptions options;
  options.max_body = kMaxResponseBytes;
  options.reading = Reading::kPaced;
  options.keep_name_case = true;
  return options;
}

}  // namespace

RunnerConnection::RunnerConnection(asio::io_context& io, std::string key)
    : http_(std::make_shared<HttpConnection>(asio::ip::tcp::socket(io), HttpConnection::Side::kClient,
                                             RunnerHttpOptions())),
      key_(std::move(key)) {
  // Each handler must not access `this` after calling the user, which may release the connection.
  HttpConnection::Events events;
  events.on_head = [this](const HttpMessage& head) {
    if (user_ != nullptr) user_->OnHead(head);
  };
  events.on_body_chunk = [this](std::string_view piece) {
    if (user_ != nullptr) user_->OnBodyChunk(piece);
  };
  events.on_message = [this](HttpMessage message) {
    if (user_ != nullptr) user_->OnMessage(std::move(message));
  };
  events.on_end = [this](HttpConnection::End end) {
    if (user_ != nullptr) return user_->OnConnectionEnd(end);
    if (on_idle_end_) on_idle_end_();
  };
  http_->SetEvents(std::move(events));
}

RunnerConnection::~RunnerConnection() { http_->Close(); }

RunnerPool::RunnerPool(asio::io_context& io, Deadlines* deadlines, std::size_t max_connections)
    : io_(io),
      deadlines_(deadlines),
      max_connections_(max_connections),
      connect_delays_(kMinConnectTimeout, kMaxConnectTimeout),
      watch_(io, deadlines, &connect_delays_) {}

RunnerPool::~RunnerPool() { deadlines_->Remove(&sweep_timer_); }

RunnerPool::Connection RunnerPool::TakeIdle(const std::string& runner_id, const std::string& address) {
  const auto found = idle_.find(ConnectionKey(runner_id, address));
  if (found == idle_.end()) return nullptr;
  std::vector<Connection>& idle_connections = found->second;
  Connection taken;
  while (!idle_connections.empty() && taken == nullptr) {
    taken = std::move(idle_connections.back());
    idle_connections.pop_back();
    --idle_count_;
    taken->on_idle_end_ = nullptr;
    if (deadlines_->Now() >= taken->usable_until_ || taken->http_->HasUnread()) taken.reset();
  }
  if (idle_connections.empty()) idle_.erase(found);
  return taken;
}

std::unique_ptr<RunnerWatch::Wait> RunnerPool::Watch(const std::string& runner_id, const std::string& address,
                                                     std::function<void()> unreachable) {
  const auto endpoint = ParseEndpoint(address);
  return endpoint ? watch_.Begin(runner_id, *endpoint, std::move(unreachable)) : nullptr;
}

RunnerPool::Connection RunnerPool::Connect(const std::string& runner_id, const std::string& address,
                                           std::function<void(bool)> done) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint || !EnsureCapacity()) return nullptr;
  ++*open_count_;
  Connection opened(new RunnerConnection(io_, ConnectionKey(runner_id, address)),
                    [open = open_count_](RunnerConnection* connection) {
                      --*open;
                      delete connection;
                    });
  const Time started_at = deadlines_->Now();
  auto callback = std::make_shared<std::function<void(bool)>>(std::move(done));
  auto timer = std::make_shared<Deadlines::Key>();
  const auto complete = [this, callback, timer](bool connected) {
    deadlines_->Remove(timer.get());
    if (const auto call = std::exchange(*callback, nullptr)) call(connected);
  };
  *timer = deadlines_->Add(started_at + connect_delays_.Wait(), [complete, weak = std::weak_ptr(opened)] {
    weak.expired() ? void() : complete(false);
  });
  opened->http_->Connect(*endpoint, [this, complete, started_at, raw = opened.get()](std::error_code error) {
    if (error) return complete(false);
    connect_delays_.Note(deadlines_->Now() - started_at);
    SetSocketOptions(raw->http_->socket());
    raw->http_->Start();
    complete(true);
  });
  return opened;
}

void RunnerPool::PutIdle(Connection connection, const HttpMessage& response) {
  const Time idle_time = IdleTimeOf(response);
  connection->user_ = nullptr;
  if (idle_time <= 0) return;
  connection->usable_until_ = deadlines_->Now() + idle_time;
  std::vector<Connection>& idle_connections = idle_[connection->key_];
  if (idle_connections.size() >= max_idle_per_runner_) return;
  connection->on_idle_end_ = [this, raw = connection.get()] { DropIdle(raw); };
  idle_connections.push_back(std::move(connection));
  ++idle_count_;
  ArmSweep();
}

void RunnerPool::DropIdle(RunnerConnection* connection) {
  const auto found = idle_.find(connection->key_);
  if (found == idle_.end()) return;
  idle_count_ -=
      std::erase_if(found->second, [connection](const Connection& c) { return c.get() == connection; });
  if (found->second.empty()) idle_.erase(found);
}

// At the limit an idle connection is closed.
bool RunnerPool::EnsureCapacity() {
  if (*open_count_ < max_connections_) return true;
  if (idle_.empty()) return false;
  DropIdle(idle_.begin()->second.front().get());
  return true;
}

void RunnerPool::ArmSweep() {
  if (sweep_timer_ == Deadlines::Key{})
    sweep_timer_ = deadlines_->Add(deadlines_->Now() + kSweepInterval, [this] { Sweep(); });
}

void RunnerPool::Sweep() {
  sweep_timer_ = {};
  const Time now = deadlines_->Now();
  for (auto at = idle_.begin(); at != idle_.end();) {
    idle_count_ -= std::erase_if(at->second, [now](const Connection& c) { return c->usable_until_ <= now; });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
  if (idle_count_ > 0) ArmSweep();
}

}  // namespace lichenlug::dataplane

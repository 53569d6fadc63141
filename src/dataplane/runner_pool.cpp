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
constexpr Time kUnnamedRest = 150 * kMillisecond;
constexpr Time kRestMargin = 350 * kMillisecond;  // a request must not cross with the runner's close
constexpr Time kMaxRest = 20 * kSecond;
// A machine that lost power sends nothing. Keep-alive probes distinguish it from a runner that is only
// silent.
constexpr int kUserTimeoutMs = 2500, kProbeAfterS = 1, kProbeEveryS = 1;
constexpr std::size_t kMaxBufferedAnswer = std::size_t{1} << 40;  // the user limits it piece by piece

std::string KeyOf(const std::string& runner_id, const std::string& address) {
  return runner_id + '\n' + address;
}

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [rest, fault] = std::from_chars(address.data() + colon + 1, end, port);
  if (error || fault != std::errc() || rest != end) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

Time RestOf(const HttpMessage& answer) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* value = answer.Header(header::kKeepAlive);
  const std::size_t at = value == nullptr ? std::string::npos : value->find(kTimeout);
  if (at == std::string::npos) return kUnnamedRest;
  Time seconds = 0;
  std::from_chars(value->data() + at + kTimeout.size(), value->data() + value->size(), seconds);
  return std::clamp<Time>(seconds * kSecond - kRestMargin, 0, kMaxRest);
}

template <int kLevel, int kName>
using IntegerOption = asio::detail::socket_option::integer<kLevel, kName>;

void SetOptions(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(kProbeAfterS), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(kProbeEveryS), ignored);
}

HttpOptions OptionsOfRunners() {
  HttpOptions options;
  options.max_body = kMaxBufferedAnswer;
  options.reading = Reading::kPaced;
  options.keep_name_case = true;
  return options;
}

}  // namespace

RunnerConnection::RunnerConnection(asio::io_context& io, std::string key)
    : http_(std::make_shared<HttpConnection>(asio::ip::tcp::socket(io), HttpConnection::Side::kClient,
                                             OptionsOfRunners())),
      key_(std::move(key)) {
  // Each handler must not access `this` after calling the user, which may release the connection.
  HttpConnection::Events events;
  events.on_head = [this](const HttpMessage& head) {
    if (user_ != nullptr) user_->HeadCame(head);
  };
  events.on_body_chunk = [this](std::string_view piece) {
    if (user_ != nullptr) user_->PieceCame(piece);
  };
  events.on_message = [this](HttpMessage message) {
    if (user_ != nullptr) user_->MessageCame(std::move(message));
  };
  events.on_end = [this](HttpConnection::End end) {
    if (user_ != nullptr) return user_->ConnectionEnded(end);
    if (on_idle_end_) on_idle_end_();
  };
  http_->SetEvents(std::move(events));
}

RunnerConnection::~RunnerConnection() { http_->Close(); }

RunnerPool::RunnerPool(asio::io_context& io, Deadlines* deadlines, std::size_t max_connections)
    : io_(io),
      deadlines_(deadlines),
      max_connections_(max_connections),
      connects_(kMinConnectTimeout, kMaxConnectTimeout),
      watch_(io, deadlines, &connects_) {}

RunnerPool::~RunnerPool() { deadlines_->Remove(&sweep_); }

RunnerPool::Connection RunnerPool::TakeIdle(const std::string& runner_id, const std::string& address) {
  const auto found = idle_.find(KeyOf(runner_id, address));
  if (found == idle_.end()) return nullptr;
  std::vector<Connection>& kept = found->second;
  Connection taken;
  while (!kept.empty() && taken == nullptr) {
    taken = std::move(kept.back());
    kept.pop_back();
    --idle_count_;
    taken->on_idle_end_ = nullptr;
    if (deadlines_->Now() >= taken->usable_until_ || taken->http_->HasUnread()) taken.reset();
  }
  if (kept.empty()) idle_.erase(found);
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
  if (!endpoint || !MakeRoom()) return nullptr;
  ++*open_;
  Connection fresh(new RunnerConnection(io_, KeyOf(runner_id, address)),
                   [open = open_](RunnerConnection* connection) {
                     --*open;
                     delete connection;
                   });
  const Time began = deadlines_->Now();
  auto told = std::make_shared<std::function<void(bool)>>(std::move(done));
  auto alarm = std::make_shared<Deadlines::Key>();
  const auto tell = [this, told, alarm](bool connected) {
    deadlines_->Remove(alarm.get());
    if (const auto call = std::exchange(*told, nullptr)) call(connected);
  };
  *alarm = deadlines_->Add(began + connects_.Wait(),
                           [tell, weak = std::weak_ptr(fresh)] { weak.expired() ? void() : tell(false); });
  fresh->http_->Connect(*endpoint, [this, tell, began, raw = fresh.get()](std::error_code error) {
    if (error) return tell(false);
    connects_.Note(deadlines_->Now() - began);
    SetOptions(raw->http_->socket());
    raw->http_->Start();
    tell(true);
  });
  return fresh;
}

void RunnerPool::Keep(Connection connection, const HttpMessage& answer) {
  const Time rest = RestOf(answer);
  connection->user_ = nullptr;
  if (rest <= 0) return;
  connection->usable_until_ = deadlines_->Now() + rest;
  std::vector<Connection>& kept = idle_[connection->key_];
  if (kept.size() >= max_idle_) return;
  connection->on_idle_end_ = [this, raw = connection.get()] { DropIdle(raw); };
  kept.push_back(std::move(connection));
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
bool RunnerPool::MakeRoom() {
  if (*open_ < max_connections_) return true;
  if (idle_.empty()) return false;
  DropIdle(idle_.begin()->second.front().get());
  return true;
}

void RunnerPool::ArmSweep() {
  if (sweep_ == Deadlines::Key{})
    sweep_ = deadlines_->Add(deadlines_->Now() + kSweepInterval, [this] { Sweep(); });
}

void RunnerPool::Sweep() {
  sweep_ = {};
  const Time now = deadlines_->Now();
  for (auto at = idle_.begin(); at != idle_.end();) {
    idle_count_ -= std::erase_if(at->second, [now](const Connection& c) { return c->usable_until_ <= now; });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
  if (idle_count_ > 0) ArmSweep();
}

}  // namespace lichenlug::dataplane

#include "lab/system/http_call.h"

#include <memory>

namespace lichenlug::standins {

namespace {

constexpr std::size_t kMaxResponseBytes = 1 << 20;

struct Pending {
  Pending(asio::io_context& io, std::function<void(HttpMessage)> on_done)
      : timer(io), done(std::move(on_done)) {
    HttpOptions options;
    options.max_body = kMaxResponseBytes;
    connection =
        std::make_shared<HttpConnection>(asio::ip::tcp::socket(io), HttpConnection::Side::kClient, options);
  }

  void Finish(HttpMessage answer) {
    if (!done) return;
    const auto callback = std::exchange(done, nullptr);
    timer.cancel();
    connection->Close();
    callback(std::move(answer));
  }

  std::shared_ptr<HttpConnection> connection;
  asio::steady_timer timer;
  std::function<void(HttpMessage)> done;
};

}  // namespace

asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string AddressOf(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void Call(asio::io_context& io, const std::string& address, const HttpCall& call,
          std::function<void(HttpMessage)> done) {
  const auto pending = std::make_shared<Pending>(io, std::move(done));
  const std::weak_ptr<Pending> weak = pending;  // the timer's handler owns it until the call ends
  pending->timer.expires_after(std::chrono::microseconds(call.timeout));
  pending->timer.async_wait([pending](std::error_code) { pending->Finish({}); });
  HttpConnection::Events events;
  events.on_message = [weak](HttpMessage answer) {
    if (const auto alive = weak.lock()) alive->Finish(std::move(answer));
  };
  events.on_end = [weak](HttpConnection::End) {
    if (const auto alive = weak.lock()) alive->Finish({});
  };
  pending->connection->SetEvents(std::move(events));
  std::string bytes = FormatRequest(call.method, call.path, address, call.headers, call.body);
  pending->connection->Connect(EndpointOf(address), [weak, bytes = std::move(bytes)](std::error_code error) {
    const auto alive = weak.lock();
    if (!alive || !alive->done) return;
    if (error) return alive->Finish({});
    alive->connection->Start();
    alive->connection->Send(bytes);
  });
}

HttpMessage CallAndWait(Loop* loop, const std::string& address, const HttpCall& call) {
  auto answer = std::make_shared<HttpMessage>();
  auto ended = std::make_shared<bool>(false);
  Call(loop->io(), address, call, [answer, ended](HttpMessage message) {
    *answer = std::move(message);
    *ended = true;
  });
  loop->RunUntil([ended] { return *ended; }, 2 * call.timeout);
  return *answer;
}

}  // namespace lichenlug::standins

#include "host/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <utility>

#include "host/http_server.h"

namespace lichenlug::host {

namespace {

constexpr std::size_t kMaxInFlight = 256;
constexpr std::size_t kMaxResponseBytes = 1 << 20;

evhttp_cmd_type MethodOf(const std::string& name) { return name == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST; }

}  // namespace

struct HttpClient::Exchange {
  HttpClient* client;
  evhttp_connection* connection;
  Done done;

  static void Finished(evhttp_request* request, void* context) {
    auto* exchange = static_cast<Exchange*>(context);
    duties::HttpResult result;
    if (request != nullptr && evhttp_request_get_response_code(request) > 0) {
      result.status = evhttp_request_get_response_code(request);
      evbuffer* input = evhttp_request_get_input_buffer(request);
      result.body.resize(evbuffer_get_length(input));
      evbuffer_remove(input, result.body.data(), result.body.size());
    }
    --exchange->client->in_flight_;
    exchange->done(result);
    // The connection must not be freed inside its own callback.
    exchange->client->loop_->Post([exchange] {
      evhttp_connection_free(exchange->connection);
      delete exchange;
    });
  }
};

HttpClient::HttpClient(EventLoop* loop, std::string holder, std::string platform_address)
    : loop_(loop), holder_(std::move(holder)), platform_address_(std::move(platform_address)) {}

void HttpClient::Call(const duties::HttpCall& call, Done done) {
  const std::string& address = call.address.empty() ? platform_address_ : call.address;
  const auto [ip, port] = SplitAddress(address);
  if (port == 0 || in_flight_ >= kMaxInFlight) {
    loop_->Post([done = std::move(done)] { done({}); });
    return;
  }
  evhttp_connection* connection =
      evhttp_connection_base_new(loop_->base(), nullptr, ip.c_str(), static_cast<ev_uint16_t>(port));
  const timeval wait{static_cast<time_t>(call.timeout / kSecond),
                     static_cast<suseconds_t>(call.timeout % kSecond)};
  evhttp_connection_set_timeout_tv(connection, &wait);
  evhttp_connection_set_max_body_size(connection, kMaxResponseBytes);
  auto* exchange = new Exchange{this, connection, std::move(done)};
  evhttp_request* request = evhttp_request_new(&Exchange::Finished, exchange);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (!call.body.empty()) evhttp_add_header(headers, "Content-Type", "application/json");
  if (!call.expect_runner.empty())
    evhttp_add_header(headers, "Lichenlug-Expect-Runner", call.expect_runner.c_str());
  if (call.address.empty()) {
    evhttp_add_header(headers, "Lichenlug-Duty-Holder", holder_.c_str());
    evhttp_add_header(headers, "Lichenlug-Duty-Fence", std::to_string(call.fence).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
  ++in_flight_;
  if (evhttp_make_request(connection, request, MethodOf(call.method), call.path.c_str()) != 0)
    Exchange::Finished(nullptr, exchange);
}

}  // namespace lichenlug::host

#include "host/http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstdlib>
#include <stdexcept>

namespace lichenlug::host {

namespace {

constexpr int kIdleSeconds = 30;  // then an idle connection is closed

std::string MethodName(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_POST:
      return "POST";
    default:
      return "";
  }
}

std::string ExtractBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

void SendResponse(evhttp_request* request, const node::ControlResponse& response) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  if (!response.body.empty()) evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
  for (const auto& [name, value] : response.headers) evhttp_add_header(headers, name.c_str(), value.c_str());
  evbuffer* output = evbuffer_new();
  evbuffer_add(output, response.body.data(), response.body.size());
  evhttp_send_reply(request, response.status, nullptr, output);
  evbuffer_free(output);
}

}  // namespace

std::pair<std::string, int> SplitAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return {address, 0};
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

HttpServer::HttpServer(EventLoop* loop, std::size_t max_body_bytes, Handler handler)
    : loop_(loop), server_(evhttp_new(loop->base())), handler_(std::move(handler)) {
  if (server_ == nullptr)
    throw std::runtime_error("cannot create an HTTP server; give the process more memory");
  evhttp_set_allowed_methods(
      server_, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH | EVHTTP_REQ_DELETE | EVHTTP_REQ_POST);
  evhttp_set_max_body_size(server_, static_cast<ev_ssize_t>(max_body_bytes));
  evhttp_set_max_headers_size(server_, 16 * 1024);
  evhttp_set_timeout(server_, kIdleSeconds);
  evhttp_set_gencb(
      server_,
      [](evhttp_request* request, void* context) { static_cast<HttpServer*>(context)->Handle(request); },
      this);
}

HttpServer::~HttpServer() { evhttp_free(server_); }

bool HttpServer::Listen(const std::string& address, std::string* error) {
  const auto [ip, port] = SplitAddress(address);
  if (evhttp_bind_socket(server_, ip.c_str(), static_cast<ev_uint16_t>(port)) == 0) return true;
  *error = address + ": cannot listen on this address; check that no other process uses it";
  return false;
}

// libevent does not read from a connection while its request is being handled, so the request stays valid
// until the response is sent, even if the client has disconnected.
void HttpServer::Handle(evhttp_request* request) {
  node::ControlRequest call;
  call.method = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
  call.path = path != nullptr ? path : "";
  const char* if_match = evhttp_find_header(evhttp_request_get_input_headers(request), "If-Match");
  call.if_match = if_match != nullptr ? if_match : "";
  call.body = ExtractBody(request);
  handler_(std::move(call), [request](node::ControlResponse response) { SendResponse(request, response); });
}

}  // namespace lichenlug::host

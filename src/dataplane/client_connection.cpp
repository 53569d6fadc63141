#include "dataplane/client_connection.h"

#include <netinet/tcp.h>

#include "dataplane/header_names.h"
#include "dataplane/request.h"

namespace lichenlug::dataplane {
namespace {

constexpr Time kBodyTimeout = 60 * kSecond;       // from the end of the head to the end of the body
constexpr Time kSendTimeout = 15 * kSecond;       // for a client to read the rest of its response
constexpr Time kFinishTimeout = kSecond;          // for a client to close its side
constexpr Time kIdleMargin = 500 * kMillisecond;  // allows for the network delay of a request sent in time
constexpr Time kShutdownRetryAfter = 50 * kMillisecond;  // another dispatcher serves the retry
constexpr Time kNoConfigurationRetryAfter = 200 * kMillisecond, kOverloadRetryAfter = 300 * kMillisecond;
constexpr std::size_t kMaxWaitingBody = 16 * 1024;  // larger requests do not wait for a configuration
constexpr int kTcpUserTimeoutMs = 15000;            // detects a client machine that lost power

HttpOptions ClientHttpOptions(const ConnectionLimits& connection_limits) {
  HttpOptions options;
  options.max_head = connection_limits.max_head_bytes, options.max_body = connection_limits.max_body_bytes;
  options.reading = Reading::kPaced;
  options.keep_name_case = true;
  options.ignore_upgrade = true;
  return options;
}

}  // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket, Context* context, ExchangeTable* exchanges)
    : context_(context),
      exchanges_(exchanges),
      http_(std::make_shared<HttpConnection>(std::move(socket), HttpConnection::Side::kServer,
                                             ClientHttpOptions(context->Limits()))),
      account_(&context->budget, [this] { Evict(); }) {}

ClientConnection::~ClientConnection() { http_->Close(); }

void ClientConnection::Start(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  HttpConnection::Events events;
  events.on_begin = [this] { EnterStage(Stage::kReadingHead, context_->Limits().head_timeout); };
  events.on_head = [this](const HttpMessage& head) { OnHead(head); };
  events.on_message = [this](HttpMessage message) { OnRequest(std::move(message)); };
  events.on_end = [this](HttpConnection::End end) { OnEnd(end); };
  events.on_drained = [this] { OnWritable(); };
  events.on_input = [this] { UpdateAccount(); };
  http_->SetEvents(std::move(events));
  std::error_code ignored;
  http_->socket().set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kTcpUserTimeoutMs), ignored);
  EnterStage(Stage::kIdle, context_->Limits().idle_timeout + kIdleMargin);
  http_->Start();
}

void ClientConnection::EnterStage(Stage stage, Time timeout) {
  stage_ = stage;
  stage_began_ = context_->Now();
  stage_due_ = timeout > 0 ? stage_began_ + timeout : 0;
}

std::optional<Time> ClientConnection::SinceStage(Stage stage) const {
  if (stage_ != stage) return std::nullopt;
  return stage_began_;
}

// A request that a runner may have received needs its answer, unless the client does not read it.
bool ClientConnection::IsEvictable() const {
  switch (stage_) {
    case Stage::kReadingHead:
    case Stage::kReadingBody:
    case Stage::kAwaitingConfiguration:
    case Stage::kSending:
      return true;
    default:
      return stage_ == Stage::kServing && http_->unsent() > 0;
  }
}

void ClientConnection::UpdateAccount() {
  account_.Set(http_->held() + request_bytes_, IsEvictable(), context_->Now());
}

void ClientConnection::Evict() {
  switch (stage_) {
    case Stage::kIdle:
      return void(CloseIfIdle());
    case Stage::kReadingHead:
    case Stage::kReadingBody:
    case Stage::kAwaitingConfiguration:
      close_after_response_ = true;
      return RefuseOverload();
    default:
      return Disconnect();
  }
}

void ClientConnection::CheckTimeout(Time now) {
  UpdateAccount();
  if (stage_due_ == 0 || now < stage_due_) return;
  switch (stage_) {
    case Stage::kIdle:
      return void(CloseIfIdle());
    case Stage::kReadingHead:
      return Reject(408, "the request head timed out: send the complete head without delay");
    case Stage::kReadingBody:
      return Reject(408, "the request body timed out: send the complete body without delay");
    case Stage::kAwaitingConfiguration:
      EnterStage(Stage::kServing, 0);
      waiting_request_.reset();
      return RefuseWithoutConfiguration();
    default:
      return Close();
  }
}

bool ClientConnection::CloseIfIdle() {
  if (stage_ != Stage::kIdle || http_->HasUnread()) return false;
  return Finish(), true;
}

// ---- Requests ----

void ClientConnection::OnHead(const HttpMessage& head) {
  EnterStage(Stage::kReadingBody, kBodyTimeout);
  arrived_ = stage_began_;
  if (!head.has_length) return;
  const std::size_t max_body = context_->Limits().max_body_bytes;
  const bool has_room = head.length > max_body || context_->budget.MakeRoom(head.length, context_->Now());
  if (stage_ != Stage::kReadingBody) return;  // evicted, as its head took long
  if (!has_room) {
    close_after_response_ = true;  // the body is not read
    return RefuseOverload();
  }
  const std::string* expect = head.Header(header::kExpect);
  if (expect != nullptr && SameName(*expect, "100-continue") && head.length <= max_body)
    http_->Send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientConnection::OnRequest(HttpMessage message) {
  if (stage_ != Stage::kReadingBody) return;  // a response was sent before the request was complete
  close_after_response_ = !message.keep_alive;
  EnterStage(Stage::kServing, 0);
  request_bytes_ = message.body.size() + MemoryOfHeaders(message);
  ++context_->counters.requests;
  auto parsed = ParseRequest(std::move(message));
  if (const auto* error = std::get_if<RequestError>(&parsed)) return Reject(error->status, error->message);
  Request& request = std::get<Request>(parsed);
  if (context_->router != nullptr) return Serve(std::move(request));
  const Time time_left = context_->configuration_deadline - context_->Now();
  if (time_left <= 0 || request.message.body.size() > kMaxWaitingBody) return RefuseWithoutConfiguration();
  waiting_request_ = std::move(request);
  EnterStage(Stage::kAwaitingConfiguration, time_left);
}

void ClientConnection::OnConfiguration() {
  if (stage_ != Stage::kAwaitingConfiguration) return;
  EnterStage(Stage::kServing, 0);
  Serve(*std::exchange(waiting_request_, std::nullopt));
}

void ClientConnection::RefuseWithoutConfiguration() {
  SendLocalResponse(503, "no configuration is available yet: retry after the delay given in Retry-After",
                    kNoConfigurationRetryAfter);
}

void ClientConnection::RefuseShuttingDown() {
  SendLocalResponse(503, "this dispatcher is shutting down: retry after the delay given in Retry-After",
                    kShutdownRetryAfter);
}

void ClientConnection::RefuseOverload() {
  SendLocalResponse(503, "too many requests in progress: retry after the delay given in Retry-After",
                    kOverloadRetryAfter);
}

void ClientConnection::Serve(Request request) {
  if (context_->refusing_requests) return RefuseShuttingDown();
  const auto found = context_->router->Match(request.host, request.message.target, request.authorization);
  if (const auto* refusal = std::get_if<routing::RouteRefusal>(&found))
    return SendLocalResponse(refusal->status, refusal->message, std::nullopt);
  const auto& match = std::get<routing::RouteMatch>(found);
  if (context_->refusing_streams && match.kind == routing::RouteKind::kStream) return RefuseShuttingDown();
  const auto number = exchanges_->Begin(std::move(request), match, arrived_, this);
  if (stage_ == Stage::kServing) exchange_number_ = number;
}

void ClientConnection::OnEnd(HttpConnection::End end) {
  if (end == HttpConnection::End::kTooLarge)
    return Reject(413, "the request body is too large: send at most " +
                           std::to_string(context_->Limits().max_body_bytes) + " bytes");
  if (end == HttpConnection::End::kMalformed && http_->head_too_large())
    return Reject(431, "the request head is too large: send at most " +
                           std::to_string(context_->Limits().max_head_bytes) + " bytes");
  if (end == HttpConnection::End::kMalformed)
    return Reject(400, "malformed HTTP/1.1 request: correct the request");
  Disconnect();
}

// The client has left, or is treated as if it had.
void ClientConnection::Disconnect() {
  waiting_request_.reset();
  const auto exchange = std::exchange(exchange_number_, 0);
  if (exchange != 0) exchanges_->OnClientDisconnect(exchange);
  Close();
}

// ---- Responses ----

void ClientConnection::Reject(int status, std::string_view line) {
  close_after_response_ = true;
  SendLocalResponse(status, line, std::nullopt);
}

// While the process drains, connections are closed after their response, unless another request has already
// arrived.
Persistence ClientConnection::CurrentPersistence() {
  if (context_->draining && !http_->HasUnread()) close_after_response_ = true;
  return {close_after_response_, context_->Limits().idle_timeout};
}

void ClientConnection::SendLocalResponse(int status, std::string_view line, std::optional<Time> retry_after) {
  http_->Send(FormatLocalResponse(status, line, retry_after, CurrentPersistence()));
  EndResponse();
}

void ClientConnection::SendHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                                std::string_view body) {
  http_->Send(FormatResponseHead(head, framing, length, CurrentPersistence()).append(body));
}

void ClientConnection::SendBody(std::string_view framed) { http_->Send(framed); }

void ClientConnection::EndResponse() {
  exchange_number_ = 0;
  request_bytes_ = 0;
  waiting_request_.reset();
  if (http_->unsent() == 0) return OnResponseSent();
  EnterStage(Stage::kSending, kSendTimeout);
  UpdateAccount();
}

void ClientConnection::OnWritable() {
  if (stage_ == Stage::kSending) return OnResponseSent();
  if (exchange_number_ != 0) exchanges_->OnClientWritable(exchange_number_);
}

void ClientConnection::OnResponseSent() {
  if (stage_ == Stage::kDone) return;
  if (close_after_response_) return Finish();
  const ConnectionLimits connection_limits = context_->Limits();
  EnterStage(Stage::kIdle, connection_limits.idle_timeout + kIdleMargin);
  http_->SetBounds(connection_limits.max_head_bytes, connection_limits.max_body_bytes);
  http_->Next();
}

void ClientConnection::Abort() {
  exchange_number_ = 0;
  Close();
}

void ClientConnection::Finish() {
  if (stage_ == Stage::kDone || stage_ == Stage::kFinishing) return;
  EnterStage(Stage::kFinishing, kFinishTimeout);
  http_->Finish([this] { Close(); });
  UpdateAccount();
}

void ClientConnection::Close() {
  if (stage_ == Stage::kDone) return;
  EnterStage(Stage::kDone, 0);
  http_->Close();
  account_.Set(0, false, context_->Now());
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace lichenlug::dataplane

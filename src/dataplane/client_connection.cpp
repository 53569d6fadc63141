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
constexpr Time kEndingRetry = 50 * kMillisecond;  // another dispatcher serves the retry
constexpr Time kNoConfigurationRetry = 200 * kMillisecond, kFullRetry = 300 * kMillisecond;
constexpr std::size_t kMaxWaitingBody = 16 * 1024;  // larger requests do not wait for a configuration
constexpr int kUserTimeoutMs = 15000;               // detects a client machine that lost power

HttpOptions OptionsOfClients(const ClientBounds& bounds) {
  HttpOptions options;
  options.max_head = bounds.head, options.max_body = bounds.body;
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
                                             OptionsOfClients(context->Bounds()))) {}

ClientConnection::~ClientConnection() { http_->Close(); }

void ClientConnection::Start(std::function<void()> over) {
  over_ = std::move(over);
  HttpConnection::Events events;
  events.on_begin = [this] { Enter(Stage::kReadingHead, context_->Bounds().head_time); };
  events.on_head = [this](const HttpMessage& head) { HeadCame(head); };
  events.on_message = [this](HttpMessage message) { RequestCame(std::move(message)); };
  events.on_end = [this](HttpConnection::End end) { Ended(end); };
  events.on_drained = [this] { Drained(); };
  http_->SetEvents(std::move(events));
  std::error_code ignored;
  http_->socket().set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
  Enter(Stage::kIdle, context_->Bounds().idle + kIdleMargin);
  http_->Start();
}

void ClientConnection::Enter(Stage stage, Time timeout) {
  stage_ = stage;
  since_ = context_->Now();
  due_ = timeout > 0 ? since_ + timeout : 0;
}

void ClientConnection::Look(Time now) {
  if (due_ == 0 || now < due_) return;
  switch (stage_) {
    case Stage::kIdle:
      return void(Retire());
    case Stage::kReadingHead:
      return Fault(408, "the request head timed out: send the complete head without delay");
    case Stage::kReadingBody:
      return Fault(408, "the request body timed out: send the complete body without delay");
    case Stage::kAwaitingConfiguration:
      Enter(Stage::kServing, 0);
      waiting_.reset();
      return RefuseUnconfigured();
    default:
      return Close();
  }
}

bool ClientConnection::Retire() {
  if (stage_ != Stage::kIdle || http_->HasUnread()) return false;
  return Finish(), true;
}

// ---- Requests ----

void ClientConnection::HeadCame(const HttpMessage& head) {
  Enter(Stage::kReadingBody, kBodyTimeout);
  arrived_ = since_;
  if (!head.has_length) return;
  if (!exchanges_->HasRoom(head.length)) {
    close_after_ = true;  // the body is not read
    return SendOwn(503, "too many requests in progress: retry after the delay given in Retry-After",
                   kFullRetry);
  }
  const std::string* expect = head.Header(header::kExpect);
  if (expect != nullptr && SameName(*expect, "100-continue") && head.length <= context_->Bounds().body)
    http_->Send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientConnection::RequestCame(HttpMessage message) {
  if (stage_ != Stage::kReadingBody) return;  // a response was sent before the request was complete
  close_after_ = !message.keep_alive;
  Enter(Stage::kServing, 0);
  ++context_->counters.requests;
  auto parsed = ParseRequest(std::move(message));
  if (const auto* fault = std::get_if<RequestFault>(&parsed)) return Fault(fault->status, fault->message);
  Request& request = std::get<Request>(parsed);
  if (context_->router != nullptr) return Serve(std::move(request));
  const Time left = context_->configuration_due - context_->Now();
  if (left <= 0 || request.message.body.size() > kMaxWaitingBody) return RefuseUnconfigured();
  waiting_ = std::move(request);
  Enter(Stage::kAwaitingConfiguration, left);
}

void ClientConnection::ConfigurationCame() {
  if (stage_ != Stage::kAwaitingConfiguration) return;
  Enter(Stage::kServing, 0);
  Serve(*std::exchange(waiting_, std::nullopt));
}

void ClientConnection::RefuseUnconfigured() {
  SendOwn(503, "no configuration is available yet: retry after the delay given in Retry-After",
          kNoConfigurationRetry);
}

void ClientConnection::RefuseEnding() {
  SendOwn(503, "this dispatcher is shutting down: retry after the delay given in Retry-After", kEndingRetry);
}

void ClientConnection::Serve(Request request) {
  if (context_->refusing) return RefuseEnding();
  const auto found = context_->router->Match(request.host, request.message.target, request.authorization);
  if (const auto* refusal = std::get_if<routing::RouteRefusal>(&found))
    return SendOwn(refusal->status, refusal->message, std::nullopt);
  const auto& match = std::get<routing::RouteMatch>(found);
  if (context_->refusing_streams && match.kind == routing::RouteKind::kStream) return RefuseEnding();
  const auto number = exchanges_->Begin(std::move(request), match, arrived_, this);
  if (number == 0)
    return SendOwn(503, "too many requests in progress: retry after the delay given in Retry-After",
                   kFullRetry);
  if (stage_ == Stage::kServing) exchange_ = number;
}

void ClientConnection::Ended(HttpConnection::End end) {
  if (end == HttpConnection::End::kTooLarge)
    return Fault(413, "the request body is too large: send at most " +
                          std::to_string(context_->Bounds().body) + " bytes");
  if (end == HttpConnection::End::kMalformed && http_->head_too_large())
    return Fault(431, "the request head is too large: send at most " +
                          std::to_string(context_->Bounds().head) + " bytes");
  if (end == HttpConnection::End::kMalformed) return Fault(400, "malformed HTTP/1.1 request");
  waiting_.reset();
  const auto exchange = std::exchange(exchange_, 0);
  if (exchange != 0) exchanges_->ClientGone(exchange);
  Close();
}

// ---- Responses ----

void ClientConnection::Fault(int status, std::string_view line) {
  close_after_ = true;
  SendOwn(status, line, std::nullopt);
}

// While the process drains, connections are closed after their response, unless another request has already
// arrived.
Persistence ClientConnection::PersistenceNow() {
  if (context_->draining && !http_->HasUnread()) close_after_ = true;
  return {close_after_, context_->Bounds().idle};
}

void ClientConnection::SendOwn(int status, std::string_view line, std::optional<Time> retry_after) {
  http_->Send(FormatOwnAnswer(status, line, retry_after, PersistenceNow()));
  EndAnswer();
}

void ClientConnection::SendHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                                std::string_view body) {
  http_->Send(FormatAnswerHead(head, framing, length, PersistenceNow()).append(body));
}

void ClientConnection::SendBody(std::string_view framed) { http_->Send(framed); }

void ClientConnection::EndAnswer() {
  exchange_ = 0;
  if (http_->unsent() == 0) return Answered();
  Enter(Stage::kSending, kSendTimeout);
}

void ClientConnection::Drained() {
  if (stage_ == Stage::kSending) return Answered();
  if (exchange_ != 0) exchanges_->ClientDrained(exchange_);
}

void ClientConnection::Answered() {
  if (stage_ == Stage::kOver) return;
  if (close_after_) return Finish();
  const ClientBounds bounds = context_->Bounds();
  Enter(Stage::kIdle, bounds.idle + kIdleMargin);
  http_->SetBounds(bounds.head, bounds.body);
  http_->Next();
}

void ClientConnection::Abort() {
  exchange_ = 0;
  Close();
}

void ClientConnection::Finish() {
  if (stage_ == Stage::kOver || stage_ == Stage::kFinishing) return;
  Enter(Stage::kFinishing, kFinishTimeout);
  http_->Finish([this] { Close(); });
}

void ClientConnection::Close() {
  if (stage_ == Stage::kOver) return;
  Enter(Stage::kOver, 0);
  http_->Close();
  if (const auto over = std::exchange(over_, nullptr)) over();
}

}  // namespace lichenlug::dataplane

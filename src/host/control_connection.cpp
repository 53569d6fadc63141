#include "host/control_connection.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lichenlug::host {
namespace {

constexpr Time kIdleTimeout = 30 * kSecond;
constexpr Time kStallTimeout =
    30 * kSecond;                         // for a caller that neither sends the rest nor reads its response
constexpr Time kFinishTimeout = kSecond;  // for a caller to close its side
constexpr std::array<std::string_view, 5> kMethods = {"GET", "PUT", "PATCH", "DELETE", "POST"};

HttpOptions ControlHttpOptions(std::size_t max_body_bytes) {
  HttpOptions options;
  options.max_body = max_body_bytes;
  options.reading = Reading::kPaced;
  options.ignore_upgrade = true;
  return options;
}

// The path of a request target, without the query. The target may be an absolute URI.
std::string PathOfTarget(std::string_view target) {
  constexpr std::string_view kScheme = "://";
  if (const auto scheme = target.find(kScheme);
      !target.starts_with('/') && scheme != std::string_view::npos) {
    target.remove_prefix(scheme + kScheme.size());
    target.remove_prefix(std::min(target.find('/'), target.size()));
  }
  return std::string(target.substr(0, target.find_first_of("?#")));
}

}  // namespace

ControlConnection::ControlConnection(asio::ip::tcp::socket socket, std::size_t max_body_bytes,
                                     const Deadlines* clock, ByteBudget* budget, OnRequest on_request)
    : max_body_bytes_(max_body_bytes),
      clock_(clock),
      budget_(budget),
      on_request_(std::move(on_request)),
      http_(std::make_shared<HttpConnection>(std::move(socket), HttpConnection::Side::kServer,
                                             ControlHttpOptions(max_body_bytes))),
      account_(budget, [this] { Evict(); }) {}

ControlConnection::~ControlConnection() { http_->Close(); }

void ControlConnection::Start(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  HttpConnection::Events events;
  events.on_begin = [this] { EnterStage(Stage::kReading); };
  events.on_head = [this](const HttpMessage& head) { OnHead(head); };
  events.on_message = [this](HttpMessage message) { HandleMessage(std::move(message)); };
  events.on_end = [this](HttpConnection::End end) { OnEnd(end); };
  events.on_drained = [this] {
    if (stage_ == Stage::kSending) OnResponseSent();
  };
  events.on_input = [this] { UpdateAccount(); };
  http_->SetEvents(std::move(events));
  EnterStage(Stage::kIdle);
  http_->Start();
}

void ControlConnection::EnterStage(Stage stage) {
  stage_ = stage;
  stage_began_ = clock_->Now();
}

std::optional<Time> ControlConnection::SinceStage(Stage stage) const {
  if (stage_ != stage) return std::nullopt;
  return stage_began_;
}

void ControlConnection::UpdateAccount() {
  const bool evictable = stage_ == Stage::kReading || stage_ == Stage::kSending;
  account_.Set(http_->held() + request_bytes_, evictable, clock_->Now());
}

void ControlConnection::CheckTimeout(Time now) {
  UpdateAccount();
  const auto stalled = account_.stalled_since();
  if (stage_ == Stage::kIdle && now - stage_began_ >= kIdleTimeout) return void(CloseIfIdle());
  if (stage_ == Stage::kFinishing && now - stage_began_ >= kFinishTimeout) return Close();
  if (stalled && now - *stalled >= kStallTimeout) Evict();
}

bool ControlConnection::CloseIfIdle() {
  if (stage_ != Stage::kIdle || http_->HasUnread()) return false;
  return Finish(), true;
}

void ControlConnection::Evict() {
  if (stage_ == Stage::kReading)
    return Refuse(503, "too many bytes of requests are held: send the same call again");
  Close();
}

// ---- Requests ----

void ControlConnection::OnHead(const HttpMessage& head) {
  if (std::ranges::find(kMethods, head.method) == kMethods.end())
    return Refuse(501, "unknown method: see the interface's description");
  const bool has_room = head.length > max_body_bytes_ || budget_->MakeRoom(head.length, clock_->Now());
  if (stage_ != Stage::kReading) return;  // evicted, as its head took long
  if (!has_room) return Evict();
  const std::string* expect = head.Header("expect");
  if (expect != nullptr && SameName(*expect, "100-continue") && head.length <= max_body_bytes_)
    http_->Send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ControlConnection::HandleMessage(HttpMessage message) {
  if (stage_ != Stage::kReading) return;  // a response was sent before the request was complete
  close_after_response_ = !message.keep_alive;
  node::ControlRequest request;
  request.method = message.method;
  request.path = PathOfTarget(message.target);
  if (const std::string* if_match = message.Header("if-match")) request.if_match = *if_match;
  request.body = std::move(message.body);
  request_bytes_ = request.body.size();
  EnterStage(Stage::kHandling);
  on_request_(std::move(request), this);
}

void ControlConnection::OnEnd(HttpConnection::End end) {
  if (end == HttpConnection::End::kTooLarge)
    return Refuse(413, "the body is too large: send at most " + std::to_string(max_body_bytes_) + " bytes");
  if (end == HttpConnection::End::kMalformed && http_->head_too_large())
    return Refuse(431, "the head is too large: send at most " + std::to_string(kMaxHead) + " bytes");
  if (end == HttpConnection::End::kMalformed)
    return Refuse(400, "malformed HTTP/1.1 request: correct the request");
  Close();
}

// ---- Responses ----

void ControlConnection::Refuse(int status, std::string_view line) {
  close_after_response_ = true;
  node::ControlResponse response = node::PlainStatus(status);
  response.body = std::string(line) + "\n";
  response.content_type = "text/plain";
  Send(response);
}

void ControlConnection::Respond(const node::ControlResponse& response) {
  if (stage_ == Stage::kHandling) Send(response);
}

void ControlConnection::Send(const node::ControlResponse& response) {
  request_bytes_ = 0;
  auto headers = response.headers;
  if (!response.body.empty()) headers.emplace_back("Content-Type", response.content_type);
  http_->Send(FormatResponse(response.status, headers, response.body, !close_after_response_));
  if (http_->Written()) return OnResponseSent();
  EnterStage(Stage::kSending);
  UpdateAccount();
}

void ControlConnection::OnResponseSent() {
  if (stage_ == Stage::kDone) return;
  if (close_after_response_) return Finish();
  EnterStage(Stage::kIdle);
  UpdateAccount();
  http_->Next();
}

void ControlConnection::Finish() {
  if (stage_ == Stage::kDone || stage_ == Stage::kFinishing) return;
  EnterStage(Stage::kFinishing);
  http_->Finish([this] { Close(); });
  UpdateAccount();
}

void ControlConnection::Close() {
  if (stage_ == Stage::kDone) return;
  EnterStage(Stage::kDone);
  http_->Close();
  account_.Set(0, false, clock_->Now());
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace lichenlug::host

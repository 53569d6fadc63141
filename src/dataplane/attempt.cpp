#include "dataplane/attempt.h"

#include "dataplane/header_names.h"

namespace lichenlug::dataplane {
namespace {

using routing::AttemptOutcome;

constexpr std::size_t kMaxBufferedBody = 1u << 20;   // a larger body is forwarded as it arrives
constexpr std::size_t kMaxBodyWithHead = 16 * 1024;  // a smaller body is sent together with its head

bool HasType(const HttpMessage& head, std::string_view type) {
  const std::string* value = head.Header(header::kContentType);
  return value != nullptr && SameName(std::string_view(*value).substr(0, type.size()), type) &&
         (value->size() == type.size() || (*value)[type.size()] == ';' || (*value)[type.size()] == ' ');
}

// Statuses that guarantee a client that its request has not run. From a runner they count only together with
// its Not-Run header.
bool StatusMeansNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

Attempt::Attempt(Settings settings, std::shared_ptr<const Request> request, RunnerPool* pool,
                 Context* context, AttemptOwner* owner)
    : settings_(std::move(settings)),
      request_(std::move(request)),
      pool_(pool),
      context_(context),
      owner_(owner),
      account_(&context->budget, [] {}) {}

Attempt::~Attempt() { Stop(); }

void Attempt::Start() {
  const auto self = shared_from_this();
  connection_ = pool_->TakeIdle(settings_.runner_id, settings_.address);
  if (connection_ != nullptr) {
    connection_->set_user(this);
    connection_->http().Next();
    return SendRequest();
  }
  connection_ =
      pool_->Connect(settings_.runner_id, settings_.address, [weak = weak_from_this()](bool connected) {
        const auto attempt = weak.lock();
        if (attempt == nullptr || attempt->stage_ == Stage::kDone) return;
        // A runner with too many connections resets new ones after accepting them.
        if (!connected || attempt->connection_->http().HasUnread())
          return attempt->Fail(AttemptOutcome::kConnectFailed);
        attempt->SendRequest();
      });
  if (connection_ == nullptr) return Fail(AttemptOutcome::kNotRun);  // not a runner fault
  connection_->set_user(this);
}

void Attempt::Stop() {
  stage_ = Stage::kDone;
  watch_.reset();
  owner_ = nullptr;
  if (connection_ != nullptr) connection_->set_user(nullptr);
  connection_.reset();
}

void Attempt::PauseReading(bool pause) {
  if (connection_ != nullptr) connection_->http().PauseReading(pause);
}

void Attempt::SendRequest() {
  const Time time_left = settings_.deadline - context_->Now();
  if (time_left < kMillisecond) return;  // the owner's deadline handler is about to run
  AttemptHeaders added_headers;
  added_headers.runner_id = settings_.runner_id, added_headers.tenant = settings_.tenant;
  added_headers.time_left = time_left, added_headers.priority = settings_.priority,
  added_headers.last_event_id = settings_.last_event_id;
  std::string bytes = FormatRequestHead(*request_, added_headers);
  const std::string& body = request_->message.body;
  const bool together = body.size() <= kMaxBodyWithHead;
  if (together) bytes.append(body);
  stage_ = Stage::kSent, sent_ = true;
  connection_->http().ExpectNoBody(request_->IsHead());
  connection_->http().Send(bytes);
  if (!together) connection_->http().Send(body, request_);
  if (settings_.watch_runner) WatchRunner();
}

void Attempt::WatchRunner() {
  watch_ = pool_->Watch(settings_.runner_id, settings_.address, [weak = weak_from_this()] {
    const auto attempt = weak.lock();
    if (attempt != nullptr && attempt->stage_ != Stage::kDone && attempt->owner_ != nullptr)
      attempt->owner_->OnRunnerUnreachable(*attempt);
  });
}

// Classifies a response by its head. A response without the runner's stamp may not come from the runner.
Attempt::ResponseClass Attempt::Classify(const HttpMessage& head) const {
  const int status = head.status;
  const bool marked_not_run = head.Header(header::kNotRun) != nullptr;
  if (status == 421 || (marked_not_run && (StatusMeansNotRun(status) || status == 400)))
    return ResponseClass::kNotRun;
  if (StatusMeansNotRun(status) || head.Header(header::kContentEncoding) != nullptr)
    return ResponseClass::kBroken;
  if (status < 500 && head.Header(header::kRunnerStamp) == nullptr) return ResponseClass::kBroken;
  const bool events = settings_.expects_events && status / 100 == 2 && !request_->IsHead() &&
                      HasType(head, header::kEventStreamType);
  return events ? ResponseClass::kEventStream : ResponseClass::kResponse;
}

void Attempt::OnHead(const HttpMessage& head) {
  if (watch_) watch_->OnBytes();
  if (head.status < 200) return;  // interim response
  if (stage_ != Stage::kSent)
    return Fail(stage_ == Stage::kConnecting ? AttemptOutcome::kConnectFailed : AttemptOutcome::kBroken);
  const std::string* id = head.Header(header::kAttemptId);
  if (id == nullptr) return Fail(AttemptOutcome::kBroken);
  skipping_ = *id != request_->attempt_id;
  saw_other_response_ = saw_other_response_ || skipping_;
  if (skipping_) return;
  stage_ = Stage::kReceiving;
  response_class_ = Classify(head);
  if (response_class_ == ResponseClass::kBroken) return Fail(AttemptOutcome::kBroken);
  head_ = head;
  if (response_class_ != ResponseClass::kEventStream) return;
  stage_ = Stage::kStreaming;
  owner_->OnStreamBegin(*this, head_, /*events=*/true);
}

void Attempt::OnBodyChunk(std::string_view piece) {
  if (watch_) watch_->OnBytes();
  if (skipping_) return;
  if (stage_ == Stage::kStreaming) return owner_->OnStreamBytes(*this, piece);
  const bool fits = MayBufferMore(piece.size());
  body_.append(piece);
  account_.Set(body_.size(), false, context_->Now());
  if (fits || stage_ != Stage::kReceiving) return;
  if (response_class_ == ResponseClass::kNotRun) return Fail(NotRunOutcome(head_));
  const auto self = shared_from_this();
  stage_ = Stage::kStreaming;
  owner_->OnStreamBegin(*this, head_, /*events=*/false);
  account_.Set(0, false, context_->Now());
  if (stage_ == Stage::kStreaming) owner_->OnStreamBytes(*this, std::exchange(body_, {}));
}

bool Attempt::MayBufferMore(std::size_t bytes) const {
  return body_.size() + bytes <= kMaxBufferedBody && context_->budget.HasRoom(body_.size() + bytes);
}

void Attempt::OnMessage(HttpMessage message) {
  if (stage_ == Stage::kDone) return;
  if (std::exchange(skipping_, false)) return connection_->http().Next();
  const auto self = shared_from_this();
  AttemptOwner* const owner = owner_;
  const bool streamed = stage_ == Stage::kStreaming;
  const StreamEnd end = message.has_length ? StreamEnd::kFraming : StreamEnd::kConnection;
  Release(message);
  if (streamed) return owner->OnStreamEnd(*this, end);
  if (response_class_ == ResponseClass::kNotRun) return owner->OnAttemptFailed(*this, NotRunOutcome(message));
  message.body = std::move(body_);
  owner->OnResponse(*this, std::move(message));
}

void Attempt::OnConnectionEnd(HttpConnection::End) {
  if (stage_ == Stage::kDone) return;
  Fail(stage_ == Stage::kConnecting ? AttemptOutcome::kConnectFailed : AttemptOutcome::kBroken);
}

AttemptOutcome Attempt::NotRunOutcome(const HttpMessage& head) const {
  if (head.status != 421) return AttemptOutcome::kNotRun;
  const std::string* runner = head.Header(header::kRunnerId);
  const bool another = request_->model.empty() || (runner != nullptr && *runner != settings_.runner_id);
  return another ? AttemptOutcome::kWrongRunner : AttemptOutcome::kModelMissing;
}

// The HTTP exchange is complete. The connection is returned to the pool only if it has carried nothing else.
void Attempt::Release(const HttpMessage& response) {
  stage_ = Stage::kDone;
  watch_.reset();
  const RunnerPool::Connection connection = std::move(connection_);
  connection_.reset();
  connection->set_user(nullptr);
  const bool reusable = response.keep_alive && !saw_other_response_ && connection->http().Written();
  if (reusable) pool_->PutIdle(connection, response);  // TakeIdle() checks for surplus bytes before reuse
}

void Attempt::Fail(AttemptOutcome outcome) {
  if (stage_ == Stage::kDone) return;
  const auto self = shared_from_this();
  AttemptOwner* const owner = owner_;
  Stop();
  // A request that fails before its first byte was sent can't have run.
  if (!sent_ && outcome == AttemptOutcome::kBroken) outcome = AttemptOutcome::kConnectFailed;
  if (owner != nullptr) owner->OnAttemptFailed(*this, outcome);
}

}  // namespace lichenlug::dataplane

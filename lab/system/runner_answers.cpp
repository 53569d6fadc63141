// Request handling of the simulated runner.
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "lab/system/runner.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

constexpr int kMisdirected = 421, kMissingAttemptId = 400, kOverloaded = 503;
constexpr char kTextType[] = "text/plain";
constexpr std::uint64_t kUnframedInterval =
    3;  // each third stream has no length and ends with its connection

std::string HeaderOf(const HttpMessage& request, const char* name) {
  const std::string* value = request.Header(name);
  return value == nullptr ? "" : *value;
}

int ParseInt(const std::string& text, int fallback) {
  int number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// "PROMPT,OUT": the number of prompt tokens and the maximum number of response tokens.
int RequestedEvents(const HttpMessage& request) {
  const std::string counts = HeaderOf(request, wire::kTokenCount);
  const std::size_t comma = counts.find(',');
  return comma == std::string::npos ? 1 : std::max(1, ParseInt(counts.substr(comma + 1), 1));
}

std::string Chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Item(int number, const std::string& attempt_id, bool stream) {
  const std::string data = std::to_string(number) + " of " + attempt_id;
  return stream ? "id: " + std::to_string(number) + "\ndata: " + data + "\n\n" : data + "\n";
}

}  // namespace

// One request that is being answered.
struct Runner::Answer {
  Connection connection;
  std::string attempt_id, tenant;
  int next_event = 1, last_event = 1;
  bool stream = false, framed = true, resumed = false, started = false;
  asio::steady_timer timer;
};

std::optional<int> Runner::RefusalStatus(const HttpMessage& request) const {
  if (request.Header(wire::kAttemptId) == nullptr) return kMissingAttemptId;
  const std::string expected = HeaderOf(request, wire::kExpectRunner);
  if (!expected.empty() && expected != settings_.id) return kMisdirected;
  if (!models_.Holds(HeaderOf(request, wire::kModel))) return kMisdirected;
  if (running_.size() >= static_cast<std::size_t>(settings_.slots)) return kOverloaded;
  return std::nullopt;
}

void Runner::CheckRequest(const HttpMessage& request) {
  last_request_at_ = loop_->Now();
  if (drained_at_ && *last_request_at_ > *drained_at_ + settings_.drain_bound)
    ledger_->RecordViolation(settings_.id + " received a request after its drain deadline");
  if (request.Header(wire::kAuthorization) != nullptr)
    ledger_->RecordViolation(settings_.id + " received a client's key");
  if (request.Header(wire::kTenant) == nullptr)
    ledger_->RecordViolation(settings_.id + " received a request without its tenant");
  if (request.Header(wire::kDeadline) == nullptr)
    ledger_->RecordViolation(settings_.id + " received a request without its deadline");
}

void Runner::Serve(const Connection& connection, const HttpMessage& request) {
  CheckRequest(request);
  if (const auto status = RefusalStatus(request)) {
    return lab::Reply(connection, *status, "",
                      {{wire::kNotRun, "1"},
                       {wire::kAttemptId, HeaderOf(request, wire::kAttemptId)},
                       {wire::kRetryAfter, "0.1"}});
  }
  const int last_event_id = ParseInt(HeaderOf(request, wire::kLastEventId), 0);
  const bool stream = request.target.find("/stream") != std::string::npos ||
                      request.target.find("/resume") != std::string::npos;
  const int events = RequestedEvents(request);
  // Without a length, a stream with no event left would look like one that was cut off.
  const bool framed = !stream || last_event_id >= events || ++streams_ % kUnframedInterval != 0;
  const auto answer = std::make_shared<Answer>(Answer{
      connection, HeaderOf(request, wire::kAttemptId), HeaderOf(request, wire::kTenant), last_event_id + 1,
      events, stream, framed, last_event_id > 0, false, asio::steady_timer(loop_->io())});
  running_.insert(answer);
  SendEvent(answer);
}

// The head is sent with the first event; it also shows the client that the request is running.
void Runner::SendHead(const std::shared_ptr<Answer>& answer) {
  answer->started = true;
  ledger_->RecordRunner(answer->attempt_id, settings_.id);
  if (!answer->resumed) ledger_->RecordRunStart(answer->attempt_id, answer->tenant, !answer->stream);
  std::string head = "HTTP/1.1 200 OK\r\n";
  head += answer->framed ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n";
  head += "Content-Type: ";
  head += answer->stream ? wire::kEventStreamType : kTextType;
  for (const auto& [name, value] : {std::pair<std::string, std::string>{wire::kAttemptId, answer->attempt_id},
                                    {wire::kRunnerStamp, settings_.id + "." + answer->attempt_id},
                                    {wire::kVersions, "1"}})
    head += "\r\n" + name + ": " + value;
  answer->connection->Send(head + "\r\n\r\n");
}

void Runner::SendEvent(const std::shared_ptr<Answer>& answer) {
  answer->timer.expires_after(std::chrono::microseconds(settings_.event_interval));
  answer->timer.async_wait([this, weak = std::weak_ptr(answer)](std::error_code error) {
    const auto alive = weak.lock();
    if (error || !alive) return;
    if (!alive->connection->socket().is_open()) return void(running_.erase(alive));
    if (!alive->started) SendHead(alive);
    if (alive->next_event > alive->last_event) return Finish(alive);
    const std::string item = Item(alive->next_event++, alive->attempt_id, alive->stream);
    alive->connection->Send(alive->framed ? Chunk(item) : item);
    SendEvent(alive);
  });
}

void Runner::CutWithinEvent(const Answer& answer) {
  if (answer.framed || !answer.started || answer.next_event > answer.last_event) return;
  const std::string item = Item(answer.next_event, answer.attempt_id, answer.stream);
  answer.connection->Send(item.substr(0, item.size() / 2));
}

void Runner::Finish(const std::shared_ptr<Answer>& answer) {
  if (answer->framed) {
    answer->connection->Send("0\r\n\r\n");
  } else {
    if (!answer->connection->Written()) return SendEvent(answer);  // closing would discard the rest
    answer->connection->Close();
  }
  ++served_;
  running_.erase(answer);
}

}  // namespace lichenlug::standins

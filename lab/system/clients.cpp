#include "lab/system/clients.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

#include "lab/system/answer_check.h"
#include "lab/system/http_call.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

constexpr int kMaxAttempts = 5;
constexpr Time kRetryDelay = 100 * kMillisecond, kRequestInterval = 20 * kMillisecond;
constexpr char kHost[] = "models.example";

bool IsRefusal(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }
bool IsPermanentError(int status) {
  return status == 400 || status == 401 || status == 404 || status == 413 || status == 431;
}

std::string Hex(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

std::string HeaderOf(const HttpMessage& message, const char* name) {
  const std::string* value = message.Header(name);
  return value == nullptr ? "" : *value;
}

}  // namespace

// One request with its attempts.
struct Clients::Exchange {
  ClientRequest request;
  Done done;
  Time deadline_at = 0;
  int attempts = 0, last_event = 0;
  bool connected = false, finished = false;
  ClientResult result;
  std::string attempt_id;
  std::unique_ptr<AnswerCheck> check;  // of the current response; null until a 2xx head has arrived
  std::shared_ptr<HttpConnection> connection;
  asio::steady_timer retry_timer, deadline_timer;

  bool stream() const { return request.kind != ClientKind::kPlain; }
};

Clients::Clients(Loop* loop, Ingress* ingress, Ledger* ledger)
    : loop_(loop), ingress_(ingress), ledger_(ledger), next_id_(std::random_device{}()) {
  next_id_ <<= 32;  // distinct from the ids of every other run
}

Clients::~Clients() {
  for (const ExchangePtr& exchange : in_flight_)
    if (exchange->connection) exchange->connection->Close();
}

void Clients::KeepUp(const std::vector<ClientRequest>& requests) {
  for (const ClientRequest& request : requests) {
    Send(request, [this, request](const ClientResult&) {
      if (stopped_) return;
      const auto timer = std::make_shared<asio::steady_timer>(loop_->io());
      timer->expires_after(std::chrono::microseconds(kRequestInterval));
      timer->async_wait([this, alive = std::weak_ptr(alive_), timer, request](std::error_code) {
        if (!alive.expired() && !stopped_) KeepUp({request});
      });
    });
  }
}

void Clients::Send(const ClientRequest& request, Done done) {
  const ExchangePtr exchange(new Exchange{request,
                                          std::move(done),
                                          loop_->Now() + request.deadline,
                                          0,
                                          0,
                                          false,
                                          false,
                                          {},
                                          "",
                                          nullptr,
                                          nullptr,
                                          asio::steady_timer(loop_->io()),
                                          asio::steady_timer(loop_->io())});
  in_flight_.insert(exchange);
  ++figures_.sent;
  exchange->deadline_timer.expires_after(std::chrono::microseconds(request.deadline));
  exchange->deadline_timer.async_wait([this, weak = std::weak_ptr(exchange)](std::error_code error) {
    const ExchangePtr expired = weak.lock();
    if (!error && expired)
      Finish(expired, expired->check ? ClientResult::Outcome::kCut : ClientResult::Outcome::kFailed);
  });
  StartAttempt(exchange);
}

void Clients::StartAttempt(const ExchangePtr& exchange) {
  const std::string address =
      exchange->request.front_address.empty() ? ingress_->Next() : exchange->request.front_address;
  if (address.empty()) return ScheduleRetry(exchange, kRetryDelay);
  ++figures_.attempts;
  ++exchange->attempts;
  exchange->attempt_id = Hex(++next_id_);
  exchange->connected = false;
  exchange->check.reset();
  Connect(exchange, address);
}

void Clients::ScheduleRetry(const ExchangePtr& exchange, Time delay) {
  exchange->retry_timer.expires_after(std::chrono::microseconds(delay));
  exchange->retry_timer.async_wait([this, weak = std::weak_ptr(exchange)](std::error_code error) {
    const ExchangePtr waiting = weak.lock();
    if (!error && waiting && !waiting->finished) StartAttempt(waiting);
  });
}

void Clients::Connect(const ExchangePtr& exchange, const std::string& address) {
  exchange->connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(loop_->io()), HttpConnection::Side::kClient);
  const std::weak_ptr<Exchange> weak = exchange;
  const auto if_alive = [weak](auto act) {
    return [weak, act](const auto&... arguments) {
      const ExchangePtr alive = weak.lock();
      if (alive && !alive->finished) act(alive, arguments...);
    };
  };
  HttpConnection::Events events;
  events.on_head =
      if_alive([this](const ExchangePtr& alive, const HttpMessage& head) { OnResponseHead(alive, head); });
  events.on_body_chunk = if_alive([](const ExchangePtr& alive, std::string_view bytes) {
    if (alive->check) alive->check->Feed(bytes);
  });
  events.on_message =
      if_alive([this](const ExchangePtr& alive, const HttpMessage& answer) { OnResponse(alive, answer); });
  events.on_end = if_alive([this](const ExchangePtr& alive, HttpConnection::End) { OnDisconnect(alive); });
  exchange->connection->SetEvents(std::move(events));
  exchange->connection->Connect(EndpointOf(address),
                                if_alive([this](const ExchangePtr& alive, std::error_code error) {
                                  if (error) return OnDisconnect(alive);
                                  alive->connected = true;
                                  alive->connection->Start();
                                  SendRequest(alive);
                                }));
}

void Clients::SendRequest(const ExchangePtr& exchange) {
  const ClientRequest& request = exchange->request;
  const Time remaining = std::max<Time>(exchange->deadline_at - loop_->Now(), kMillisecond);
  Headers headers = {{wire::kAttemptId, exchange->attempt_id},
                     {wire::kDeadline, std::to_string(remaining / kMillisecond)},
                     {wire::kModel, request.model},
                     {wire::kTokenCount, "40," + std::to_string(request.events)},
                     {wire::kPromptPrefix, "5c1e07a2:30," + exchange->attempt_id.substr(8) + ":10"}};
  if (!request.key.empty()) headers.emplace_back(wire::kAuthorization, wire::kBearer + request.key);
  if (exchange->last_event > 0)
    headers.emplace_back(wire::kLastEventId, std::to_string(exchange->last_event));
  exchange->connection->Send(FormatRequest("POST", request.path, kHost, headers, "{}"));
}

void Clients::OnResponseHead(const ExchangePtr& exchange, const HttpMessage& head) {
  exchange->result.status = head.status;
  if (head.status != 200) return;
  exchange->result.runner_stamp = HeaderOf(head, wire::kRunnerStamp);
  exchange->check =
      std::make_unique<AnswerCheck>(exchange->stream(), exchange->attempt_id, exchange->last_event);
  if (HeaderOf(head, wire::kAttemptId) != exchange->attempt_id)
    ledger_->RecordViolation("a response has an attempt id other than " + exchange->attempt_id);
  if (!exchange->result.runner_stamp.ends_with("." + exchange->attempt_id))
    ledger_->RecordViolation("a response to attempt " + exchange->attempt_id + " has the stamp \"" +
                             exchange->result.runner_stamp + "\"");
}

void Clients::OnResponse(const ExchangePtr& exchange, const HttpMessage& answer) {
  using Outcome = ClientResult::Outcome;
  if (exchange->check) {
    if (!exchange->check->problem().empty())
      ledger_->RecordViolation("attempt " + exchange->attempt_id + ": " + exchange->check->problem());
    if (!exchange->check->IsComplete(exchange->request.events))
      ledger_->RecordViolation("attempt " + exchange->attempt_id + " completed with last item " +
                               std::to_string(exchange->check->last_item()));
    return Finish(exchange, Outcome::kServed);
  }
  const bool may_retry = IsRefusal(answer.status) || exchange->request.kind == ClientKind::kPlain;
  const bool retry = may_retry && !IsPermanentError(answer.status) && exchange->attempts < kMaxAttempts;
  if (!retry) return Finish(exchange, IsRefusal(answer.status) ? Outcome::kRefused : Outcome::kFailed);
  exchange->connection->Close();
  ScheduleRetry(exchange, exchange->request.retries_immediately ? 0 : kRetryDelay);
}

// The connection ended without a complete response.
void Clients::OnDisconnect(const ExchangePtr& exchange) {
  using Outcome = ClientResult::Outcome;
  exchange->connection->Close();
  const bool interrupted = exchange->check != nullptr;
  if (interrupted) exchange->last_event = exchange->stream() ? exchange->check->last_item() : 0;
  const bool not_connected = !exchange->connected;
  const bool may_retry = not_connected || exchange->request.kind != ClientKind::kStream;
  if (!may_retry || exchange->attempts >= kMaxAttempts)
    return Finish(exchange, interrupted ? Outcome::kCut : Outcome::kFailed);
  if (interrupted) ++figures_.resumed;
  ScheduleRetry(exchange, exchange->request.retries_immediately ? 0 : kRetryDelay);
}

void Clients::Finish(const ExchangePtr& exchange, ClientResult::Outcome outcome) {
  using Outcome = ClientResult::Outcome;
  if (std::exchange(exchange->finished, true)) return;
  exchange->retry_timer.cancel();
  exchange->deadline_timer.cancel();
  if (exchange->connection) exchange->connection->Close();
  exchange->result.outcome = outcome;
  (outcome == Outcome::kServed    ? figures_.served
   : outcome == Outcome::kRefused ? figures_.refused
   : outcome == Outcome::kCut     ? figures_.cut
                                  : figures_.failed)++;
  const ExchangePtr owner = exchange;  // the set may own the last reference
  in_flight_.erase(owner);
  if (owner->done) owner->done(owner->result);
}

}  // namespace lichenlug::standins

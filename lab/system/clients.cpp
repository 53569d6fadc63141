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

constexpr int kMaxTries = 5;
constexpr Time kRetryPause = 100 * kMillisecond, kBetweenRequests = 20 * kMillisecond;
constexpr char kHost[] = "models.example";

bool IsPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }
bool IsFinal(int status) {
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
  Time answer_by = 0;
  int tries = 0, last_event = 0;
  bool connected = false, over = false;
  ClientResult result;
  std::string attempt_id;
  std::unique_ptr<AnswerCheck> check;  // of the current response; null until a 2xx head has arrived
  std::shared_ptr<HttpConnection> connection;
  asio::steady_timer timer, alarm;

  bool stream() const { return request.kind != ClientKind::kPlain; }
};

Clients::Clients(Loop* loop, Ingress* ingress, Ledger* ledger)
    : loop_(loop), ingress_(ingress), ledger_(ledger), next_id_(std::random_device{}()) {
  next_id_ <<= 32;  // distinct from the ids of every other run
}

Clients::~Clients() {
  for (const Handle& exchange : in_flight_)
    if (exchange->connection) exchange->connection->Close();
}

void Clients::KeepUp(const std::vector<ClientRequest>& requests) {
  for (const ClientRequest& request : requests) {
    Send(request, [this, request](const ClientResult&) {
      if (stopped_) return;
      const auto pause = std::make_shared<asio::steady_timer>(loop_->io());
      pause->expires_after(std::chrono::microseconds(kBetweenRequests));
      pause->async_wait([this, alive = std::weak_ptr(alive_), pause, request](std::error_code) {
        if (!alive.expired() && !stopped_) KeepUp({request});
      });
    });
  }
}

void Clients::Send(const ClientRequest& request, Done done) {
  const Handle exchange(new Exchange{request,
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
  exchange->alarm.expires_after(std::chrono::microseconds(request.deadline));
  exchange->alarm.async_wait([this, weak = std::weak_ptr(exchange)](std::error_code error) {
    const Handle late = weak.lock();
    if (!error && late) End(late, late->check ? ClientResult::Outcome::kCut : ClientResult::Outcome::kFailed);
  });
  Try(exchange);
}

void Clients::Try(const Handle& exchange) {
  const std::string address =
      exchange->request.front_address.empty() ? ingress_->Next() : exchange->request.front_address;
  if (address.empty()) return TryLater(exchange, kRetryPause);
  ++figures_.tries;
  ++exchange->tries;
  exchange->attempt_id = Hex(++next_id_);
  exchange->connected = false;
  exchange->check.reset();
  Connect(exchange, address);
}

void Clients::TryLater(const Handle& exchange, Time pause) {
  exchange->timer.expires_after(std::chrono::microseconds(pause));
  exchange->timer.async_wait([this, weak = std::weak_ptr(exchange)](std::error_code error) {
    const Handle waiting = weak.lock();
    if (!error && waiting && !waiting->over) Try(waiting);
  });
}

void Clients::Connect(const Handle& exchange, const std::string& address) {
  exchange->connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(loop_->io()), HttpConnection::Side::kClient);
  const std::weak_ptr<Exchange> weak = exchange;
  const auto with = [weak](auto act) {
    return [weak, act](const auto&... arguments) {
      const Handle alive = weak.lock();
      if (alive && !alive->over) act(alive, arguments...);
    };
  };
  HttpConnection::Events events;
  events.on_head = with([this](const Handle& alive, const HttpMessage& head) { Head(alive, head); });
  events.on_body_chunk = with([](const Handle& alive, std::string_view bytes) {
    if (alive->check) alive->check->Feed(bytes);
  });
  events.on_message = with([this](const Handle& alive, const HttpMessage& answer) { Whole(alive, answer); });
  events.on_end = with([this](const Handle& alive, HttpConnection::End) { Broke(alive); });
  exchange->connection->SetEvents(std::move(events));
  exchange->connection->Connect(EndpointOf(address), with([this](const Handle& alive, std::error_code error) {
                                  if (error) return Broke(alive);
                                  alive->connected = true;
                                  alive->connection->Start();
                                  Write(alive);
                                }));
}

void Clients::Write(const Handle& exchange) {
  const ClientRequest& request = exchange->request;
  const Time left = std::max<Time>(exchange->answer_by - loop_->Now(), kMillisecond);
  Headers headers = {{wire::kAttemptId, exchange->attempt_id},
                     {wire::kDeadline, std::to_string(left / kMillisecond)},
                     {wire::kModel, request.model},
                     {wire::kTokenCount, "40," + std::to_string(request.events)},
                     {wire::kPromptPrefix, "5c1e07a2:30," + exchange->attempt_id.substr(8) + ":10"}};
  if (!request.key.empty()) headers.emplace_back(wire::kAuthorization, wire::kBearer + request.key);
  if (exchange->last_event > 0)
    headers.emplace_back(wire::kLastEventId, std::to_string(exchange->last_event));
  exchange->connection->Send(FormatRequest("POST", request.path, kHost, headers, "{}"));
}

void Clients::Head(const Handle& exchange, const HttpMessage& head) {
  exchange->result.status = head.status;
  if (head.status != 200) return;
  exchange->result.runner_stamp = HeaderOf(head, wire::kRunnerStamp);
  exchange->check =
      std::make_unique<AnswerCheck>(exchange->stream(), exchange->attempt_id, exchange->last_event);
  if (HeaderOf(head, wire::kAttemptId) != exchange->attempt_id)
    ledger_->Broken("a response has an attempt id other than " + exchange->attempt_id);
  if (!exchange->result.runner_stamp.ends_with("." + exchange->attempt_id))
    ledger_->Broken("a response to attempt " + exchange->attempt_id + " has the stamp \"" +
                    exchange->result.runner_stamp + "\"");
}

void Clients::Whole(const Handle& exchange, const HttpMessage& answer) {
  using Outcome = ClientResult::Outcome;
  if (exchange->check) {
    if (!exchange->check->problem().empty())
      ledger_->Broken("attempt " + exchange->attempt_id + ": " + exchange->check->problem());
    if (exchange->check->last_item() != exchange->request.events)
      ledger_->Broken("attempt " + exchange->attempt_id + " completed with last item " +
                      std::to_string(exchange->check->last_item()));
    return End(exchange, Outcome::kServed);
  }
  const bool may_repeat = IsPromise(answer.status) || exchange->request.kind == ClientKind::kPlain;
  const bool again = may_repeat && !IsFinal(answer.status) && exchange->tries < kMaxTries;
  if (!again) return End(exchange, IsPromise(answer.status) ? Outcome::kRefused : Outcome::kFailed);
  exchange->connection->Close();
  TryLater(exchange, exchange->request.impatient ? 0 : kRetryPause);
}

// The connection ended without a complete response.
void Clients::Broke(const Handle& exchange) {
  using Outcome = ClientResult::Outcome;
  exchange->connection->Close();
  const bool cut = exchange->check != nullptr;
  if (cut) exchange->last_event = exchange->stream() ? exchange->check->last_item() : 0;
  const bool not_read = !exchange->connected;
  const bool may_repeat = not_read || exchange->request.kind != ClientKind::kStream;
  if (!may_repeat || exchange->tries >= kMaxTries)
    return End(exchange, cut ? Outcome::kCut : Outcome::kFailed);
  if (cut) ++figures_.resumed;
  TryLater(exchange, exchange->request.impatient ? 0 : kRetryPause);
}

void Clients::End(const Handle& exchange, ClientResult::Outcome outcome) {
  using Outcome = ClientResult::Outcome;
  if (std::exchange(exchange->over, true)) return;
  exchange->timer.cancel();
  exchange->alarm.cancel();
  if (exchange->connection) exchange->connection->Close();
  exchange->result.outcome = outcome;
  (outcome == Outcome::kServed    ? figures_.served
   : outcome == Outcome::kRefused ? figures_.refused
   : outcome == Outcome::kCut     ? figures_.cut
                                  : figures_.failed)++;
  const Handle kept = exchange;  // the set may own the last reference
  in_flight_.erase(kept);
  if (kept->done) kept->done(kept->result);
}

}  // namespace lichenlug::standins

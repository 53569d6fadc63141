#include "lab/system/persistent_client.h"

#include <cstdio>
#include <utility>

#include "lab/system/http_call.h"
#include "lab/system/sample.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {
namespace {

// A request sent while the dispatcher closes the connection may end without a response if no runner has
// started it and the connection ends within this time after the last byte was sent.
constexpr Time kCloseRaceWindow = 200 * kMillisecond;
constexpr Time kLossDetectionLimit = 500 * kMillisecond;  // until its connections break after a kill
constexpr Time kReconnectDelay = 50 * kMillisecond;
constexpr Time kMaxSendDelay = 150 * kMillisecond;  // between requests
// One connection in this many goes to any dispatcher, as it does where too few are ready: a draining one gets
// new connections until it exits.
constexpr std::uint64_t kConnectionsPerStray = 4;

std::string Hex(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

FrontDirectory::FrontDirectory(std::vector<std::string> addresses) {
  for (std::string& address : addresses) fronts_.push_back({std::move(address)});
}

void FrontDirectory::MarkKilled(std::size_t index) {
  fronts_[index].open = false;
  fronts_[index].kill_pending = true;
}

void FrontDirectory::MarkLost(std::size_t index, Time now) {
  fronts_[index].kill_pending = false;
  fronts_[index].lost_at = now;
}

PersistentClient::PersistentClient(Loop* loop, FrontDirectory* fronts, Ledger* ledger,
                                   PersistentClientFigures* figures, std::vector<ClientRequest> requests,
                                   std::uint64_t seed)
    : loop_(loop),
      fronts_(fronts),
      ledger_(ledger),
      figures_(figures),
      requests_(std::move(requests)),
      random_(seed),
      delay_timer_(loop->io()) {}

PersistentClient::~PersistentClient() {
  if (connection_) connection_->Close();
}

void PersistentClient::Start() { Connect(); }
void PersistentClient::Stop() { stopped_ = true; }

std::size_t PersistentClient::PickFront() {
  std::vector<std::size_t> open;
  for (std::size_t index = 0; index < fronts_->size(); ++index)
    if (fronts_->front(index).open) open.push_back(index);
  const bool is_stray = random_() % kConnectionsPerStray == 0;
  return open.empty() || is_stray ? random_() % fronts_->size() : open[random_() % open.size()];
}

void PersistentClient::Connect() {
  if (stopped_) return;
  front_ = PickFront();
  if (connection_) connection_->Close();
  connection_ =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(loop_->io()), HttpConnection::Side::kClient);
  const auto if_alive = [weak = std::weak_ptr(alive_)](auto act) {
    return [weak, act](const auto&... arguments) {
      if (!weak.expired()) act(arguments...);
    };
  };
  HttpConnection::Events events;
  events.on_head = if_alive([this](const HttpMessage& head) {
    if (head.status == 200) check_ = std::make_unique<AnswerCheck>(stream_, attempt_id_, 0);
  });
  events.on_body_chunk = if_alive([this](std::string_view bytes) {
    if (check_) check_->Feed(bytes);
  });
  events.on_message = if_alive([this](const HttpMessage& answer) { OnResponse(answer); });
  events.on_end = if_alive([this](HttpConnection::End) { OnDisconnect(); });
  connection_->SetEvents(std::move(events));
  connection_->Connect(EndpointOf(fronts_->front(front_).address), if_alive([this](std::error_code error) {
                         if (error) return OnDisconnect();
                         connected_at_ = loop_->Now();
                         connection_->Start();
                         ScheduleSend();
                       }));
}

void PersistentClient::ScheduleSend() {
  const auto delay = static_cast<Time>(random_() % static_cast<std::uint64_t>(kMaxSendDelay));
  delay_timer_.expires_after(std::chrono::microseconds(delay));
  delay_timer_.async_wait([this, weak = std::weak_ptr(alive_)](std::error_code error) {
    if (!error && !weak.expired() && !stopped_ && connection_->socket().is_open()) Send();
  });
}

void PersistentClient::Send() {
  const ClientRequest& request = requests_[random_() % requests_.size()];
  attempt_id_ = Hex(random_());
  stream_ = request.kind != ClientKind::kPlain;
  items_ = request.events;
  check_.reset();
  Headers headers = {{wire::kAttemptId, attempt_id_},
                     {wire::kDeadline, std::to_string(request.deadline / kMillisecond)},
                     {wire::kModel, request.model},
                     {wire::kTokenCount, "40," + std::to_string(request.events)},
                     {wire::kPromptPrefix, "5c1e07a2:30," + attempt_id_.substr(8) + ":10"},
                     {wire::kAuthorization, wire::kBearer + request.key}};
  in_flight_ = true;
  sent_at_ = loop_->Now();
  ++figures_->sent;
  connection_->Send(FormatRequest("POST", request.path, sample::kHost, headers, "{}"));
}

void PersistentClient::OnResponse(const HttpMessage& answer) {
  if (!in_flight_) return ledger_->RecordViolation("a response on a connection without a request in flight");
  in_flight_ = false;
  const bool refused = answer.status == 503 || answer.status == 429;
  if (answer.status == 200) {
    ++figures_->served;
    if (check_ && !check_->problem().empty())
      ledger_->RecordViolation("attempt " + attempt_id_ + ": " + check_->problem());
    if (check_ && !check_->IsComplete(items_))
      ledger_->RecordViolation("attempt " + attempt_id_ + " completed with last item " +
                               std::to_string(check_->last_item()) + " of " + std::to_string(items_));
  } else if (refused) {
    ++figures_->refused;
    if (ledger_->HasStarted(attempt_id_))
      ledger_->RecordViolation("attempt " + attempt_id_ + " was refused but has run");
  } else {
    ++figures_->failed;
    if (answer.status >= 400 && answer.status < 500)
      ledger_->RecordViolation("attempt " + attempt_id_ + " is valid but was answered with " +
                               std::to_string(answer.status));
  }
  check_.reset();
  if (stopped_) return;
  if (!answer.keep_alive) return Connect();
  connection_->Next();
  ScheduleSend();
}

void PersistentClient::OnDisconnect() {
  if (std::exchange(in_flight_, false)) CheckInterruption();
  check_.reset();
  delay_timer_.expires_after(std::chrono::microseconds(kReconnectDelay));
  delay_timer_.async_wait([this, weak = std::weak_ptr(alive_)](std::error_code error) {
    if (!error && !weak.expired()) Connect();
  });
}

bool PersistentClient::WasLostWithDispatcher() const {
  if (fronts_->front(front_).kill_pending) return true;
  const Time lost_at = fronts_->front(front_).lost_at;
  return lost_at >= connected_at_ && loop_->Now() - lost_at <= kLossDetectionLimit;
}

void PersistentClient::CheckInterruption() {
  if (WasLostWithDispatcher()) {
    ++figures_->lost_with_dispatcher;
    return;
  }
  if (ledger_->RunnerHasCrashed(attempt_id_)) {
    ++figures_->lost_with_runner;
    return;
  }
  const Time elapsed = loop_->Now() - sent_at_;
  const bool started = ledger_->HasStarted(attempt_id_) || check_ != nullptr;
  if (!started && elapsed <= kCloseRaceWindow) {
    ++figures_->raced_with_close;
    return;
  }
  ledger_->RecordViolation("LOST: attempt " + attempt_id_ + " at " + fronts_->front(front_).address +
                           " ended without a complete response " + std::to_string(elapsed / kMillisecond) +
                           " ms after it was sent" + (started ? ", after it had started to run" : ""));
}

}  // namespace lichenlug::standins

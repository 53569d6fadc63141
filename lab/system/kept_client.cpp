#include "lab/system/kept_client.h"

#include <cstdio>
#include <utility>

#include "lab/system/http_call.h"
#include "lab/system/sample.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {
namespace {

// A request sent while the dispatcher closes the connection may end without a response if no runner has
// started it and the connection ends within this time after the last byte was sent.
constexpr Time kCrossingSlack = 200 * kMillisecond;
constexpr Time kLossNoticedWithin = 500 * kMillisecond;  // until its connections break after a kill
constexpr Time kReconnectAfter = 50 * kMillisecond;
constexpr Time kLongestPause = 150 * kMillisecond;  // between requests

std::string Hex(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

FrontDirectory::FrontDirectory(std::vector<std::string> addresses) {
  for (std::string& address : addresses) fronts_.push_back({std::move(address)});
}

void FrontDirectory::Kill(std::size_t index) {
  fronts_[index].open = false;
  fronts_[index].dying = true;
}

void FrontDirectory::Lose(std::size_t index, Time now) {
  fronts_[index].dying = false;
  fronts_[index].lost_at = now;
}

KeptClient::KeptClient(Loop* loop, FrontDirectory* fronts, Ledger* ledger, KeptClientFigures* figures,
                       std::vector<ClientRequest> requests, std::uint64_t seed)
    : loop_(loop),
      fronts_(fronts),
      ledger_(ledger),
      figures_(figures),
      requests_(std::move(requests)),
      random_(seed),
      pause_(loop->io()) {}

KeptClient::~KeptClient() {
  if (connection_) connection_->Close();
}

void KeptClient::Start() { Connect(); }
void KeptClient::Stop() { stopped_ = true; }

std::size_t KeptClient::DrawFront() {
  std::vector<std::size_t> open;
  for (std::size_t index = 0; index < fronts_->size(); ++index)
    if (fronts_->front(index).open) open.push_back(index);
  return open.empty() ? random_() % fronts_->size() : open[random_() % open.size()];
}

void KeptClient::Connect() {
  if (stopped_) return;
  front_ = DrawFront();
  if (connection_) connection_->Close();
  connection_ =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(loop_->io()), HttpConnection::Side::kClient);
  const auto with = [weak = std::weak_ptr(alive_)](auto act) {
    return [weak, act](const auto&... arguments) {
      if (!weak.expired()) act(arguments...);
    };
  };
  HttpConnection::Events events;
  events.on_head = with([this](const HttpMessage& head) {
    if (head.status == 200) check_ = std::make_unique<AnswerCheck>(events_ > 0, attempt_id_, 0);
  });
  events.on_body_chunk = with([this](std::string_view bytes) {
    if (check_) check_->Feed(bytes);
  });
  events.on_message = with([this](const HttpMessage& answer) { Answered(answer); });
  events.on_end = with([this](HttpConnection::End) { Ended(); });
  connection_->SetEvents(std::move(events));
  connection_->Connect(EndpointOf(fronts_->front(front_).address), with([this](std::error_code error) {
                         if (error) return Ended();
                         connected_at_ = loop_->Now();
                         connection_->Start();
                         SendLater();
                       }));
}

void KeptClient::SendLater() {
  const auto pause = static_cast<Time>(random_() % static_cast<std::uint64_t>(kLongestPause));
  pause_.expires_after(std::chrono::microseconds(pause));
  pause_.async_wait([this, weak = std::weak_ptr(alive_)](std::error_code error) {
    if (!error && !weak.expired() && !stopped_ && connection_->socket().is_open()) Send();
  });
}

void KeptClient::Send() {
  const ClientRequest& request = requests_[random_() % requests_.size()];
  attempt_id_ = Hex(random_());
  events_ = request.kind == ClientKind::kPlain ? 0 : request.events;
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

void KeptClient::Answered(const HttpMessage& answer) {
  if (!in_flight_) return ledger_->Broken("a response on a connection without a request in flight");
  in_flight_ = false;
  const bool promised = answer.status == 503 || answer.status == 429;
  if (answer.status == 200) {
    ++figures_->served;
    if (check_ && !check_->problem().empty())
      ledger_->Broken("attempt " + attempt_id_ + ": " + check_->problem());
  } else if (promised) {
    ++figures_->refused;
    if (ledger_->HasBegun(attempt_id_))
      ledger_->Broken("attempt " + attempt_id_ + " was refused but has run");
  } else {
    ++figures_->failed;
    if (answer.status >= 400 && answer.status < 500)
      ledger_->Broken("attempt " + attempt_id_ + " is valid but was answered with " +
                      std::to_string(answer.status));
  }
  check_.reset();
  if (stopped_) return;
  if (!answer.keep_alive) return Connect();
  connection_->Next();
  SendLater();
}

void KeptClient::Ended() {
  if (std::exchange(in_flight_, false)) JudgeCut();
  check_.reset();
  pause_.expires_after(std::chrono::microseconds(kReconnectAfter));
  pause_.async_wait([this, weak = std::weak_ptr(alive_)](std::error_code error) {
    if (!error && !weak.expired()) Connect();
  });
}

bool KeptClient::LostWithDispatcher() const {
  if (fronts_->front(front_).dying) return true;
  const Time lost_at = fronts_->front(front_).lost_at;
  return lost_at >= connected_at_ && loop_->Now() - lost_at <= kLossNoticedWithin;
}

void KeptClient::JudgeCut() {
  if (LostWithDispatcher()) {
    ++figures_->lost_with_dispatcher;
    return;
  }
  if (ledger_->RunnerHasCrashed(attempt_id_)) {
    ++figures_->lost_with_runner;
    return;
  }
  const Time since = loop_->Now() - sent_at_;
  const bool begun = ledger_->HasBegun(attempt_id_) || check_ != nullptr;
  if (!begun && since <= kCrossingSlack) {
    ++figures_->crossed;
    return;
  }
  ledger_->Broken("LOST: attempt " + attempt_id_ + " at " + fronts_->front(front_).address +
                  " ended without a complete response " + std::to_string(since / kMillisecond) +
                  " ms after it was sent" + (begun ? ", after it had started to run" : ""));
}

}  // namespace lichenlug::standins

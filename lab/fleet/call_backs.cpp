#include "lab/fleet/call_backs.h"

#include <nlohmann/json.hpp>

namespace lichenlug::lab {
namespace {

constexpr int kMostTries = 10;  // of one word
constexpr Time kTryAgain = 200 * kMillisecond;
constexpr Time kPatience = kSecond;

std::string Post(const std::string& text) {
  return FormatRequest("POST", "/callback", "dispatcher", {}, text);
}

}  // namespace

CallBacks::CallBacks(asio::io_context& io, Deadlines* deadlines, const CallBackFaults& faults,
                     std::uint64_t seed, int boxes, int dispatchers, Jobs* jobs, Address address, Holds holds)
    : io_(io),
      deadlines_(deadlines),
      faults_(faults),
      boxes_(boxes),
      dispatchers_(dispatchers),
      jobs_(jobs),
      address_(std::move(address)),
      holds_(std::move(holds)),
      random_(seed, 45),
      ways_(static_cast<std::size_t>(boxes) * dispatchers) {}

CallBacks::~CallBacks() { *alive_ = false; }

// ---- Each word in its turn ----

void CallBacks::Tell(int b, int n, const std::string& call_id, const nlohmann::json& word) {
  Way& way = Of(b, n);
  way.due.push_back({word.dump(), call_id, 0});
  if (!way.busy) Next(b, n);
}

void CallBacks::Next(int b, int n) {
  Way& way = Of(b, n);
  way.busy = !way.due.empty();
  if (!way.busy) return;
  if (way.connection != nullptr) {
    way.connection->Next();
    return Send(b, n);
  }
  const auto fresh = way.connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  HttpConnection::Events events;
  events.on_message = [this, alive = alive_, b, n](const HttpMessage& answer) {
    if (!*alive) return;
    Way& told = Of(b, n);
    if (!answer.keep_alive) told.connection->Close(), told.connection = nullptr;
    Answered(b, n, answer.status);
  };
  events.on_end = [this, alive = alive_, b, n](HttpConnection::End) {
    if (*alive) Failed(b, n);
  };
  fresh->SetEvents(std::move(events));
  fresh->Connect(address_(b, n), [this, alive = alive_, b, n, fresh](std::error_code error) {
    if (!*alive || Of(b, n).connection != fresh) return;
    if (error) return Failed(b, n);
    fresh->Start();
    Send(b, n);
  });
}

void CallBacks::Send(int b, int n) {
  Way& way = Of(b, n);
  const auto connection = way.connection;
  connection->Write(Post(way.due.front().text), [](std::error_code) {});
  const auto late = [this, alive = alive_, b, n, connection, text = way.due.front().text,
                     tries = way.due.front().tries] {
    if (!*alive) return;
    const Way& now = Of(b, n);
    if (now.connection == connection && !now.due.empty() && now.due.front().text == text &&
        now.due.front().tries == tries)
      Failed(b, n);
  };
  deadlines_->Add(deadlines_->Now() + kPatience, late);
}

void CallBacks::Answered(int b, int n, int status) {
  jobs_->checker().CallBackAnswered(deadlines_->Now(), n, b, status);
  if (status != 200 && status != 204) return Failed(b, n);
  Way& way = Of(b, n);
  ++figures_.told;
  const Word word = std::move(way.due.front());
  way.due.pop_front();
  if (random_.Chance(faults_.twice)) {
    ++figures_.twice;
    Stray(b, n, static_cast<Time>(random_.Between(0, 0.3) * kSecond), word.call_id, word.text);
  }
  Next(b, n);
}

void CallBacks::Failed(int b, int n) {
  Way& way = Of(b, n);
  if (way.connection != nullptr) way.connection->Close();
  way.connection = nullptr;
  if (way.due.empty()) return void(way.busy = false);
  if (++way.due.front().tries >= kMostTries) way.due.pop_front(), ++figures_.lost;
  way.busy = true;
  deadlines_->Add(deadlines_->Now() + kTryAgain, [this, alive = alive_, b, n] {
    if (*alive) Next(b, n);
  });
}

// ---- Words that no well-behaved box would send ----

Time CallBacks::Taken(int b, const Jobs::Job& job, const std::string& call_id) {
  const bool early = random_.Chance(faults_.early), wrong = random_.Chance(faults_.wrong),
             unknown = random_.Chance(faults_.unknown);
  if (wrong) ClaimFalsely(b, job, call_id);
  if (unknown) {
    ++figures_.unknown;
    // All ids of a play begin alike; none of its clients gets so far.
    const std::string id = call_id.substr(0, 8) + "fffffff" + "0123456789abcdef"[random_.Below(16)];
    SendStray(
        b, job.dispatcher,
        nlohmann::json{{"id", id}, {"from", BoxName(b)}, {"state", "done"}, {"result", "of no job at all"}}
            .dump());
  }
  if (early) ++figures_.early;
  return early ? static_cast<Time>(random_.Between(0.03, 0.15) * kSecond) : 0;
}

void CallBacks::ClaimFalsely(int b, const Jobs::Job& given, const std::string& call_id) {
  const int other = (b + 1 + static_cast<int>(random_.Below(boxes_ - 1))) % boxes_;
  Jobs::Job* job = jobs_->Find(given.spec.number);
  const Time now = deadlines_->Now();
  if (boxes_ < 2 || holds_(other, call_id) || !jobs_->ClearTo(*job, b, now) || job->attempts > 1) return;
  ++figures_.wrong;
  nlohmann::json word = {{"id", call_id}, {"from", BoxName(other)}};
  static constexpr const char* kStates[] = {"done", "failed", "lost"};
  word["state"] = kStates[random_.Below(3)];
  job->named_box = other, job->misled_at = now;
  if (word["state"] == "done") word["result"] = job->false_result = call_id + " claimed by " + BoxName(other);
  jobs_->Trace(now, job->spec.number, "is claimed falsely for " + BoxName(other) + ": " + word.dump());
  SendStray(b, job->dispatcher, word.dump());
}

void CallBacks::GivenUp(int b, Jobs::Job* job, const std::string& call_id) {
  if (!random_.Chance(faults_.late)) return;
  ++figures_.late;
  nlohmann::json word = {{"id", call_id}, {"from", BoxName(b)}};
  static constexpr const char* kStates[] = {"done", "failed", "lost", "done"};
  word["state"] = kStates[random_.Below(4)];
  // It ran to its end all the same: what it made is as good as any.
  if (word["state"] == "done") word["result"] = job->results.emplace_back(call_id + " late by " + BoxName(b));
  Stray(b, job->dispatcher, static_cast<Time>(random_.Between(0.02, 0.8) * kSecond), call_id, word.dump());
}

void CallBacks::Stray(int b, int n, Time wait, const std::string& call_id, std::string text) {
  deadlines_->Add(deadlines_->Now() + wait, [this, alive = alive_, b, n, call_id, text = std::move(text)] {
    if (*alive && !holds_(b, call_id)) SendStray(b, n, text);
  });
}

void CallBacks::SendStray(int b, int n, const std::string& text) {
  auto connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  const std::weak_ptr<HttpConnection> weak = connection;
  HttpConnection::Events events;
  events.on_message = [this, alive = alive_, b, n, weak](const HttpMessage& answer) {
    if (*alive) jobs_->checker().CallBackAnswered(deadlines_->Now(), n, b, answer.status);
    if (const auto self = weak.lock()) self->Close();
  };
  events.on_end = [weak](HttpConnection::End) {
    if (const auto self = weak.lock()) self->Close();
  };
  connection->SetEvents(std::move(events));
  connection->Connect(address_(b, n), [connection, text](std::error_code error) {
    if (error) return connection->Close();
    connection->Start();
    connection->Write(Post(text), [](std::error_code) {});
  });
}

}  // namespace lichenlug::lab

// One request of a client from its arrival to the end of its answer: the attempts at runners that the
// decision module asks for, and the answer that comes of them.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/answer_sink.h"
#include "dataplane/attempt.h"
#include "dataplane/context.h"
#include "dataplane/event_stream.h"
#include "dataplane/request.h"
#include "routing/decisions.h"
#include "routing/router.h"

namespace lichenlug::dataplane {

class ExchangeTable;

inline constexpr std::size_t kMaxHeldEvent = 1u << 20;  // of an event, until it is whole

class Exchange : public AttemptOwner, public std::enable_shared_from_this<Exchange> {
 public:
  struct Origin {
    routing::RequestNumber number = 0;
    Request request;
    routing::RouteMatch match;
    std::shared_ptr<const routing::Router> router;  // what `match` points into
    std::string service;
    Time arrived = 0, deadline = 0;
    bool came_back = false;      // its client was refused before, as far as can be told
    Time since_first_try = 0;    // as far as can be told
    AnswerSink* sink = nullptr;  // until the exchange has ended
  };

  Exchange(Origin origin, Context* context, RunnerPool* runners, ExchangeTable* table);
  ~Exchange() override;

  routing::Arrival ToArrival() const;
  std::size_t body_size() const { return request_->message.body.size(); }

  // Decisions.
  void StartAttempt(const routing::StartAttempt& decision);
  void CancelAttempt(int number);
  void Refuse(Time retry_after);
  void Fail();

  // The client.
  void ClientGone();
  void ClientDrained();
  void EndIfUnsent();  // the process ends: refused, unless a runner may have it

  void AnswerCame(Attempt& attempt, HttpMessage answer) override;
  void StreamBegan(Attempt& attempt, const HttpMessage& head, bool events) override;
  void StreamBytes(Attempt& attempt, std::string_view bytes) override;
  void StreamEnded(Attempt& attempt) override;
  void AttemptFailed(Attempt& attempt, routing::AttemptOutcome outcome) override;
  void RunnerUnreachable(Attempt& attempt) override;

 private:
  void DeadlineCame();
  void TakeBack(const Attempt& attempt);
  void SuspectedFailed();
  bool Late() const;
  bool MayStillGo();
  bool Resumable() const;
  void PassEvents(std::string_view bytes, std::string* out, bool* first);
  void SendStream(const Attempt& attempt, std::string_view bytes);
  void CountStart(const Attempt& attempt);
  std::shared_ptr<Attempt> Remove(const Attempt& attempt);
  void StopOthers(const Attempt& attempt);
  struct OwnAnswer {  // and what it is for where the head of another one has gone
    int status = 503;
    std::string_view line;
    std::optional<Time> retry_after;
    CutReason reason = CutReason::kNoOtherRunner;
  };
  void AnswerOwn(OwnAnswer answer);
  void Cut(CutReason reason);
  bool IsServerError(int status) const;
  void ServerErrorCame(Attempt& attempt, HttpMessage answer);
  void PassAnswer(HttpMessage answer);
  void Leave();  // the last thing: the table forgets it

  const routing::RequestNumber number_;
  const std::shared_ptr<const Request> request_;
  const routing::RouteMatch match_;
  const std::shared_ptr<const routing::Router> router_;
  const std::string service_;
  const Time arrived_, deadline_;
  const bool came_back_;
  const Time since_first_try_;
  AnswerSink* sink_;
  Context* const context_;
  RunnerPool* const runners_;
  ExchangeTable* const table_;

  std::vector<std::shared_ptr<Attempt>> attempts_;
  // One whose runner's machine does not answer. The decision module counts it as broken and looks for another
  // runner; it is kept until that one has begun to answer, for silence is no proof that its own answer will
  // not come.
  std::shared_ptr<Attempt> suspected_;
  std::optional<OwnAnswer> after_suspected_;  // decided already; due if the suspected attempt fails
  std::optional<HttpMessage> server_error_;   // of the last attempt; due if no other runner does better
  bool decided_ = false;                      // the decision module has closed the request
  Deadlines::Key alarm_;
  int started_ = 0;                // attempts
  std::string last_runner_;        // of the last attempt
  std::string_view last_failure_;  // how it ended; empty: it has not
  bool may_have_run_ = false;      // at a runner that has not answered
  bool counted_ = false;           // it has begun to run

  // Of a stream, and of an answer that goes on as it comes.
  const Attempt* streaming_ = nullptr;  // the one whose bytes go on
  HttpMessage stream_head_;             // of the first runner
  bool head_sent_ = false, events_mode_ = true, chunked_ = true;
  EventStream events_;
  std::optional<std::uint64_t> last_id_;  // of the events that went on
  std::string prelude_;                   // comments before the first event
};

}  // namespace lichenlug::dataplane

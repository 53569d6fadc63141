// One client request from its arrival to the end of its response: runs the attempts at runners that the
// decision module requests, and forwards the resulting response.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/attempt.h"
#include "dataplane/context.h"
#include "dataplane/event_stream.h"
#include "dataplane/request.h"
#include "dataplane/response_sink.h"
#include "routing/decisions.h"
#include "routing/router.h"

namespace lichenlug::dataplane {

class ExchangeTable;

inline constexpr std::size_t kMaxEventBytes = 1u << 20;  // size limit of an incomplete event

class Exchange : public AttemptOwner, public std::enable_shared_from_this<Exchange> {
 public:
  struct Params {
    routing::RequestNumber number = 0;
    Request request;
    routing::RouteMatch match;
    std::shared_ptr<const routing::Router> router;  // owns what `match` points to
    std::string service;
    Time arrived = 0, deadline = 0;
    bool is_retry = false;         // estimate: the client was refused before
    Time since_first_try = 0;      // estimate
    ResponseSink* sink = nullptr;  // valid until the exchange ends
  };

  Exchange(Params params, Context* context, RunnerPool* runners, ExchangeTable* table);
  ~Exchange() override;

  routing::Arrival ToArrival() const;

  // Called to execute decisions of the decision module.
  void StartAttempt(const routing::StartAttempt& decision);
  void CancelAttempt(int number);
  void Refuse(const routing::Refuse& decision);
  void Fail();

  // Events of the client connection and of the process.
  void OnClientDisconnect();
  void OnClientWritable();
  void RefuseIfUnsent();  // at shutdown: refuses the request unless a runner may have received it
  void EndAtShutdown();   // gives the final answer now, as the process is about to exit

  void OnResponse(Attempt& attempt, HttpMessage response) override;
  void OnStreamBegin(Attempt& attempt, const HttpMessage& head, bool events) override;
  void OnStreamBytes(Attempt& attempt, std::string_view bytes) override;
  void OnStreamEnd(Attempt& attempt, StreamEnd end) override;
  void OnAttemptFailed(Attempt& attempt, routing::AttemptOutcome outcome) override;
  void OnRunnerUnreachable(Attempt& attempt) override;

 private:
  void OnDeadline();
  bool StopAttempts();  // returns whether a runner may have run the request
  void ResumeSuspected(const Attempt& attempt);
  void OnSuspectedFailed();
  bool NearDeadline() const;
  bool StillRoutable();
  bool Resumable() const;
  void AppendNewEvents(std::string_view bytes, std::string* out, bool* first);
  void SendStream(const Attempt& attempt, std::string_view bytes);
  void RecordStart(const Attempt& attempt);
  std::shared_ptr<Attempt> RemoveAttempt(const Attempt& attempt);
  void StopOtherAttempts(const Attempt& attempt);
  struct LocalResponse {  // `reason` applies if a response head was already sent
    int status = 503;
    std::string_view line;
    std::optional<Time> retry_after;
    CutReason reason = CutReason::kNoOtherRunner;
  };
  void FinishWith(LocalResponse response);
  void Truncate(CutReason reason);
  bool IsServerError(int status) const;
  void OnServerError(Attempt& attempt, HttpMessage response);
  void ForwardResponse(HttpMessage response);
  void EndExchange();  // the final step: removes the exchange from the table

  const routing::RequestNumber number_;
  const std::shared_ptr<const Request> request_;
  const routing::RouteMatch match_;
  const std::shared_ptr<const routing::Router> router_;
  const std::string service_;
  const Time arrived_, deadline_;
  const bool is_retry_;
  const Time since_first_try_;
  ResponseSink* sink_;
  Context* const context_;
  RunnerPool* const runners_;
  ExchangeTable* const table_;

  std::vector<std::shared_ptr<Attempt>> attempts_;
  // An attempt whose runner's machine does not respond. The decision module counts it as broken and selects
  // another runner. It is kept until that runner starts to respond, because silence does not prove that its
  // own response will not arrive.
  std::shared_ptr<Attempt> suspected_;
  std::optional<LocalResponse> response_after_suspected_;  // sent if the suspected attempt fails
  std::optional<HttpMessage> server_error_;  // of the last attempt; sent if no other runner succeeds
  bool decisions_closed_ = false;            // the decision module has finished with the request
  Deadlines::Key deadline_timer_;
  int attempts_started_ = 0;       // number of attempts
  std::string last_runner_;        // of the last attempt
  std::string_view last_failure_;  // how the last attempt ended; empty: it has not ended
  bool may_have_run_ = false;      // at a runner that did not respond
  bool counted_ = false;           // has begun to run and was counted as usage

  // State of a stream, or of a large response that is forwarded as it arrives.
  const Attempt* streaming_ = nullptr;  // the attempt whose bytes are forwarded
  HttpMessage stream_head_;             // from the first runner
  bool head_sent_ = false, is_event_stream_ = true, chunked_ = true;
  EventStream events_;
  std::optional<std::uint64_t> last_id_;  // of the forwarded events
  std::string prelude_;                   // comments before the first event
};

}  // namespace lichenlug::dataplane

// One attempt to run a request at one runner: reuses or opens a connection, sends the request and classifies
// the response. Reports to its owner a complete response, the begin and end of a stream, or a failure.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "dataplane/context.h"
#include "dataplane/request.h"
#include "dataplane/runner_pool.h"
#include "routing/decisions.h"

namespace lichenlug::dataplane {

class Attempt;

// What ended a stream.
enum class StreamEnd {
  kFraming,     // its length or its last chunk: the runner has sent all of it
  kConnection,  // it had neither, and its connection was closed: the runner may have finished or failed
};

// The last call to an owner is one of OnResponse, OnStreamEnd and OnAttemptFailed. The owner may release the
// attempt within any call.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  virtual void OnResponse(Attempt& attempt, HttpMessage response) = 0;  // complete
  // An event stream, or a response too large to be buffered: its bytes follow.
  virtual void OnStreamBegin(Attempt& attempt, const HttpMessage& head, bool events) = 0;
  virtual void OnStreamBytes(Attempt& attempt, std::string_view bytes) = 0;
  virtual void OnStreamEnd(Attempt& attempt, StreamEnd end) = 0;
  virtual void OnAttemptFailed(Attempt& attempt, routing::AttemptOutcome outcome) = 0;
  // The runner's machine does not respond while the attempt waits for it. This is only a suspicion and not
  // the last call: the attempt continues until its owner stops it.
  virtual void OnRunnerUnreachable(Attempt& attempt) = 0;
};

class Attempt : public RunnerConnectionUser, public std::enable_shared_from_this<Attempt> {
 public:
  struct Settings {
    int number = 0;
    std::string runner_id, address;
    int priority = 5;
    std::string tenant;         // empty: anonymous
    std::string last_event_id;  // the event after which a stream is resumed; empty: not resumed
    bool expects_events = false;
    bool watch_runner = false;  // report a runner whose machine does not respond
    Time deadline = 0;
  };

  Attempt(Settings settings, std::shared_ptr<const Request> request, RunnerPool* pool, Context* context,
          AttemptOwner* owner);
  ~Attempt() override;

  void Start();  // may report a failure before it returns
  void Stop();   // makes no further calls to the owner; closes the connection if a response is outstanding
  void PauseReading(bool pause);

  int number() const { return settings_.number; }
  const std::string& runner_id() const { return settings_.runner_id; }
  bool sent() const { return sent_; }  // some bytes of the request may have been sent

  void OnHead(const HttpMessage& head) override;
  void OnBodyChunk(std::string_view piece) override;
  void OnMessage(HttpMessage message) override;
  void OnConnectionEnd(HttpConnection::End end) override;

 private:
  enum class Stage { kConnecting, kSent, kReceiving, kStreaming, kDone };
  enum class ResponseClass { kResponse, kEventStream, kNotRun, kBroken };

  void SendRequest();
  void WatchRunner();
  ResponseClass Classify(const HttpMessage& head) const;
  routing::AttemptOutcome NotRunOutcome(const HttpMessage& head) const;
  bool MayBufferMore(std::size_t bytes) const;
  void Release(const HttpMessage& response);
  void Fail(routing::AttemptOutcome outcome);

  const Settings settings_;
  const std::shared_ptr<const Request> request_;
  RunnerPool* const pool_;
  Context* const context_;
  AttemptOwner* owner_;
  RunnerPool::Connection connection_;
  std::unique_ptr<RunnerWatch::Wait> watch_;
  Stage stage_ = Stage::kConnecting;
  ResponseClass response_class_ = ResponseClass::kResponse;
  HttpMessage head_;
  std::string body_;
  ByteAccount account_;  // of the body
  bool sent_ = false;
  bool saw_other_response_ = false;  // the connection carried a response to another request
  bool skipping_ = false;            // the current message is a response to another request
};

}  // namespace lichenlug::dataplane

// One request at one runner: takes or opens a connection, sends, and judges what comes back. Tells its owner
// one of: a whole answer, a stream that begins and ends, or a failure.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "dataplane/request.h"
#include "dataplane/runner_pool.h"
#include "routing/decisions.h"

namespace lichenlug::dataplane {

class Attempt;

// The last call to an owner is one of AnswerCame, StreamEnded and AttemptFailed. The owner may drop the
// attempt in any call.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  virtual void AnswerCame(Attempt& attempt, HttpMessage answer) = 0;  // whole
  // An event stream, or an answer too large to be kept: its bytes follow.
  virtual void StreamBegan(Attempt& attempt, const HttpMessage& head, bool events) = 0;
  virtual void StreamBytes(Attempt& attempt, std::string_view bytes) = 0;
  virtual void StreamEnded(Attempt& attempt) = 0;  // whole
  virtual void AttemptFailed(Attempt& attempt, routing::AttemptOutcome outcome) = 0;
  // The runner's machine does not answer, and the attempt waits for it. A suspicion only, and not the last
  // call: the attempt goes on until its owner stops it.
  virtual void RunnerUnreachable(Attempt& attempt) = 0;
};

class Attempt : public RunnerConnectionUser, public std::enable_shared_from_this<Attempt> {
 public:
  struct Settings {
    int number = 0;
    std::string runner_id, address;
    int priority = 5;
    std::string tenant;         // empty: anonymous
    std::string last_event_id;  // where a stream is taken up again; empty: it is not
    bool expects_events = false;
    bool watches_runner = false;  // is told if the runner's machine does not answer
    Time deadline = 0;
  };

  Attempt(Settings settings, std::shared_ptr<const Request> request, RunnerPool* pool, const Deadlines* clock,
          AttemptOwner* owner);
  ~Attempt() override;

  void Start();  // may fail at once
  void Stop();   // tells nothing any more; the connection is closed where an answer is owed
  void PauseReading(bool pause);

  int number() const { return settings_.number; }
  const std::string& runner_id() const { return settings_.runner_id; }
  bool sent() const { return sent_; }  // a byte of the request may have left

  void HeadCame(const HttpMessage& head) override;
  void PieceCame(std::string_view piece) override;
  void MessageCame(HttpMessage message) override;
  void ConnectionEnded(HttpConnection::End end) override;

 private:
  enum class Stage { kConnecting, kSent, kAnswering, kStreaming, kOver };
  enum class Verdict { kAnswer, kEvents, kNotRun, kBroken };

  void Transmit();
  void WatchRunner();
  Verdict Judge(const HttpMessage& head) const;
  routing::AttemptOutcome NotRunOutcome(const HttpMessage& head) const;
  void Release(const HttpMessage& answer);
  void Fail(routing::AttemptOutcome outcome);

  const Settings settings_;
  const std::shared_ptr<const Request> request_;
  RunnerPool* const pool_;
  const Deadlines* const clock_;
  AttemptOwner* owner_;
  RunnerPool::Connection connection_;
  std::unique_ptr<RunnerWatch::Wait> watch_;
  Stage stage_ = Stage::kConnecting;
  Verdict verdict_ = Verdict::kAnswer;
  HttpMessage head_;
  std::string body_;
  bool sent_ = false;
  bool surplus_ = false;   // the connection has carried what was not asked for
  bool skipping_ = false;  // what comes now is an answer to another request
};

}  // namespace lichenlug::dataplane

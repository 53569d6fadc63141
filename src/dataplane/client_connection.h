// One client connection: reads requests one after another within the limits of the configuration, passes them
// to exchanges and writes the responses.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "dataplane/answer_sink.h"
#include "dataplane/context.h"
#include "dataplane/exchange_table.h"
#include "net/http_connection.h"

namespace lichenlug::dataplane {

class ClientConnection : public AnswerSink {
 public:
  ClientConnection(asio::ip::tcp::socket socket, Context* context, ExchangeTable* exchanges);
  ~ClientConnection() override;

  // `over` is called once, when the connection is closed. The object must outlive that call by one iteration
  // of the event loop.
  void Start(std::function<void()> over);
  void Look(Time now);  // applies the time limit of the stage; called a few times per second
  // Closes the connection gracefully if it is idle and has no unread bytes.
  bool Retire();
  void ConfigurationCame();  // serves a request that waits for the configuration
  bool idle() const { return stage_ == Stage::kIdle; }
  Time since() const { return since_; }  // when the current stage began

  void SendOwn(int status, std::string_view line, std::optional<Time> retry_after) override;
  void EndAnswer() override;
  void Abort() override;
  void SendHead(const HttpMessage& head, Framing framing, std::uint64_t length,
                std::string_view body) override;
  void SendBody(std::string_view framed) override;
  std::size_t unsent() const override { return http_->unsent(); }

 private:
  enum class Stage {
    kIdle,
    kReadingHead,
    kReadingBody,
    kAwaitingConfiguration,
    kServing,
    kSending,
    kFinishing,
    kOver
  };

  void Enter(Stage stage, Time timeout);  // 0: no time limit
  void HeadCame(const HttpMessage& head);
  void RequestCame(HttpMessage message);
  void Serve(Request request);
  void RefuseUnconfigured();
  void RefuseEnding();
  void Ended(HttpConnection::End end);
  void Drained();
  void Fault(int status, std::string_view line);  // rejects an invalid request and closes the connection
  void Answered();
  void Finish();
  void Close();
  Persistence PersistenceNow();

  Context* const context_;
  ExchangeTable* const exchanges_;
  std::function<void()> over_;
  std::shared_ptr<HttpConnection> http_;
  Stage stage_ = Stage::kIdle;
  Time since_ = 0, due_ = 0;  // begin and deadline of the current stage; 0: no deadline
  Time arrived_ = 0;          // when the request's head was complete
  bool close_after_ = false;  // after the current response
  routing::RequestNumber exchange_ = 0;
  std::optional<Request> waiting_;  // the request that waits for the configuration
};

}  // namespace lichenlug::dataplane

// One connection of a client: reads requests one after another within the bounds of the configuration, hands
// them to exchanges and writes the answers.
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

  // `over` is called once, when the connection is closed; the object has to outlive that call by one turn of
  // the loop.
  void Start(std::function<void()> over);
  void Look(Time now);  // ends it if its time is up; called a few times a second
  // Ends it gracefully if nothing is owed and nothing unread is on it.
  bool Retire();
  void ConfigurationCame();  // a request that waits for it goes on
  bool idle() const { return stage_ == Stage::kIdle; }
  Time since() const { return since_; }  // when its present stage began

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

  void Enter(Stage stage, Time timeout);  // 0: no bound
  void HeadCame(const HttpMessage& head);
  void RequestCame(HttpMessage message);
  void Serve(Request request);
  void RefuseUnconfigured();
  void RefuseEnding();
  void Ended(HttpConnection::End end);
  void Drained();
  void Fault(int status, std::string_view line);  // answers what could not be read, and closes
  void Answered();
  void Finish();
  void Close();
  Persistence PersistenceNow();

  Context* const context_;
  ExchangeTable* const exchanges_;
  std::function<void()> over_;
  std::shared_ptr<HttpConnection> http_;
  Stage stage_ = Stage::kIdle;
  Time since_ = 0, due_ = 0;  // of the present stage; due 0: no bound
  Time arrived_ = 0;          // when the request's head was whole
  bool close_after_ = false;  // after the present answer
  routing::RequestNumber exchange_ = 0;
  std::optional<Request> waiting_;  // for the configuration
};

}  // namespace lichenlug::dataplane

// One client connection: reads requests one after another within the limits of the configuration, passes them
// to exchanges and writes the responses.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "dataplane/context.h"
#include "dataplane/exchange_table.h"
#include "dataplane/response_sink.h"
#include "net/connection_listener.h"
#include "net/http_connection.h"

namespace lichenlug::dataplane {

class ClientConnection : public ResponseSink, public ServedConnection {
 public:
  ClientConnection(asio::ip::tcp::socket socket, Context* context, ExchangeTable* exchanges);
  ~ClientConnection() override;

  void Start(std::function<void()> on_closed) override;
  void CheckTimeout(Time now) override;
  bool CloseIfIdle() override;
  void Evict() override;
  void Close() override;
  std::optional<Time> idle_since() const override { return SinceStage(Stage::kIdle); }
  std::optional<Time> stalled_since() const override { return account_.stalled_since(); }
  std::optional<Time> finishing_since() const override { return SinceStage(Stage::kFinishing); }

  void OnConfiguration();  // serves a request that waits for the configuration

  void SendLocalResponse(int status, std::string_view line, std::optional<Time> retry_after) override;
  void EndResponse() override;
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
    kDone
  };

  void EnterStage(Stage stage, Time timeout);  // 0: no time limit
  std::optional<Time> SinceStage(Stage stage) const;
  bool IsEvictable() const;
  void UpdateAccount();
  void OnHead(const HttpMessage& head);
  void OnRequest(HttpMessage message);
  void Serve(Request request);
  void RefuseWithoutConfiguration();
  void RefuseShuttingDown();
  void RefuseOverload();
  void Disconnect();
  void OnEnd(HttpConnection::End end);
  void OnWritable();
  void Reject(int status, std::string_view line);  // rejects an invalid request and closes the connection
  void OnResponseSent();
  void Finish();
  Persistence CurrentPersistence();

  Context* const context_;
  ExchangeTable* const exchanges_;
  std::function<void()> on_closed_;
  std::shared_ptr<HttpConnection> http_;
  Stage stage_ = Stage::kIdle;
  Time stage_began_ = 0, stage_due_ = 0;  // begin and deadline of the current stage; 0: no deadline
  Time arrived_ = 0;                      // when the request's head was complete
  bool close_after_response_ = false;     // after the current response
  routing::RequestNumber exchange_number_ = 0;
  std::optional<Request> waiting_request_;  // the request that waits for the configuration
  std::size_t request_bytes_ = 0;           // of the request that waits or is served
  ByteAccount account_;
};

}  // namespace lichenlug::dataplane

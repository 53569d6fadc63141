// One connection of a caller of the control interfaces: reads requests one after another, passes them on and
// writes the responses.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "net/connection_listener.h"
#include "net/http_connection.h"
#include "node/control_call.h"

namespace lichenlug::host {

class ControlConnection : public ServedConnection {
 public:
  // The request is to be answered by one call of Respond().
  using OnRequest = std::function<void(node::ControlRequest request, ControlConnection* connection)>;

  ControlConnection(asio::ip::tcp::socket socket, std::size_t max_body_bytes, const Deadlines* clock,
                    ByteBudget* budget, OnRequest on_request);
  ~ControlConnection() override;

  void Start(std::function<void()> on_closed) override;
  void CheckTimeout(Time now) override;
  bool CloseIfIdle() override;
  void Evict() override;
  void Close() override;
  std::optional<Time> idle_since() const override { return SinceStage(Stage::kIdle); }
  std::optional<Time> stalled_since() const override { return account_.stalled_since(); }
  std::optional<Time> finishing_since() const override { return SinceStage(Stage::kFinishing); }

  void Respond(const node::ControlResponse& response);  // to the request that was passed on
  // Expires with the connection, for responses that are given later.
  std::weak_ptr<ControlConnection*> reference() const { return reference_; }

 private:
  enum class Stage { kIdle, kReading, kHandling, kSending, kFinishing, kDone };

  void EnterStage(Stage stage);
  std::optional<Time> SinceStage(Stage stage) const;
  void UpdateAccount();
  void OnHead(const HttpMessage& head);
  void HandleMessage(HttpMessage message);
  void OnEnd(HttpConnection::End end);
  void Refuse(int status, std::string_view line);
  void Send(const node::ControlResponse& response);
  void OnResponseSent();
  void Finish();

  const std::size_t max_body_bytes_;
  const Deadlines* const clock_;
  ByteBudget* const budget_;
  const OnRequest on_request_;
  std::function<void()> on_closed_;
  std::shared_ptr<HttpConnection> http_;
  Stage stage_ = Stage::kIdle;
  Time stage_began_ = 0;
  bool close_after_response_ = false;
  std::size_t request_bytes_ = 0;  // of the request that is being handled
  ByteAccount account_;
  std::shared_ptr<ControlConnection*> reference_ = std::make_shared<ControlConnection*>(this);
};

}  // namespace lichenlug::host

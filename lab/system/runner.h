// Simulated model runner: sends heartbeats to dispatchers, accepts orders, and answers requests with plain
// bodies or with streams of events with increasing ids.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/fleet/http_server.h"
#include "lab/system/ledger.h"
#include "lab/system/loop.h"
#include "lab/system/model_store.h"

namespace lichenlug::standins {

struct RunnerSettings {
  std::string id, service, zone;
  std::vector<std::string> models;  // loaded at the start
  int slots = 16;
  Time heartbeat_interval = 400 * kMillisecond;
  Time event_interval = 20 * kMillisecond;
  Time drain_bound = kSecond;  // no request may arrive later than this after the drain's acknowledgement
};

class Runner {
 public:
  Runner(Loop* loop, RunnerSettings settings, Ledger* ledger);

  void StartHeartbeats(std::vector<std::string> control_addresses);
  void Drain(const std::string& control_address);  // the first dispatcher to be notified
  void Delete();                                   // deregisters the runner, then stops it
  // Stops without deregistering. A stream without a length ends within an event: between two events nothing
  // would show its client that it was cut off.
  void Crash();

  const RunnerSettings& settings() const { return settings_; }
  std::string address() const;
  bool acknowledged() const { return acknowledged_at_.has_value(); }  // of at least one heartbeat
  bool drain_acknowledged() const { return drained_at_.has_value(); }
  std::optional<Time> last_request_at() const { return last_request_at_; }
  Time drained_at() const { return *drained_at_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t orders() const { return models_.accepted_orders(); }

 private:
  struct Answer;
  using Connection = lab::HttpServer::Connection;

  void SendHeartbeat();
  void OnHeartbeatResponse(bool draining, const HttpMessage& answer);
  std::string HeartbeatBody() const;
  std::string NextDispatcher();
  void ScheduleHeartbeat(Time delay);

  void Handle(const Connection& connection, const HttpMessage& request);
  void HandleOrder(const Connection& connection, const HttpMessage& request);
  void Serve(const Connection& connection, const HttpMessage& request);
  // The status to refuse a request with before it runs; none if the request is accepted.
  std::optional<int> RefusalStatus(const HttpMessage& request) const;
  void CheckRequest(const HttpMessage& request);
  void CutWithinEvent(const Answer& answer);
  void SendHead(const std::shared_ptr<Answer>& answer);
  void SendEvent(const std::shared_ptr<Answer>& answer);
  void Finish(const std::shared_ptr<Answer>& answer);

  Loop* loop_;
  RunnerSettings settings_;
  Ledger* ledger_;
  ModelStore models_;
  std::vector<std::string> dispatchers_;
  std::size_t next_dispatcher_ = 0;
  std::string report_to_;  // from the last acknowledgement; empty: none
  std::uint64_t call_count_ = 0;
  bool draining_ = false, ended_ = false;
  std::optional<Time> acknowledged_at_, drained_at_, last_request_at_;
  std::uint64_t served_ = 0, streams_ = 0;
  std::set<std::shared_ptr<Answer>> running_;
  asio::steady_timer heartbeat_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  lab::HttpServer server_;
};

}  // namespace lichenlug::standins

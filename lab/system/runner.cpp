#include "lab/system/runner.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "lab/system/http_call.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

using Json = nlohmann::json;

constexpr Time kHeartbeatRetryDelay = 50 * kMillisecond;

}  // namespace

Runner::Runner(Loop* loop, RunnerSettings settings, Ledger* ledger)
    : loop_(loop),
      settings_(std::move(settings)),
      ledger_(ledger),
      models_(loop, settings_.id, settings_.models, ledger),
      heartbeat_timer_(loop->io()),
      server_(loop->io(), [this](const Connection& connection, const HttpMessage& request) {
        Handle(connection, request);
      }) {}

std::string Runner::address() const { return AddressOf(server_.address()); }

// ---- Heartbeats ----------------------------------------------------------------------------------------

void Runner::StartHeartbeats(std::vector<std::string> control_addresses) {
  dispatchers_ = std::move(control_addresses);
  ScheduleHeartbeat(0);
}

void Runner::Drain(const std::string& control_address) {
  draining_ = true;
  report_to_ = control_address;
  ScheduleHeartbeat(0);
}

void Runner::Delete() {
  HttpCall call;
  call.method = "DELETE";
  call.path = wire::kRunnersPath + settings_.id;
  Call(loop_->io(), NextDispatcher(), call, [](const HttpMessage&) {});
  Crash();
}

void Runner::Crash() {
  ended_ = true;
  heartbeat_timer_.cancel();
  for (const auto& answer : running_) CutWithinEvent(*answer);
  server_.Down();
  running_.clear();
}

void Runner::ScheduleHeartbeat(Time delay) {
  heartbeat_timer_.expires_after(std::chrono::microseconds(delay));
  heartbeat_timer_.async_wait([this](std::error_code error) {
    if (!error && !ended_) SendHeartbeat();
  });
}

std::string Runner::NextDispatcher() {
  if (!report_to_.empty()) return report_to_;
  return dispatchers_[next_dispatcher_++ % dispatchers_.size()];
}

std::string Runner::HeartbeatBody() const {
  return Json{{wire::kService, settings_.service},
              {"address", address()},
              {wire::kZone, settings_.zone},
              {wire::kEdition, "v1"},
              {wire::kSlots, settings_.slots},
              {wire::kCondition, draining_ ? "draining" : "ready"},
              {"cold_ms", 0},
              {wire::kStage, "both"},
              {wire::kModels, models_.ToJson()},
              {wire::kCallCount, call_count_}}
      .dump();
}

void Runner::SendHeartbeat() {
  ++call_count_;
  HttpCall call;
  call.method = "PUT";
  call.path = wire::kRunnersPath + settings_.id;
  call.headers = {{wire::kContentType, wire::kJsonType}};
  call.body = HeartbeatBody();
  const auto on_response = [this, alive = std::weak_ptr(alive_),
                            draining = draining_](const HttpMessage& answer) {
    if (!alive.expired() && !ended_) OnHeartbeatResponse(draining, answer);
  };
  Call(loop_->io(), NextDispatcher(), call, on_response);
}

void Runner::OnHeartbeatResponse(bool draining, const HttpMessage& answer) {
  if (answer.status < 200 || answer.status > 299) {
    report_to_.clear();
    return ScheduleHeartbeat(kHeartbeatRetryDelay);
  }
  const Json body = Json::parse(answer.body, nullptr, false);
  if (body.is_object() && body.contains(wire::kReportTo))
    report_to_ = body.at(wire::kReportTo).get<std::string>();
  acknowledged_at_ = loop_->Now();
  if (draining && !drained_at_) drained_at_ = loop_->Now();
  // A drain requested in the meantime is reported immediately.
  ScheduleHeartbeat(draining != draining_ ? 0 : settings_.heartbeat_interval);
}

// ---- Orders and reports --------------------------------------------------------------------------------

void Runner::Handle(const Connection& connection, const HttpMessage& request) {
  if (request.target == wire::kReportPath) {
    const Json report{{wire::kStage, "both"},
                      {wire::kModels, models_.ToJson()},
                      {"busy", models_.busy()},
                      {wire::kCallCount, models_.accepted_orders()},
                      {"queued", 0},
                      {"in_transit", 0},
                      {"cache_used", 0},
                      {"cache_total", 90000},
                      {"carries", running_.size()}};
    return lab::Reply(connection, 200, report.dump(), {{wire::kContentType, wire::kJsonType}});
  }
  if (request.target == wire::kOrderPath) return HandleOrder(connection, request);
  if (request.target == wire::kHealthPath)
    return lab::Reply(connection, draining_ ? 503 : 200, "", {{wire::kRunnerId, settings_.id}});
  Serve(connection, request);
}

void Runner::HandleOrder(const Connection& connection, const HttpMessage& request) {
  const std::string* expected = request.Header(wire::kExpectRunner);
  if (expected != nullptr && *expected != settings_.id) return lab::Reply(connection, 421, "");
  const Json order = Json::parse(request.body, nullptr, false);
  lab::Reply(connection, order.is_object() ? models_.Order(order) : 400, "");
}

}  // namespace lichenlug::standins

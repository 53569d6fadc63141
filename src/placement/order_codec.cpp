#include "placement/order_codec.h"

#include <nlohmann/json.hpp>

namespace lichenlug::placement {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxReportBytes = 256 * 1024;
constexpr Time kOrderTimeout = kSecond, kReportTimeout = 800 * kMillisecond, kFleetTimeout = 2 * kSecond;

const json* Field(const json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

bool ParseHeldSet(const json& models, HeldSet* held) {
  if (!models.is_array()) return false;
  for (const json& model : models) {
    if (!model.is_object()) return false;
    const json* name = Field(model, "name");
    const json* adapters = Field(model, "adapters");
    if (!name || !name->is_string()) return false;
    held->Add({name->get<std::string>(), ""});
    if (!adapters) continue;
    if (!adapters->is_array()) return false;
    for (const json& adapter : *adapters) {
      if (!adapter.is_string()) return false;
      held->Add({name->get<std::string>(), adapter.get<std::string>()});
    }
  }
  return true;
}

}  // namespace

duties::HttpCall MakeOrderCall(const Order& order, std::uint64_t orders_accepted, const std::string& holder,
                               std::uint64_t epoch) {
  json body;
  body["order"] = order.kind == Order::Kind::kLoad ? "load" : "unload";
  body["model"] = order.key.model;
  if (!order.key.is_model()) body["adapter"] = order.key.adapter;
  body["if_revision"] = orders_accepted;
  body["holder"] = holder;
  body["fence"] = epoch;
  duties::HttpCall call;
  call.method = "POST";
  call.path = "/-/order";
  call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  call.timeout = kOrderTimeout;
  return call;
}

duties::HttpCall MakeReportCall() {
  duties::HttpCall call;
  call.method = "GET";
  call.path = "/-/report";
  call.timeout = kReportTimeout;
  return call;
}

duties::HttpCall MakeFleetCall(const std::string& service, const std::string& zone, int size,
                               std::uint64_t epoch) {
  duties::HttpCall call;
  call.method = "POST";
  call.path = "/fleet";
  call.body = json{{"line", service}, {"zone", zone}, {"fleet_size", size}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
  call.fence = epoch;
  call.timeout = kFleetTimeout;
  return call;
}

std::variant<RunnerReport, ReportError> ParseReport(const duties::HttpResult& result) {
  if (result.status != 200) return ReportError::kNoAnswer;
  if (result.body.size() > kMaxReportBytes) return ReportError::kMalformed;
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) return ReportError::kMalformed;
  const json* models = Field(body, "models");
  const json* busy = Field(body, "busy");
  const json* accepted = Field(body, "call_count");
  if (!models || !busy || !busy->is_boolean() || !accepted || !accepted->is_number_integer())
    return ReportError::kFieldMissing;
  if (accepted->get<std::int64_t>() < 0) return ReportError::kFieldMissing;
  RunnerReport report;
  if (!ParseHeldSet(*models, &report.held)) return ReportError::kFieldMissing;
  report.busy = busy->get<bool>();
  report.orders_accepted = accepted->get<std::uint64_t>();
  return report;
}

OrderOutcome ParseOrderOutcome(const duties::HttpResult& result) {
  switch (result.status) {
    case 200:
      return OrderOutcome::kAlreadyDone;
    case 202:
      return OrderOutcome::kAccepted;
    case 400:
      return OrderOutcome::kInvalid;
    case 409:
      return OrderOutcome::kConflict;
    case 412:
      return OrderOutcome::kFenced;
    case 421:
      return OrderOutcome::kOtherRunner;
    default:
      return OrderOutcome::kUnknown;
  }
}

bool FleetSizeAccepted(const duties::HttpResult& result) { return result.status == 200; }
bool FleetSizeFenced(const duties::HttpResult& result) { return result.status == 409; }

}  // namespace lichenlug::placement

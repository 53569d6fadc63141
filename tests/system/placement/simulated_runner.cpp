// The runner side of the simulated fleet, and the checks of invariants.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

using nlohmann::json;

constexpr Time kOriginWindow = 5 * kSecond;
constexpr double kOverage = 1.1;
constexpr int kBurst = 3;
constexpr double kWarmLoadFactor = 0.15;  // load time from local disk relative to the weight store

}  // namespace

duties::HttpResult SimulatedFleet::Serve(const duties::HttpCall& call, bool late) {
  for (SimulatedRunner& runner : runners_) {
    if (runner.address != call.address) continue;
    if (runner.silent) return {};
    if (!call.expect_runner.empty() && call.expect_runner != runner.id) return {421, ""};
    if (call.method == "GET") return {200, ReportOf(runner)};
    return HandleOrder(&runner, call, late);
  }
  return {};
}

std::string SimulatedFleet::ReportOf(const SimulatedRunner& runner) const {
  json models = json::array();
  for (const auto& [model, adapters] : runner.held.models())
    models.push_back({{"name", model}, {"edition", 1}, {"adapters", adapters}});
  return json{{"stage", "both"},
              {"models", models},
              {"busy", runner.in_progress.has_value()},
              {"call_count", runner.orders_accepted}}
      .dump();
}

duties::HttpResult SimulatedFleet::HandleOrder(SimulatedRunner* runner, const duties::HttpCall& call,
                                               bool late) {
  const json body = json::parse(call.body);
  const std::string holder = body.value("holder", "");
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  const std::string kind = body.value("order", "");
  const Order order{kind == "load" ? Order::Kind::kLoad : Order::Kind::kUnload,
                    {body.value("model", ""), body.value("adapter", "")}};
  if (holder.empty() || fence == 0 || (kind != "load" && kind != "unload") || !catalog_.Contains(order.key))
    return {400, ""};
  if (options_.fences_checked && fence < runner->fence) return {412, ""};
  CheckHolder(runner->id, holder, fence);
  runner->fence = std::max(runner->fence, fence);
  const bool refused =
      runner->in_progress || (body.contains("if_revision") && body["if_revision"] != runner->orders_accepted);
  CheckOrder(*runner, order, !refused, late);
  if (refused) return {409, ""};
  if (runner->held.Reflects(order)) return {200, ""};
  if (!order.key.is_model() && !runner->held.Holds({order.key.model, ""})) return {400, ""};
  ++runner->orders_accepted;
  runner->in_progress = order;
  const bool cold = disks_[runner->address].count(order.key.model) == 0;
  const auto load_time = static_cast<double>(catalog_.LoadTime(order.key));
  if (order.kind == Order::Kind::kUnload)
    runner->done_at = now_ + Between(0, 400 * kMillisecond);
  else
    runner->done_at =
        now_ + static_cast<Time>(cold || !order.key.is_model() ? load_time : load_time * kWarmLoadFactor);
  return {202, ""};
}

void SimulatedFleet::CheckOrder(const SimulatedRunner& runner, const Order& order, bool accepted, bool late) {
  if (order.kind != Order::Kind::kLoad) return;
  HeldSet held = runner.held;
  if (runner.in_progress && runner.in_progress->kind == Order::Kind::kLoad) held.Add(runner.in_progress->key);
  // A late order that is refused has no effect. Any other order must fit, whether it is accepted or not.
  if ((accepted || !late) && !held.Holds(order.key) && !catalog_.Fits(held, order.key))
    violations_.push_back("runner limits exceeded by " + ToText(order.key) + " at " + runner.id);
  if (!accepted || !order.key.is_model() || runner.held.Holds(order.key)) return;
  ++loads_;
  loads_begun_.push_back(now_);
  const auto in_window = std::count_if(loads_begun_.begin(), loads_begun_.end(),
                                       [&](Time at) { return at > now_ - kOriginWindow; });
  const double max_loads = options_.loads_per_s * 5 * kOverage + kBurst;
  if (static_cast<double>(in_window) > max_loads)
    violations_.push_back("too many loads in a window: " + std::to_string(in_window));
}

void SimulatedFleet::CheckHolder(const std::string& runner, const std::string& holder, std::uint64_t epoch) {
  const std::string& first = holder_of_epoch_.try_emplace(epoch, holder).first->second;
  if (first != holder) violations_.push_back("two holders with the same epoch at " + runner);
}

}  // namespace lichenlug::placement

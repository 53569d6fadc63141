#include "lab/system/model_store.h"

#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

using Json = nlohmann::json;

constexpr auto kOrderDuration = std::chrono::milliseconds(300);
constexpr char kLoad[] = "load", kUnload[] = "unload";
enum Status {
  kAlreadyApplied = 200,
  kAccepted = 202,
  kInvalid = 400,
  kConflict = 409,
  kFenced = 412,
  kMisdirected = 421
};

std::string TextOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

}  // namespace

ModelStore::ModelStore(Loop* loop, std::string runner_id, const std::vector<std::string>& models,
                       Ledger* ledger)
    : runner_id_(std::move(runner_id)), ledger_(ledger), timer_(loop->io()) {
  for (const std::string& model : models) models_[model];
}

bool ModelStore::Holds(const std::string& name) const {
  const std::size_t slash = name.find('/');
  const auto found = models_.find(name.substr(0, slash));
  if (found == models_.end()) return false;
  return slash == std::string::npos || found->second.count(name.substr(slash + 1)) > 0;
}

Json ModelStore::ToJson() const {
  Json models = Json::array();
  for (const auto& [name, adapters] : models_)
    models.push_back({{wire::kName, name}, {wire::kEdition, 1}, {wire::kAdapters, adapters}});
  return models;
}

int ModelStore::Order(const Json& order) {
  const std::string kind = TextOf(order, "order"), model = TextOf(order, wire::kModelKey);
  const std::string adapter = TextOf(order, wire::kAdapter), holder = TextOf(order, wire::kHolder);
  const bool known = kind == kLoad || kind == kUnload;
  if (!known || model.empty() || holder.empty() || !order.contains(wire::kFence)) {
    ledger_->RecordViolation(runner_id_ + " received an invalid order: " + order.dump());
    return kInvalid;
  }
  const auto fence = order.at(wire::kFence).get<std::uint64_t>();
  if (fence < highest_fence_) return kFenced;
  if (fence == highest_fence_ && !highest_holder_.empty() && holder != highest_holder_)
    ledger_->RecordViolation(runner_id_ + ": fence " + std::to_string(fence) + " is used by two holders");
  highest_fence_ = fence, highest_holder_ = holder;
  const auto expected = order.find("if_revision");
  const bool revision_mismatch =
      expected != order.end() && expected->get<std::uint64_t>() != accepted_orders_;
  if (busy_ || revision_mismatch) return kConflict;
  const bool load = kind == kLoad;
  if (Holds(adapter.empty() ? model : model + "/" + adapter) == load) return kAlreadyApplied;
  if (!adapter.empty() && !Holds(model)) return kMisdirected;
  ++accepted_orders_;
  busy_ = true;
  timer_.expires_after(kOrderDuration);
  timer_.async_wait([this, load, model, adapter](std::error_code error) {
    if (!error) Apply(load, model, adapter);
  });
  return kAccepted;
}

void ModelStore::Apply(bool load, const std::string& model, const std::string& adapter) {
  busy_ = false;
  if (load && adapter.empty()) {
    models_[model];
  } else if (load) {
    models_[model].insert(adapter);
  } else if (adapter.empty()) {
    models_.erase(model);
  } else {
    models_[model].erase(adapter);
  }
}

}  // namespace lichenlug::standins

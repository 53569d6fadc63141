#include "placement/catalog.h"

#include <algorithm>
#include <charconv>

namespace lichenlug::placement {
namespace {

constexpr Time kAdapterLoadTime = 20 * kMillisecond;

// Adapters are named a1, a2 and so on.
bool IsAdapterName(const std::string& name, int adapters) {
  if (name.size() < 2 || name[0] != 'a' || name[1] == '0') return false;
  int number = 0;
  const char* end = name.data() + name.size();
  const auto [read_to, error] = std::from_chars(name.data() + 1, end, number);
  return error == std::errc() && read_to == end && number >= 1 && number <= adapters;
}

}  // namespace

void Catalog::Assign(const messages::Engine& engine) {
  models_.clear();
  for (const messages::Model& model : engine.models()) {
    Model& entry = models_[model.name()];
    entry.weights_mb = std::max(0.0, model.weights_mb());
    entry.adapter_mb = std::max(0.0, model.adapter_mb());
    entry.load_time = static_cast<Time>(std::clamp(model.load_s(), 0.0, 3600.0) * kSecond);
    entry.adapters = model.adapters();
  }
  capacity_mb_ = engine.weights_mb();
  adapter_slots_ = engine.adapter_slots();
  slots_ = std::max(1, engine.slots());
  loads_per_s_ = std::max(0.0, engine.loads_per_s());
}

const Catalog::Model* Catalog::Find(const std::string& model) const {
  const auto it = models_.find(model);
  return it == models_.end() ? nullptr : &it->second;
}

bool Catalog::Contains(const Key& key) const {
  const Model* model = Find(key.model);
  return model && (key.is_model() || IsAdapterName(key.adapter, model->adapters));
}

// A model that is no longer configured may be of any size, so it counts as a runner's full capacity.
double Catalog::MegabytesOf(const Key& key) const {
  const Model* model = Find(key.model);
  if (!model) return capacity_mb_;
  return key.is_model() ? model->weights_mb : model->adapter_mb;
}

double Catalog::MegabytesOf(const HeldSet& held) const {
  double sum = 0;
  for (const auto& [name, adapters] : held.models()) {
    const Model* model = Find(name);
    sum +=
        model ? model->weights_mb + model->adapter_mb * static_cast<double>(adapters.size()) : capacity_mb_;
  }
  return sum;
}

bool Catalog::Fits(HeldSet held, const Key& key) const {
  held.Add(key);
  return (key.is_model() || held.adapter_count() <= adapter_slots_) && MegabytesOf(held) <= capacity_mb_;
}

Time Catalog::LoadTime(const Key& key) const {
  const Model* model = Find(key.model);
  return key.is_model() && model ? model->load_time : kAdapterLoadTime;
}

}  // namespace lichenlug::placement

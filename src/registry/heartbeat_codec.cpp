// Parses the JSON body of a runner's heartbeat. The wire names are defined only in this file.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "registry/registry.h"

namespace lichenlug::registry {
namespace {

using Json = nlohmann::json;
using messages::RunnerRecord;

constexpr std::size_t kMaxBodyBytes = 1u << 20;
constexpr std::size_t kMaxNameLength = 256;
constexpr std::size_t kMaxModels = 1024;
constexpr std::size_t kMaxAdapters = 4096;  // per model
constexpr std::int64_t kMaxSlots = 1'000'000;

// Reads members of one JSON object, and keeps the first error.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string place, std::string* error)
      : object_(object), place_(std::move(place)), error_(error) {}

  const Json* Find(const char* key, bool required) {
    const auto found = object_.find(key);
    if (found != object_.end()) return &*found;
    if (required) Fail(key, "is missing: send it with every heartbeat");
    return nullptr;
  }

  std::string String(const char* key, bool required) {
    const Json* value = Find(key, required);
    if (value == nullptr) return {};
    if (!value->is_string()) return Fail(key, "must be a string"), std::string();
    const auto& text = value->get_ref<const std::string&>();
    if (required && text.empty()) Fail(key, "must not be empty");
    if (text.size() > kMaxNameLength) Fail(key, "must not be longer than 256 bytes");
    return text;
  }

  std::int64_t Integer(const char* key, bool required, std::int64_t limit) {
    const Json* value = Find(key, required);
    if (value == nullptr) return 0;
    const bool is_valid =
        value->is_number_unsigned() || (value->is_number_integer() && value->get<std::int64_t>() >= 0);
    if (!is_valid || value->get<std::uint64_t>() > static_cast<std::uint64_t>(limit))
      return Fail(key, "must be an integer from 0 to " + std::to_string(limit)), 0;
    return value->get<std::int64_t>();
  }

  double Milliseconds(const char* key) {
    const Json* value = Find(key, false);
    if (value == nullptr) return 0;
    if (!value->is_number() || !std::isfinite(value->get<double>()) || value->get<double>() < 0)
      return Fail(key, "must be a number of milliseconds, 0 or more"), 0;
    return value->get<double>();
  }

  const Json* List(const char* key, std::size_t limit) {
    const Json* value = Find(key, false);
    if (value == nullptr) return nullptr;
    if (!value->is_array()) return Fail(key, "must be a list"), nullptr;
    if (value->size() > limit)
      return Fail(key, "must have at most " + std::to_string(limit) + " items"), nullptr;
    return value;
  }

  void Fail(const std::string& key, const std::string& remedy) {
    if (error_->empty()) *error_ = "heartbeat: `" + key + "` in " + place_ + " " + remedy;
  }

 private:
  const Json& object_;
  std::string place_;
  std::string* error_;
};

void ReadModel(const Json& item, const std::string& place, RunnerRecord* record, std::string* error) {
  if (!item.is_object()) {
    if (error->empty()) *error = "heartbeat: " + place + " must be an object with `name`";
    return;
  }
  ObjectReader reader(item, place, error);
  auto* model = record->add_models();
  model->set_name(reader.String("name", true));
  model->set_edition(reader.Integer("edition", false, std::numeric_limits<std::int64_t>::max()));
  const Json* adapters = reader.List("adapters", kMaxAdapters);
  if (adapters == nullptr) return;
  for (const Json& adapter : *adapters) {
    if (!adapter.is_string() || adapter.get_ref<const std::string&>().size() > kMaxNameLength)
      return reader.Fail("adapters", "must contain only strings of at most 256 bytes");
    model->add_adapters(adapter.get<std::string>());
  }
  std::sort(model->mutable_adapters()->begin(), model->mutable_adapters()->end());
}

void ReadModels(ObjectReader* body, RunnerRecord* record, std::string* error) {
  const Json* models = body->List("models", kMaxModels);
  if (models == nullptr) return;
  for (std::size_t i = 0; i < models->size() && error->empty(); ++i)
    ReadModel((*models)[i], "models[" + std::to_string(i) + "]", record, error);
  // Sorted, so that the same models in another order are not a change.
  std::sort(record->mutable_models()->begin(), record->mutable_models()->end(),
            [](const auto& left, const auto& right) { return left.name() < right.name(); });
}

void ReadState(ObjectReader* body, RunnerRecord* record) {
  const std::string condition = body->String("condition", true);
  if (condition == "ready") {
    record->set_state(messages::RUNNER_READY);
  } else if (condition == "draining") {
    record->set_state(messages::RUNNER_DRAINING);
  } else {
    body->Fail("condition", "must be \"ready\" or \"draining\"");
  }
}

bool IsAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == address.size()) return false;
  const std::string port = address.substr(colon + 1);
  return port.size() <= 5 &&
         std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; }) &&
         std::stoi(port) > 0 && std::stoi(port) <= 65535;
}

bool IsRunnerId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxNameLength &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

}  // namespace

std::variant<RunnerRecord, std::string> ReadHeartbeat(std::string_view runner_id, std::string_view json) {
  if (!IsRunnerId(runner_id))
    return "heartbeat: the runner's id in the path must have 1 to 256 printable characters and no space";
  if (json.size() > kMaxBodyBytes) return "heartbeat: the body must not be longer than 1 MiB";
  const Json body = Json::parse(json, nullptr, false);
  if (!body.is_object()) return "heartbeat: the body must be one JSON object";

  std::string error;
  ObjectReader reader(body, "the body", &error);
  RunnerRecord record;
  record.set_runner_id(std::string(runner_id));
  record.set_service(reader.String("line", true));
  record.set_address(reader.String("address", true));
  if (!IsAddress(record.address())) reader.Fail("address", "must be IP:PORT of the runner");
  record.set_zone(reader.String("zone", true));
  record.set_software_edition(reader.String("edition", false));
  record.set_slots(static_cast<std::int32_t>(reader.Integer("berths", true, kMaxSlots)));
  ReadState(&reader, &record);
  record.set_cold_ms(reader.Milliseconds("cold_ms"));
  record.set_remaining_ms(reader.Milliseconds("remaining_ms"));
  record.set_stage(reader.String("stage", false));
  record.set_call_count(static_cast<std::uint64_t>(
      reader.Integer("call_count", true, std::numeric_limits<std::int64_t>::max())));
  ReadModels(&reader, &record, &error);
  if (!error.empty()) return error;
  return record;
}

}  // namespace lichenlug::registry

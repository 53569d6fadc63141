#include "lab/system/sample.h"

#include "lab/system/wire_words.h"

namespace lichenlug::standins::sample {

namespace {

using Json = nlohmann::json;

Json Model(const std::string& name) {
  return {
      {wire::kName, name}, {"weights_mb", 10000.0}, {"load_s", 0.3}, {"adapters", 2}, {"adapter_mb", 50.0}};
}

Json Engine() {
  return {{wire::kSlots, 16},
          {"cache_tokens", 90000},
          {"cache_token_bytes", 327680},
          {"link_mbps", 1000000.0},
          {"stride", 4},
          {wire::kModels, {Model(kBusyModel), Model(kRareModel)}},
          {"weights_mb", 40000.0},
          {"adapter_berths", 4},
          {"loads_per_s", 4.0}};
}

}  // namespace

Json Route(const std::string& name, const std::string& prefix, const std::string& carriage, bool resume) {
  return {{wire::kName, name},    {"depot", kHost},     {"lane_prefix", prefix}, {"carriage", carriage},
          {"deadline_ms", 20000}, {"target_ms", 1000},  {"precedence", 1},       {wire::kService, kService},
          {"tries", 2},           {"unstamped", false}, {"same_carrier", true},  {"resume", resume},
          {"gap_aim_ms", 500}};
}

Json Configuration(std::int64_t edition) {
  return {{wire::kEdition, edition},
          {"routes",
           {Route("plain", kPlainPath, "safe"), Route("stream", kStreamPath, "stream"),
            Route("resume", kResumePath, "stream", true)}},
          {wire::kServices, Json::array({{{wire::kName, kService},
                                          {"checkup_path", wire::kHealthPath},
                                          {"conn_limit", 250},
                                          {"protocol", "h1"},
                                          {"sealed", false},
                                          {"engine", Engine()}}})},
          {"parcel_limits",
           {{"header_bytes", 16384}, {"body_bytes", 65536}, {"header_ms", 3000}, {"idle_ms", 15000}}},
          {wire::kTenants,
           Json::array({{{wire::kName, kTenant}, {"stamps", {kKey}}, {"precedence", 1}},
                        {{wire::kName, kOtherTenant}, {"stamps", {kOtherKey}}, {"precedence", 2}}})}};
}

}  // namespace lichenlug::standins::sample

// The initial configuration of system runs and tests.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lichenlug::standins::sample {

inline constexpr char kHost[] = "models.example";
inline constexpr char kService[] = "chat";
inline constexpr char kBusyModel[] = "large", kRareModel[] = "small";
inline constexpr char kTenant[] = "alder", kKey[] = "key-of-alder";
inline constexpr char kOtherTenant[] = "birch", kOtherKey[] = "key-of-birch";
inline constexpr char kPlainPath[] = "/plain/", kStreamPath[] = "/stream/", kResumePath[] = "/resume/";

// A route of the service. `carriage`: safe or stream.
nlohmann::json Route(const std::string& name, const std::string& prefix, const std::string& carriage,
                     bool resume = false);

// A service with two models, a route of each kind and two tenants.
nlohmann::json Configuration(std::int64_t edition);

}  // namespace lichenlug::standins::sample

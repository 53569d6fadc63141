#include <glog/logging.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/commands.h"
#include "ctl/http_get.h"

namespace lichenlug::ctl {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kStatusPath[] = "/-/status";
constexpr int kStatusOk = 200;

std::string Scalar(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Prints one line per value; nested values are indented below their name.
void Print(const Json& value, int indent) {
  const std::string margin(static_cast<std::size_t>(indent), ' ');
  for (const auto& [name, inner] : value.items()) {
    const std::string label = value.is_array() ? "-" : name + ":";
    if (inner.is_structured() && !inner.empty()) {
      std::cout << margin << label << '\n';
      Print(inner, indent + 2);
    } else {
      std::cout << margin << label << ' ' << (inner.is_structured() ? "none" : Scalar(inner)) << '\n';
    }
  }
}

}  // namespace

ExitCode ShowStatus(const std::string& address) {
  const HttpResponse response = HttpGet(address, kStatusPath);
  if (response.status != kStatusOk) {
    LOG(ERROR) << address << kStatusPath << ": "
               << (response.status == 0 ? response.error : "HTTP status " + std::to_string(response.status))
               << "; give the control address of a running dispatcher";
    return kFailed;
  }
  const Json status = Json::parse(response.body, nullptr, false);
  if (!status.is_object()) {
    LOG(ERROR)
        << address << kStatusPath
        << ": the response is not a JSON object; check that this is the control address of a dispatcher";
    return kFailed;
  }
  Print(status, 0);
  return kSuccess;
}

}  // namespace lichenlug::ctl

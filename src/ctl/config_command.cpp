#include <glog/logging.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <variant>

#include "configuration/configuration.h"
#include "ctl/commands.h"

namespace lichenlug::ctl {
namespace {

std::optional<std::string> ReadAll(const std::string& path) {
  const auto content = [](std::istream& stream) {
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
  };
  if (path == "-") return content(std::cin);
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text = content(file);
  if (file.bad()) return std::nullopt;
  return text;
}

}  // namespace

ExitCode CheckConfiguration(const std::string& path) {
  const auto text = ReadAll(path);
  if (!text) {
    LOG(ERROR) << path << " cannot be read; give the path of an existing file";
    return kFailed;
  }
  const auto result = configuration::Parse(*text);
  if (const auto* problem = std::get_if<configuration::Problem>(&result)) {
    LOG(ERROR) << path << ": " << problem->Line();
    return kFailed;
  }
  const auto& valid = *std::get<configuration::Parsed>(result).configuration;
  std::cout << path << ": valid, edition " << valid.edition() << ", " << valid.routes_size() << " routes, "
            << valid.services_size() << " services, " << valid.tenants_size() << " tenants\n";
  return kSuccess;
}

}  // namespace lichenlug::ctl

// lichenlugd: one dispatcher of the model router and placer.
#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <string>

#include "base/memory_release.h"
#include "daemon/early_signals.h"
#include "dataplane/data_plane.h"
#include "host/control_host.h"
#include "host/event_loop.h"
#include "node/node_roles.h"
#include "node/node_settings.h"

namespace {

using lichenlug::host::ControlHost;
using lichenlug::host::EventLoop;
using lichenlug::node::NodeSettings;
using lichenlug::node::ReadNodeSettings;
using lichenlug::node::SettingsProblem;

constexpr const char* kSettingsVariable = "LICHENLUG_BOOT";
constexpr int kUsageError = 2;
constexpr lichenlug::Time kConfigurationWait =
    1500 * lichenlug::kMillisecond;  // longer than a restart of all dispatchers takes

struct CommandLine {
  std::string settings_path;
  bool check_only = false;
  lichenlug::Mechanisms mechanisms;
};

std::string DefaultSettingsPath() {
  const char* path = std::getenv(kSettingsVariable);
  return path != nullptr ? path : "/etc/lichenlug/node.json";
}

// Parses the command line; exits the process for --help, --version and errors.
CommandLine ReadCommandLine(int argc, char** argv) {
  namespace options = boost::program_options;
  CommandLine command_line;
  std::string without;
  options::options_description description("lichenlugd: a dispatcher of the model router and placer");
  description.add_options()("help,h", "show this help")("version", "show the version")(
      "settings", options::value(&command_line.settings_path)->default_value(DefaultSettingsPath()),
      "path of the settings file; the default can be set by the environment variable LICHENLUG_BOOT")(
      "check", options::bool_switch(&command_line.check_only), "check the settings file and exit")(
      "without", options::value(&without)->default_value(""),
      "for experiments: comma-separated parts of the policy to disable");
  options::variables_map variables;
  try {
    options::store(options::parse_command_line(argc, argv, description), variables);
    options::notify(variables);
  } catch (const options::error& error) {
    std::cerr << "lichenlugd: " << error.what() << "; see lichenlugd --help\n";
    std::exit(kUsageError);
  }
  if (variables.count("help") > 0) {
    std::cout << description;
    std::exit(0);
  }
  if (variables.count("version") > 0) {
    std::cout << "lichenlugd " << LICHENLUG_VERSION << '\n';
    std::exit(0);
  }
  if (const auto unknown = command_line.mechanisms.Disable(without)) {
    std::cerr << "lichenlugd: --without: unknown name " << *unknown << "; valid names:";
    for (const std::string_view name : lichenlug::kMechanismNames) std::cerr << ' ' << name;
    std::cerr << '\n';
    std::exit(kUsageError);
  }
  return command_line;
}

lichenlug::dataplane::Settings DataPlaneSettings(const NodeSettings& settings) {
  lichenlug::dataplane::Settings data_plane;
  data_plane.listen_address = settings.front_address;
  data_plane.name = settings.name;
  data_plane.descriptors = settings.descriptors;
  data_plane.memory_bytes = static_cast<std::size_t>(settings.memory_mb * (1u << 20));
  data_plane.grace = settings.bounds.grace;
  data_plane.configuration_wait = kConfigurationWait;
  data_plane.seed = std::random_device{}();
  return data_plane;
}

int Fail(const std::string& line) {
  LOG(ERROR) << line;
  return EXIT_FAILURE;
}

int Serve(const CommandLine& command_line, const NodeSettings& settings) {
  EventLoop loop;
  lichenlug::dataplane::DataPlane data_plane(DataPlaneSettings(settings));
  ControlHost control(&loop, settings, &data_plane);
  const auto drain = [&] { control.BeginDrain(); };
  const auto reload = [&] {
    const auto changed = ReadNodeSettings(command_line.settings_path);
    if (const auto* valid = std::get_if<NodeSettings>(&changed))
      control.ReloadSettings(*valid);
    else
      LOG(ERROR) << "settings kept: " << std::get<SettingsProblem>(changed).Line();
  };
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  loop.OnSignal(SIGHUP, reload);
  std::string error;
  if (!data_plane.Start(&error)) return Fail(error);
  if (!control.Start(&error)) return Fail(error);
  using lichenlug::daemon::ConsumeRecordedSignal;
  if (ConsumeRecordedSignal(SIGHUP)) loop.Post(reload);
  if (ConsumeRecordedSignal(SIGTERM) || ConsumeRecordedSignal(SIGINT)) loop.Post(drain);
  loop.Run();
  LOG(INFO) << "ended";
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  lichenlug::MapLargeBlocksSeparately();
  std::signal(SIGPIPE, SIG_IGN);
  lichenlug::daemon::InstallSignalRecorders();
  const CommandLine command_line = ReadCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  google::InstallFailureSignalHandler();        // prints the stack on a crash, then runs the default action
  lichenlug::daemon::InstallSignalRecorders();  // glog's handler treats SIGTERM as a failure
  const auto settings = ReadNodeSettings(command_line.settings_path);
  if (const auto* problem = std::get_if<SettingsProblem>(&settings)) return Fail(problem->Line());
  LOG(INFO) << DescribeRoles(RolesOf(std::get<NodeSettings>(settings)));
  if (command_line.check_only) return EXIT_SUCCESS;
  NodeSettings node = std::get<NodeSettings>(settings);
  node.mechanisms = command_line.mechanisms;
  try {
    return Serve(command_line, node);
  } catch (const std::exception& error) {
    return Fail(error.what());
  }
}

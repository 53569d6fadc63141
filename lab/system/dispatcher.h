// One real dispatcher: a `lichenlugd` process on its own loopback address, with its settings file, store
// directory and log below one directory.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/process.h"
#include "lab/system/loop.h"

namespace lichenlug::standins {

// Intervals and time limits of the deployment, shorter than in production to keep runs and tests short.
struct DeploymentTimes {
  int heartbeat_ms = 400;
  int drain_ms = 1000;
  int configuration_ms = 2000;
  int lease_ms = 1500;
  int catch_up_s = 2;
  int grace_s = 8;
  int window_s = 2;
  int usage_late_s = 4;
};

struct DispatcherSettings {
  std::string name, ip, zone;
  std::vector<std::string> seeds;  // control addresses
  std::string platform_address;
  bool has_disk = true;
  bool serves_clients = true;
  int tolerated_losses = 1;
  int memory_mb = 260, descriptors = 1024;
  DeploymentTimes times;
};

class Dispatcher {
 public:
  Dispatcher(Loop* loop, std::filesystem::path program, std::filesystem::path folder,
             DispatcherSettings settings);

  // Start and StartWith rewrite the settings file. `first_run` is set only at the first start of the system.
  void Start(bool first_run = false);
  void StartWith(const std::string& settings_text);
  bool Kill(Time timeout);                        // SIGKILL; false if it has not exited in time
  void Terminate();                               // SIGTERM; the process shuts down gracefully
  void Reload(const std::string& settings_text);  // rewrites the settings file and sends SIGHUP
  bool Ended(Time timeout);                       // waits for the process to exit
  void WipeStore();                               // only after the process has exited

  bool Running() { return process_.Running(); }
  // Whether the program has installed its signal handlers; before that, as in the loader, a signal kills it.
  bool TakesSignals() const;
  bool EndedWell() const;       // the last process exited with code 0
  std::string LastEnd() const;  // "exit code 0" or "signal 15"
  std::string Log() const;
  bool LogHolds(const std::string& text) const { return Log().find(text) != std::string::npos; }

  const std::string& name() const { return settings_.name; }
  std::string front_address() const;
  std::string ready_address() const;
  std::string control_address() const;
  std::string internal_address() const;
  std::filesystem::path store_folder() const { return folder_ / "store"; }
  std::filesystem::path settings_path() const { return folder_ / "node.json"; }
  std::string SettingsText(bool first_run) const;
  const DispatcherSettings& settings() const { return settings_; }
  const lab::Process& process() const { return process_; }

 private:
  Loop* loop_;
  std::filesystem::path program_, folder_;
  DispatcherSettings settings_;
  lab::Process process_;
};

// The control address of the dispatcher on `ip`.
std::string ControlAddress(const std::string& ip);

}  // namespace lichenlug::standins

// lichenlug-lab-soak: runs random series of signals, restarts and configuration changes against real
// dispatchers on loopback, one seed after another. Exits with 0 if no rule was broken.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "lab/system/soak.h"

namespace {

using namespace lichenlug::standins;

void PrintReport(std::uint64_t seed, const SoakReport& report) {
  const PersistentClientFigures& clients = report.clients;
  std::cout << "seed " << seed << ": " << report.broken.size() << " broken; requests " << clients.sent
            << ", served " << clients.served << ", refused " << clients.refused << ", failed "
            << clients.failed << ", lost with a killed process " << clients.lost_with_dispatcher
            << " or a crashed runner " << clients.lost_with_runner << ", crossed a close "
            << clients.raced_with_close << "; SIGTERM " << report.terminated << ", SIGKILL " << report.killed
            << ", SIGHUP " << report.reloaded << ", changes " << report.changes << " (" << report.acknowledged
            << " acknowledged), runners drained " << report.runners_drained << ", crashed "
            << report.runners_crashed << '\n';
  for (const std::string& rule : report.broken) std::cout << "  " << rule << '\n';
  std::cout.flush();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("lichenlug-lab-soak: random signals, restarts and changes against real dispatchers");
  SoakPlan plan;
  plan.system.program = LICHENLUGD_PATH;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  double seconds = 20;
  std::string log_folder;
  app.add_option("--program", plan.system.program, "Path of the dispatcher program")->capture_default_str();
  app.add_option("--seed", first_seed, "The first seed")->capture_default_str();
  app.add_option("--seeds", seeds, "Number of seeds, run one after another")->capture_default_str();
  app.add_option("--seconds", seconds, "Duration of the disturbances of each seed in seconds")
      ->capture_default_str();
  app.add_option("--core", plan.system.core, "Number of dispatchers with disks")->capture_default_str();
  app.add_option("--diskless", plan.system.diskless, "Number of dispatchers without disks")
      ->capture_default_str();
  app.add_flag("!--core-apart", plan.system.core_serves_clients, "Dispatchers with disks serve no clients");
  app.add_option("--tolerated", plan.system.tolerated_losses, "Disks that may be lost at once")
      ->capture_default_str();
  app.add_option("--runners", plan.system.runners, "Number of runners")->capture_default_str();
  app.add_option("--clients", plan.clients, "Number of clients, each with one connection")
      ->capture_default_str();
  app.add_option("--logs", log_folder, "Directory for the logs of seeds that break a rule");
  CLI11_PARSE(app, argc, argv);
  plan.length = static_cast<lichenlug::Time>(seconds * lichenlug::kSecond);
  int failed = 0;
  for (int index = 0; index < seeds; ++index) {
    plan.seed = first_seed + static_cast<std::uint64_t>(index);
    Soak soak(plan);
    const SoakReport report = soak.Play();
    PrintReport(plan.seed, report);
    if (report.broken.empty()) continue;
    ++failed;
    if (!log_folder.empty())
      std::ofstream(log_folder + "/soak-" + std::to_string(plan.seed) + ".log") << soak.Logs();
  }
  std::cout << failed << " of " << seeds << " seeds broke a rule\n";
  return failed == 0 ? 0 : 1;
}

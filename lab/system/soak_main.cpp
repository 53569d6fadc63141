// lichenlug-lab-soak: plays drawn series of signals, restarts and changes against real dispatchers on
// loopback, one seed after another. Ends with 0 if no rule was broken.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "lab/system/soak.h"

namespace {

using namespace lichenlug::standins;

void Tell(std::uint64_t seed, const SoakReport& report) {
  const KeptClientFigures& clients = report.clients;
  std::cout << "seed " << seed << ": " << report.broken.size() << " broken; requests " << clients.sent
            << ", served " << clients.served << ", refused " << clients.refused << ", failed "
            << clients.failed << ", lost with a killed process " << clients.lost_with_dispatcher
            << " or a crashed runner " << clients.lost_with_runner << ", crossed a close " << clients.crossed
            << "; SIGTERM " << report.terminated << ", SIGKILL " << report.killed << ", SIGHUP "
            << report.reloaded << ", changes " << report.changes << " (" << report.acknowledged
            << " acknowledged), runners drained " << report.runners_drained << ", crashed "
            << report.runners_crashed << '\n';
  for (const std::string& what : report.broken) std::cout << "  " << what << '\n';
  std::cout.flush();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("lichenlug-lab-soak: drawn series of signals, restarts and changes against real dispatchers");
  SoakPlan plan;
  plan.system.program = LICHENLUGD_PATH;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  double seconds = 20;
  std::string log_folder;
  app.add_option("--program", plan.system.program, "The dispatcher's program")->capture_default_str();
  app.add_option("--seed", first_seed, "The first seed")->capture_default_str();
  app.add_option("--seeds", seeds, "How many seeds, one after another")->capture_default_str();
  app.add_option("--seconds", seconds, "How long a play is disturbed")->capture_default_str();
  app.add_option("--core", plan.system.core, "Dispatchers with disks")->capture_default_str();
  app.add_option("--diskless", plan.system.diskless, "Dispatchers without")->capture_default_str();
  app.add_flag("!--core-apart", plan.system.core_serves_clients, "Those with disks serve no clients");
  app.add_option("--tolerated", plan.system.tolerated_losses, "Disks that may be lost at once")
      ->capture_default_str();
  app.add_option("--runners", plan.system.runners, "Runners")->capture_default_str();
  app.add_option("--clients", plan.clients, "Clients, a connection each")->capture_default_str();
  app.add_option("--logs", log_folder, "A folder for the logs of plays that break a rule");
  CLI11_PARSE(app, argc, argv);
  plan.length = static_cast<lichenlug::Time>(seconds * lichenlug::kSecond);
  int failed = 0;
  for (int play = 0; play < seeds; ++play) {
    plan.seed = first_seed + static_cast<std::uint64_t>(play);
    Soak soak(plan);
    const SoakReport report = soak.Play();
    Tell(plan.seed, report);
    if (report.broken.empty()) continue;
    ++failed;
    if (!log_folder.empty())
      std::ofstream(log_folder + "/soak-" + std::to_string(plan.seed) + ".log") << soak.Logs();
  }
  std::cout << failed << " of " << seeds << " seeds broke a rule\n";
  return failed == 0 ? 0 : 1;
}

// lichenlug-lab fleet FILE: plays a fleet file with real processes on loopback and says what became of it.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>

#include "lab/commands/commands.h"
#include "lab/fleet/rig.h"

namespace lichenlug::lab {
namespace {

struct Options {
  std::string file, logs;
  std::uint64_t seed = 1;
  bool quiet = false, stay = false;
};

double Milliseconds(std::vector<Time> sorted, double share) {
  if (sorted.empty()) return 0;
  return static_cast<double>(
             sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))]) /
         1000;
}

int Play(const Options& o) {
  FleetFile fleet = ReadFleet(o.file);
  fleet.day.site.answer_slack += fleet.answer_slack;  // the machine's own lateness is not a dispatcher's
  const std::string folder =
      o.logs.empty()
          ? (std::filesystem::temp_directory_path() / ("lichenlug-fleet-" + std::to_string(o.seed))).string()
          : o.logs;
  const Site& site = fleet.day.site;
  std::printf("%s, seed %llu: %d dispatchers and %d boxes on loopback, %.0f s\n", o.file.c_str(),
              static_cast<unsigned long long>(o.seed), site.dispatchers, site.boxes,
              static_cast<double>(fleet.day.length) / kSecond);
  const auto began = std::chrono::steady_clock::now();
  const auto say = [&](const std::string& line) {
    const std::chrono::duration<double> at = std::chrono::steady_clock::now() - began;
    if (!o.quiet) std::printf("%6.2f s  %s\n", at.count(), line.c_str()), std::fflush(stdout);
  };
  Rig rig(fleet, o.seed, folder, say);
  FleetResult r = rig.Play();
  const ClientFigures& c = r.clients;
  std::ranges::sort(r.clients.latency);
  std::printf(
      "%llu jobs: %llu served (%.3f of all worth in time), %llu refused, %llu failed, %llu lost their way; "
      "ms at 50%% %.0f, 99%% %.0f\n",
      static_cast<unsigned long long>(c.handed_in), static_cast<unsigned long long>(c.served),
      c.worth > 0 ? c.worth_in_time / c.worth : 0, static_cast<unsigned long long>(c.refused),
      static_cast<unsigned long long>(c.failed), static_cast<unsigned long long>(c.unreached),
      Milliseconds(c.latency, 0.5), Milliseconds(c.latency, 0.99));
  std::printf("%llu runs at the boxes, %llu turned away, %llu probes, %llu lists, %llu datagrams\n",
              static_cast<unsigned long long>(r.runs),
              static_cast<unsigned long long>(r.attempts_turned_away),
              static_cast<unsigned long long>(r.probes), static_cast<unsigned long long>(r.lists),
              static_cast<unsigned long long>(r.datagrams));
  for (const std::string& crash : r.crashes) std::printf("CRASH: %s\n", crash.c_str());
  for (const auto& [rule, breach] : r.breaches) {
    std::printf("RULE %d BROKEN %llu times, first%s%s%s: %s\n", rule,
                static_cast<unsigned long long>(r.breach_count.at(rule)),
                breach.dispatcher >= 0 ? (" by n" + std::to_string(breach.dispatcher)).c_str() : "",
                breach.box.empty() ? "" : " at ", breach.box.c_str(), breach.what.c_str());
    for (const std::string& line : breach.history) std::printf("    %s\n", line.c_str());
  }
  if (r.breaches.empty() && r.crashes.empty()) {
    std::printf("no rule broken in %llu checks\n", static_cast<unsigned long long>(r.checks));
    if (!fleet.leave.empty()) std::printf("\n%s\n", fleet.leave.c_str());
    if (o.stay) {
      std::printf("the fleet stays up until Ctrl-C; hand in a job of your own:\n");
      rig.Stay();
    }
    return 0;
  }
  std::printf("logs: %s\nplay it again: lichenlug-lab fleet %s --seed %llu\n", folder.c_str(), o.file.c_str(),
              static_cast<unsigned long long>(o.seed));
  return 1;
}

}  // namespace

Command AddFleet(CLI::App* app) {
  auto o = std::make_shared<Options>();
  CLI::App* fleet = app->add_subcommand("fleet", "Play a fleet of real processes on loopback");
  fleet->add_option("file", o->file, "Fleet file (TOML)")->required();
  fleet->add_option("--seed", o->seed, "Seed; draws jobs and faults")->capture_default_str();
  fleet->add_option("--logs", o->logs,
                    "Folder for configurations and logs (default: one in the temporary folder)");
  fleet->add_flag("--stay", o->stay, "Keep the fleet up afterwards, for jobs handed in by hand");
  fleet->add_flag("--quiet", o->quiet, "Print the result only");
  return [fleet, o] { return *fleet ? Play(*o) : -1; };
}

}  // namespace lichenlug::lab

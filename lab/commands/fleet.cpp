// lichenlug-lab fleet FILE: plays a fleet file with real processes on loopback and says what became of it.
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <map>
#include <thread>

#include "lab/commands/commands.h"
#include "lab/fleet/rig.h"

namespace lichenlug::lab {
namespace {

struct Options {
  std::string file, logs;
  std::uint64_t seed = 1, last_seed = 0;
  int side_by_side = 4;
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
  rlimit descriptors{};  // a relay for each pair of dispatcher and box, both ways
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
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
  std::printf(
      "%llu runs at the boxes, %llu turned away, %llu probes, %llu lists, %llu watches, %llu datagrams\n",
      static_cast<unsigned long long>(r.runs), static_cast<unsigned long long>(r.attempts_turned_away),
      static_cast<unsigned long long>(r.probes), static_cast<unsigned long long>(r.lists),
      static_cast<unsigned long long>(r.watches), static_cast<unsigned long long>(r.datagrams));
  const CallBackFigures& b = r.call_backs;
  std::printf(
      "%llu tries again; %llu call-backs, %llu lost; on purpose %llu early, %llu late, %llu twice, "
      "%llu of another runner, %llu of no known id\n",
      static_cast<unsigned long long>(c.again), static_cast<unsigned long long>(b.told),
      static_cast<unsigned long long>(b.lost), static_cast<unsigned long long>(b.early),
      static_cast<unsigned long long>(b.late), static_cast<unsigned long long>(b.twice),
      static_cast<unsigned long long>(b.wrong), static_cast<unsigned long long>(b.unknown));
  for (const Harm::Of& h : r.harm)
    std::printf(
        "poison %s of object %llu: %llu tries, %llu attempts at boxes, at most %d at once; %d boxes "
        "killed, %d hung\n",
        site.classes[h.cls].name.c_str(), static_cast<unsigned long long>(h.key),
        static_cast<unsigned long long>(h.tries), static_cast<unsigned long long>(h.attempts),
        h.most_under_way, h.killed, h.hung);
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

// All seeds from `seed` to `last_seed`, each a play of its own process. The logs of those that failed are
// kept.
int PlayMany(const Options& o) {
  const std::filesystem::path folder = o.logs.empty()
                                           ? std::filesystem::temp_directory_path() / "lichenlug-fleet-many"
                                           : std::filesystem::path(o.logs);
  std::filesystem::create_directories(folder);
  const std::string self = std::filesystem::read_symlink("/proc/self/exe").string();
  std::map<std::uint64_t, Process> plays;
  std::uint64_t next = o.seed, played = 0, kept = 0;
  std::vector<std::uint64_t> failed;
  while (next <= o.last_seed || !plays.empty()) {
    while (next <= o.last_seed && static_cast<int>(plays.size()) < o.side_by_side) {
      const std::string own = (folder / std::to_string(next)).string();
      std::filesystem::remove_all(own);
      std::filesystem::create_directories(own);
      plays[next].Start({self, "fleet", o.file, "--quiet", "--seed", std::to_string(next), "--logs", own}, {},
                        own + "/said");
      ++next;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    for (auto it = plays.begin(); it != plays.end();) {
      auto& [seed, process] = *it;
      if (process.Running()) {
        ++it;
        continue;
      }
      const bool good = WIFEXITED(process.status()) && WEXITSTATUS(process.status()) == 0;
      const std::filesystem::path own = folder / std::to_string(seed);
      ++played, kept += good ? 1 : 0;
      if (good) {
        std::filesystem::remove_all(own);
      } else {
        failed.push_back(seed);
        std::printf("seed %llu failed: %s\n", static_cast<unsigned long long>(seed), (own / "said").c_str());
      }
      if (!o.quiet && played % 20 == 0)
        std::printf("%llu of %llu played, %zu failed\n", static_cast<unsigned long long>(played),
                    static_cast<unsigned long long>(o.last_seed - o.seed + 1), failed.size());
      std::fflush(stdout);
      it = plays.erase(it);
    }
  }
  std::printf("%llu plays of %s: %llu kept all rules, %zu failed\n", static_cast<unsigned long long>(played),
              o.file.c_str(), static_cast<unsigned long long>(kept), failed.size());
  return failed.empty() ? 0 : 1;
}

}  // namespace

Command AddFleet(CLI::App* app) {
  auto o = std::make_shared<Options>();
  CLI::App* fleet = app->add_subcommand("fleet", "Play a fleet of real processes on loopback");
  fleet->add_option("file", o->file, "Fleet file (TOML)")->required();
  fleet->add_option("--seed", o->seed, "Seed; draws jobs and faults")->capture_default_str();
  fleet->add_option("--to", o->last_seed, "Play all seeds from --seed to this one");
  fleet->add_option("--side-by-side", o->side_by_side, "How many of them at a time")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  fleet->add_option("--logs", o->logs,
                    "Folder for configurations and logs (default: one in the temporary folder)");
  fleet->add_flag("--stay", o->stay, "Keep the fleet up afterwards, for jobs handed in by hand");
  fleet->add_flag("--quiet", o->quiet, "Print the result only");
  return [fleet, o] { return !*fleet ? -1 : o->last_seed > 0 ? PlayMany(*o) : Play(*o); };
}

}  // namespace lichenlug::lab

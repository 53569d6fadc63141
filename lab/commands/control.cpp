// lichenlug-lab control: plays days of the model router's control plane in virtual time and checks
// invariants.
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/commands/commands.h"
#include "lab/control/day.h"
#include "lab/control/shrink.h"
#include "lab/control/world.h"

namespace lichenlug::lab {
namespace {

struct Options {
  std::string scenario;  // empty: days drawn from the seed
  std::uint64_t seed = 1;
  std::uint64_t days = 1;
  unsigned jobs = std::max(1u, std::thread::hardware_concurrency());
  bool list = false, shrink = true, quiet = false, log = false;
};

constexpr int kMaxShrinkPlays = 60;

control::Day MakeDay(const Options& options, std::uint64_t seed) {
  return options.scenario.empty() ? control::DrawDay(seed) : control::Scenario(options.scenario, seed);
}

void PrintDay(const control::Day& day, const control::Outcome& outcome) {
  std::printf("%s, seed %llu: %zu machines, %zu with a disk, %zu bytes of configuration\n", day.name.c_str(),
              static_cast<unsigned long long>(day.seed), day.machines(), day.stores, day.configuration_bytes);
  for (const control::Event& event : day.events) std::printf("  %s\n", control::Describe(event).c_str());
  std::printf(
      "  %.1f s, %zu changes and %zu drains acknowledged, %zu reads, %zu calls to the platform, %llu "
      "messages of "
      "%.2f MB, recovered after %.1f s, digest %016llx\n",
      static_cast<double>(outcome.elapsed) / kSecond, outcome.changes, outcome.drains, outcome.reads,
      outcome.platform_calls, static_cast<unsigned long long>(outcome.messages),
      static_cast<double>(outcome.bytes) / 1e6,
      static_cast<double>(outcome.recovered_after.value_or(-kSecond)) / kSecond,
      static_cast<unsigned long long>(outcome.digest));
  std::printf("  MB by kind:");
  for (const auto& [kind, bytes] : outcome.bytes_by_kind)
    std::printf(" %s %.2f", kind.c_str(), static_cast<double>(bytes) / 1e6);
  std::printf("\n");
  for (const control::Violation& violation : outcome.violations) {
    std::printf("  BROKEN %8.3f s %s: %s\n", static_cast<double>(violation.at) / kSecond,
                violation.checker.c_str(), violation.message.c_str());
  }
}

void PrintFailedDay(const Options& options, const control::Day& day, const control::Outcome& outcome) {
  PrintDay(day, outcome);
  if (!options.shrink) return;
  const control::ShrinkResult shrunk = control::Shrink(day, kMaxShrinkPlays);
  std::printf("shrunk in %d plays to:\n", shrunk.plays);
  PrintDay(shrunk.day, shrunk.outcome);
}

int PlayDays(const Options& options) {
  const auto began = std::chrono::steady_clock::now();
  std::atomic<std::uint64_t> next{0}, failed{0};
  std::mutex output;
  const auto work = [&] {
    for (std::uint64_t i = next++; i < options.days; i = next++) {
      const control::Day day = MakeDay(options, options.seed + i);
      const control::Outcome outcome = control::Play(day);
      if (outcome.violations.empty()) {
        const std::lock_guard lock(output);
        if (options.days == 1 && !options.quiet) PrintDay(day, outcome);
        continue;
      }
      ++failed;
      const std::lock_guard lock(output);
      PrintFailedDay(options, day, outcome);
      std::fflush(stdout);
    }
  };
  std::vector<std::thread> workers;
  const auto count = static_cast<unsigned>(std::min<std::uint64_t>(options.jobs, options.days));
  for (unsigned i = 0; i < count; ++i) workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  std::printf("%s: %llu days from seed %llu, %llu broken, %.1f s, %.0f days a minute\n",
              options.scenario.empty() ? "drawn" : options.scenario.c_str(),
              static_cast<unsigned long long>(options.days), static_cast<unsigned long long>(options.seed),
              static_cast<unsigned long long>(failed.load()), took.count(),
              static_cast<double>(options.days) * 60 / std::max(took.count(), 1e-3));
  return failed > 0 ? 1 : 0;
}

int Run(const Options& options) {
  if (options.list) {
    for (const std::string& name : control::ScenarioNames()) std::printf("%s\n", name.c_str());
    return 0;
  }
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = options.log ? 0 : google::GLOG_FATAL;
  if (options.scenario != "all") return PlayDays(options);
  int exit_code = 0;
  for (const std::string& name : control::ScenarioNames()) {
    Options one = options;
    one.scenario = name;
    exit_code = std::max(exit_code, PlayDays(one));
  }
  return exit_code;
}

}  // namespace

Command AddControl(CLI::App* app) {
  auto options = std::make_shared<Options>();
  CLI::App* command = app->add_subcommand(
      "control", "Play days of the model router's control plane in virtual time and check invariants");
  command->add_option("--scenario", options->scenario,
                      "a name of --list, or all; default: days drawn from the seed");
  command->add_option("--seed", options->seed, "seed of the first day");
  command->add_option("--days", options->days, "number of days, with consecutive seeds");
  command->add_option("--jobs", options->jobs, "days played in parallel")->check(CLI::Range(1, 256));
  command->add_flag("--list", options->list, "list the scenarios");
  command->add_flag("!--no-shrink", options->shrink, "do not reduce a failing day to fewer events");
  command->add_flag("--quiet", options->quiet, "print only failing days and the summary");
  command->add_flag("--log", options->log, "print the log of the nodes to standard error");
  return [command, options] { return *command ? Run(*options) : -1; };
}

}  // namespace lichenlug::lab

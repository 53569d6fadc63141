// lichenlug-lab-system: runs a small system of real processes on loopback, kills a dispatcher and drains a
// runner, prints the progress and fails if a rule of the protocol was broken.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <stdexcept>

#include "lab/system/sample.h"
#include "lab/system/system.h"

namespace {

using namespace lichenlug::standins;
using lichenlug::kMillisecond;
using lichenlug::kSecond;
using lichenlug::Time;

constexpr Time kStartTimeout = 20 * kSecond, kTimeout = 10 * kSecond;
constexpr std::size_t kKilledDispatcher = 1, kDrainedRunner = 2;  // indexes
constexpr int kRequestsOfEachKind = 8;

class Demo {
 public:
  explicit Demo(const SystemPlan& plan) : system_(plan), started_at_(system_.loop().Now()) {}

  int Run(Time length) {
    StartSystem();
    system_.clients().KeepUp(Requests());
    const Time part = length / 5;
    RunPhase(part, "clients keep 24 requests in flight: plain requests, streams, resumable streams");
    KillDispatcher(part);
    DrainRunner();
    RunPhase(2 * part, "requests continue without that runner");
    system_.clients().StopNew();
    Require(system_.loop().RunUntil([&] { return system_.clients().in_flight() == 0; }, kTimeout),
            "all requests in flight have ended");
    return Summary();
  }

 private:
  void Log(const std::string& line) {
    const double at = static_cast<double>(system_.loop().Now() - started_at_) / kSecond;
    std::printf("%6.2f s  %s\n", at, line.c_str());
    std::fflush(stdout);
  }

  void Require(bool holds, const std::string& what) {
    if (holds) return Log(what);
    std::fputs(system_.Logs().c_str(), stderr);
    throw std::runtime_error("timed out: " + what);
  }

  void RunPhase(Time length, const std::string& what) {
    const ClientFigures before = system_.clients().figures();
    Log(what);
    system_.loop().RunFor(length);
    const ClientFigures& now = system_.clients().figures();
    Log("  in this phase: " + std::to_string(now.served - before.served) + " served, " +
        std::to_string(now.refused - before.refused) + " refused, " +
        std::to_string(now.cut - before.cut + now.failed - before.failed) + " cut or failed, " +
        std::to_string(now.resumed - before.resumed) + " resumed");
  }

  void StartSystem() {
    Log("starting three dispatchers with disks, one without, and the runners");
    system_.StartDispatchers();
    system_.StartRunners();
    Require(system_.TakeFirstConfiguration(kStartTimeout), "the first configuration is accepted");
    Require(system_.WaitReady(kStartTimeout), "all dispatchers are ready");
  }

  static std::vector<ClientRequest> Requests() {
    std::vector<ClientRequest> requests;
    for (int number = 0; number < kRequestsOfEachKind; ++number) {
      for (const auto& [kind, path] : {std::pair{ClientKind::kPlain, sample::kPlainPath},
                                       {ClientKind::kStream, sample::kStreamPath},
                                       {ClientKind::kResumable, sample::kResumePath}}) {
        ClientRequest request;
        request.kind = kind;
        request.path = std::string(path) + "demo";
        request.model = number == 0 ? sample::kRareModel : sample::kBusyModel;
        request.key = number % 2 == 0 ? sample::kKey : sample::kOtherKey;
        request.events = 10 + 5 * number;
        requests.push_back(request);
      }
    }
    return requests;
  }

  void KillDispatcher(Time downtime) {
    Dispatcher& killed = system_.dispatcher(kKilledDispatcher);
    Require(killed.Kill(kTimeout), killed.name() + " is killed");
    RunPhase(downtime, "the remaining dispatchers serve without it");
    killed.Start();
    Log(killed.name() + " is restarted");
    Require(system_.WaitReady(kTimeout), killed.name() + " is ready again");
  }

  void DrainRunner() {
    Runner& runner = system_.runner(kDrainedRunner);
    runner.Drain(system_.dispatcher(0).control_address());
    Require(system_.loop().RunUntil([&] { return runner.drain_acknowledged(); }, kTimeout),
            "the drain of " + runner.settings().id + " is acknowledged by " + system_.dispatcher(0).name());
  }

  int Summary() {
    const ClientFigures& figures = system_.clients().figures();
    const auto& broken = system_.ledger().broken();
    std::printf(
        "\n%llu requests: %llu served, %llu refused, %llu cut, %llu failed; %llu attempts, %llu resumed\n",
        static_cast<unsigned long long>(figures.sent), static_cast<unsigned long long>(figures.served),
        static_cast<unsigned long long>(figures.refused), static_cast<unsigned long long>(figures.cut),
        static_cast<unsigned long long>(figures.failed), static_cast<unsigned long long>(figures.attempts),
        static_cast<unsigned long long>(figures.resumed));
    for (std::size_t index = 0; index < system_.runner_count(); ++index) {
      const Runner& runner = system_.runner(index);
      std::printf("  %s served %llu requests and accepted %llu orders\n", runner.settings().id.c_str(),
                  static_cast<unsigned long long>(runner.served()),
                  static_cast<unsigned long long>(runner.orders()));
    }
    std::printf("%zu usage reports accepted by the platform\n", system_.platform().usage().size());
    std::printf("%zu rules broken\n", broken.size());
    for (const std::string& what : broken) std::printf("  %s\n", what.c_str());
    return broken.empty() && figures.served > 0 ? 0 : 1;
  }

  System system_;
  Time started_at_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("lichenlug-lab-system: a small system of real processes on loopback");
  SystemPlan plan;
  plan.program = LICHENLUGD_PATH;
  double seconds = 15;
  app.add_option("--program", plan.program, "Path of the dispatcher program")->capture_default_str();
  app.add_option("--seconds", seconds, "Duration of the request load in seconds")->capture_default_str();
  app.add_option("--runners", plan.runners, "Number of runners")
      ->capture_default_str()
      ->check(CLI::Range(3, 100));
  CLI11_PARSE(app, argc, argv);
  try {
    return Demo(plan).Run(static_cast<Time>(seconds * kSecond));
  } catch (const std::exception& error) {
    std::cerr << "lichenlug-lab-system: " << error.what() << '\n';
    return 1;
  }
}

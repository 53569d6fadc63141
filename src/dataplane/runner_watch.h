// Distinguishes an unreachable machine from a runner that is only silent: while attempts wait for a runner
// that sends nothing, probes it by opening a TCP connection. The kernel of a running machine responds at
// once, even if the runner is busy; a machine that has lost power or network does not.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/deadlines.h"
#include "base/delay_estimate.h"

namespace lichenlug::dataplane {

class RunnerWatch {
 private:
  struct Runner;

 public:
  // Registers an attempt that waits for bytes from a runner, until destroyed.
  class Wait {
   public:
    Wait(std::shared_ptr<Runner> runner, std::function<void()> unreachable);
    ~Wait();
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;

    void OnBytes();  // bytes from the runner arrived

   private:
    friend class RunnerWatch;

    std::shared_ptr<Runner> runner_;
    std::function<void()> unreachable_;
  };

  // `connect_delays`: how long connections to runners take to be established. If this machine's own link is
  // saturated, all of them are slow, which does not indicate a fault of one runner's machine. Must outlive
  // the watch, which also records its probes there.
  RunnerWatch(asio::io_context& io, Deadlines* deadlines, DelayEstimate* connect_delays);
  ~RunnerWatch();

  // `unreachable` is called if the runner's machine does not respond; it may destroy any of the waits.
  std::unique_ptr<Wait> Begin(const std::string& runner_id, const asio::ip::tcp::endpoint& endpoint,
                              std::function<void()> unreachable);

 private:
  enum class Probe { kNone, kConnecting, kResponded };
  struct Runner {
    std::string id;
    asio::ip::tcp::endpoint endpoint;
    std::set<Wait*> waits;
    bool received_bytes = false;  // since the last check
    int silent_checks = 0;        // consecutive checks without bytes
    Probe probe = Probe::kNone;
    int checks_since_probe = 0;  // checks since the probe started
    Time probe_started_at = 0;
    std::unique_ptr<asio::ip::tcp::socket> socket;
  };

  void Arm();
  void CheckRunners();
  void CheckRunner(const std::shared_ptr<Runner>& runner);
  bool ProbeTimedOut(const Runner& runner) const;
  void StartProbe(const std::shared_ptr<Runner>& runner);
  static void NotifyUnreachable(Runner* runner);

  asio::io_context& io_;
  Deadlines* deadlines_;
  DelayEstimate* connect_delays_;
  std::unordered_map<std::string, std::shared_ptr<Runner>> runners_;  // by id; those with waits only
  Deadlines::Key check_timer_;
  Time check_due_ = 0;
};

}  // namespace lichenlug::dataplane

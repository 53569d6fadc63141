// Soak test of the model router: real dispatchers under random, overlapping series of signals, restarts and
// configuration changes, while clients keep their connections open. A seed determines the random choices of a
// run; what the simulated parts observe is checked against the rules of the protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/system/persistent_client.h"
#include "lab/system/system.h"

namespace lichenlug::standins {

struct SoakPlan {
  SystemPlan system;
  std::uint64_t seed = 1;
  int clients = 24;
  Time length = 20 * kSecond;
  Time timeout = 30 * kSecond;  // for each awaited condition; long because the machine may be busy
};

struct SoakReport {
  PersistentClientFigures clients;
  int terminated = 0, killed = 0, reloaded = 0, changes = 0, acknowledged = 0, runners_drained = 0,
      runners_crashed = 0;
  std::vector<std::string> broken;  // broken rules, one line each
};

class Soak {
 public:
  explicit Soak(const SoakPlan& plan);
  ~Soak();

  SoakReport Play();
  std::string Logs() const { return system_.Logs(); }

 private:
  // The state that the soak has put a dispatcher into; any other exit of the process is a failure.
  struct Node {
    enum class State { kUp, kEnding, kDown } state = State::kUp;
    Time due = 0;  // kEnding: deadline before SIGKILL; kDown: time of the restart
  };
  // One configuration change in flight; the same call is retried until a response is conclusive.
  struct PendingChange {
    std::int64_t edition = 0;
    Change change;
    Time deadline = 0;
  };

  void Require(bool holds, const std::string& rule);
  void StartClients();
  void Disturb();
  void UpdateNodes();
  // The index of a dispatcher in the front directory; none if it serves no clients.
  std::optional<std::size_t> FrontOf(std::size_t index);
  std::optional<std::size_t> PickRunning(bool spare_core);
  std::size_t CountCoreDown() const;

  void Terminate(std::size_t index);
  void Kill(std::size_t index);
  void Reload(std::size_t index);
  void ChangeConfiguration();
  void SendChange(const std::shared_ptr<PendingChange>& pending);
  void OnChangeResponse(const std::shared_ptr<PendingChange>& pending, const HttpMessage& answer);
  void DrainRunner();
  void CrashRunner();
  void RestoreAll();
  void CheckFinalState();

  std::uint64_t Draw(std::uint64_t bound) { return random_() % bound; }
  Time DrawTime(Time min, Time max);

  const SoakPlan plan_;
  std::mt19937_64 random_;
  System system_;
  std::unique_ptr<FrontDirectory> fronts_;
  std::vector<std::unique_ptr<PersistentClient>> clients_;
  std::vector<Node> nodes_;
  std::size_t runners_left_ = 0;
  std::int64_t last_edition_ = 1, newest_acknowledged_ = 1;
  int changes_in_flight_ = 0;
  SoakReport report_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::standins

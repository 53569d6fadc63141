// A soak of the model router: real dispatchers under drawn series of signals, restarts and changes that
// overlap, while clients keep their connections. One seed draws one play; what the stand-ins see is judged.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/system/kept_client.h"
#include "lab/system/system.h"

namespace lichenlug::standins {

struct SoakPlan {
  SystemPlan system;
  std::uint64_t seed = 1;
  int clients = 24;
  Time length = 20 * kSecond;
  Time timeout = 30 * kSecond;  // for what has to come to pass; long, as machines may be busy
};

struct SoakReport {
  KeptClientFigures clients;
  int terminated = 0, killed = 0, reloaded = 0, changes = 0, acknowledged = 0, runners_drained = 0,
      runners_crashed = 0;
  std::vector<std::string> broken;  // rules, one line each
};

class Soak {
 public:
  explicit Soak(const SoakPlan& plan);
  ~Soak();

  SoakReport Play();
  std::string Logs() const { return system_.Logs(); }

 private:
  // What the soak has done to a dispatcher, so that nothing else may have ended it.
  struct Node {
    enum class State { kUp, kEnding, kDown } state = State::kUp;
    Time due = 0;  // kEnding: SIGKILL would come; kDown: it is started again
  };
  // One change of the configuration on its way; the same call goes out until there is a clear answer.
  struct PendingChange {
    std::int64_t edition = 0;
    Change change;
    Time deadline = 0;
  };

  void Require(bool holds, const std::string& rule);
  void StartClients();
  void Step();
  void LookAtNodes();
  // Of a dispatcher, in the directory of those that serve clients; none where it does not.
  std::optional<std::size_t> FrontOf(std::size_t index);
  std::optional<std::size_t> DrawUp(bool spare_core);
  std::size_t CoreDown() const;

  void Terminate(std::size_t index);
  void Kill(std::size_t index);
  void Reload(std::size_t index);
  void ChangeConfiguration();
  void SendChange(const std::shared_ptr<PendingChange>& pending);
  void ChangeAnswered(const std::shared_ptr<PendingChange>& pending, const HttpMessage& answer);
  void DrainRunner();
  void CrashRunner();
  void BringBack();
  void JudgeEnd();

  std::uint64_t Draw(std::uint64_t bound) { return random_() % bound; }
  Time DrawTime(Time least, Time most);

  const SoakPlan plan_;
  std::mt19937_64 random_;
  System system_;
  std::unique_ptr<FrontDirectory> fronts_;
  std::vector<std::unique_ptr<KeptClient>> clients_;
  std::vector<Node> nodes_;
  std::size_t runners_left_ = 0;
  std::int64_t last_edition_ = 1, newest_acknowledged_ = 1;
  int changes_in_flight_ = 0;
  SoakReport report_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::standins

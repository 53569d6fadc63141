// A fleet on loopback: real dispatchers as processes, stand-in boxes, discovery and clients, a relay on every
// link, faults on a time line, and the rules judged from outside.
//
// Guards against what no test of one process can show: what many do together while parts of the system fail.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/fleet/clients.h"
#include "lab/fleet/tier.h"

namespace lichenlug::lab {

struct FleetResult {
  ClientFigures clients;
  std::map<int, Breach> breaches;  // by rule, the first of each
  std::map<int, std::uint64_t> breach_count;
  std::uint64_t checks = 0, runs = 0, attempts_turned_away = 0, toppled = 0, probes = 0, lists = 0,
                watches = 0, datagrams = 0;
  CallBackFigures call_backs;
  std::vector<Harm::Of> harm;        // of each poisoned fingerprint that came
  std::vector<std::string> crashes;  // a process that ended unasked, or never got ready
};

class Rig {
 public:
  // `folder` gets the configurations and the logs. Throws std::runtime_error when a program cannot be
  // started.
  Rig(const FleetFile& fleet, std::uint64_t seed, const std::string& folder, Say say);
  ~Rig();

  FleetResult Play();
  // After Play: keeps the fleet up for jobs handed in by hand, until SIGINT or SIGTERM; says how.
  void Stay();

 private:
  void Look();  // every few milliseconds
  void Begin(const FleetFault& fault);
  void End(const FleetFault& fault);
  void BoxBack(int b);
  void BoxFell(int b, const Poison& poison);
  void Report();  // once a second, in plain words
  void At(Time when, std::function<void()> what);

  const FleetFile& fleet_;
  const Site& site_;
  const std::uint64_t seed_;
  const std::string folder_;
  Say say_;
  std::vector<FleetFault> faults_;
  asio::io_context io_;
  Clock clock_;
  Deadlines deadlines_{io_, clock_};
  std::unique_ptr<Links> links_;
  std::unique_ptr<Jobs> jobs_;
  std::unique_ptr<Tier> tier_;
  std::unique_ptr<Boxes> boxes_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Clients> clients_;
  FleetResult result_;
  Time began_ = 0, started_ = 0;  // when clients come; when the processes were started
  bool over_ = false;
};

}  // namespace lichenlug::lab

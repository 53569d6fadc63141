// The dispatchers of a play: processes, each with a relay on every link of its own, started, ended, paused
// and told to read their configuration again by their ids.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/fleet/discovery.h"
#include "lab/fleet/process.h"
#include "lab/fleet/relay.h"

namespace lichenlug::lab {

using Say = std::function<void(const std::string& line)>;

class Tier {
 public:
  Tier(asio::io_context& io, Deadlines* deadlines, Links* links, Jobs* jobs, const FleetFile& fleet,
       std::uint64_t seed, std::string folder, Say say);
  ~Tier();

  void Connect(const Boxes& boxes, const Discovery* discovery);  // lays the relays
  // `job_rate`: jobs a second that fill the site. Throws std::runtime_error when a program cannot be started.
  void StartAll(double job_rate);
  void Look();  // every few milliseconds: processes that ended, cuts
  bool AllReady() const;
  void TellUnready();  // each that is not ready is a crash

  // Faults.
  void Kill(int n);
  void Terminate(int n);
  void Pause(int n, Time length);
  void Resume(int n);
  void MoveDiscovery(int n);  // to a new address, told by SIGHUP; nobody listens at the old one soon
  void StartAgain(int n);     // once the one before has ended
  void BoxIsBack(int b);      // it knows nothing of the connections that were open

  bool InFront(int n) const;  // the front sends there, as far as it knows
  bool Runs(int n) const { return dispatchers_[n].wanted && !dispatchers_[n].ending; }
  Tcp::endpoint ForClients(int n) const { return dispatchers_[n].clients->address(); }
  Tcp::endpoint ForCallBacks(int n, int b) const { return dispatchers_[n].call_backs[b]->address(); }
  Tcp::endpoint ToBox(int n, int b) const { return dispatchers_[n].boxes[b]->address(); }
  const PeerRelay* peers() const { return peers_.get(); }
  const std::vector<std::string>& crashes() const { return crashes_; }

 private:
  struct Dispatcher {
    Process process;
    std::unique_ptr<KeptAddress> kept;
    Tcp::endpoint listen;
    Udp::endpoint peer_listen;
    std::string config, log;
    bool ready = false, wanted = true, ending = false;  // ending: it was asked to, with TERM
    Time front_notices = 0;  // it has died, and the front knows from then on; 0: it is taken for alive
    int starts = 0;
    std::unique_ptr<TcpRelay> clients;
    std::vector<std::unique_ptr<TcpRelay>> discovery;          // the last is where it is now
    std::vector<std::unique_ptr<TcpRelay>> boxes, call_backs;  // by box
    HttpServer::Connection asking;                             // is it ready?
  };

  void Start(int n);
  void WriteConfig(int n);
  void AskReady(int n);
  void Died(int n);
  void LayDiscovery(int n);

  asio::io_context& io_;
  Deadlines* deadlines_;
  Links* links_;
  Jobs* jobs_;
  const FleetFile& fleet_;
  const Site& site_;
  const std::uint64_t seed_;
  const std::string folder_;
  Say say_;
  const Discovery* discovery_ = nullptr;
  double job_rate_ = 0;
  bool began_ = false;  // all were ready once
  std::vector<Dispatcher> dispatchers_;
  std::unique_ptr<PeerRelay> peers_;
  std::vector<std::string> crashes_;  // a process that ended unasked, or never got ready
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab

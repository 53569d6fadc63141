// Open-loop clients on real sockets: each job is handed in when the workload says, whatever became of those
// before, and its latency counts from that moment. They keep connections, and open more when all are busy.
// Whom it does no harm, and whoever is stubborn, tries again: each try is a request of its own to the judge.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "lab/fleet/http_server.h"
#include "lab/fleet/jobs.h"

namespace lichenlug::lab {

struct ClientFigures {
  std::uint64_t handed_in = 0, served = 0, in_time = 0, refused = 0, failed = 0;
  std::uint64_t unreached = 0;  // no dispatcher took it, or its dispatcher died, or its link met a fault
  std::uint64_t again = 0;      // tries after the first
  double worth = 0, worth_in_time = 0;
  std::vector<Time> latency;  // of the served ones
};

class Clients {
 public:
  using Address = std::function<asio::ip::tcp::endpoint(int n)>;
  using Is = std::function<bool(int n)>;

  // `in_front`: the front sends there, as far as it knows; `runs`: there is a process.
  Clients(asio::io_context& io, Deadlines* deadlines, const FleetFile& fleet, double capacity,
          std::uint64_t seed, Jobs* jobs, Address reached, Is in_front, Is runs);
  ~Clients();

  void Start(Time now);
  bool Done() const { return no_more_ && open_ == 0; }
  double rate() const { return workload_.rate(); }
  const ClientFigures& figures() const { return figures_; }
  // Served and in time by second of the play, for plain words while it goes on.
  ClientFigures TakeRecent() { return std::exchange(recent_, {}); }

 private:
  struct Call {                     // one try
    JobSpec spec;                   // its number is the try's
    int dispatcher = 0, tries = 0;  // tries: those before it
    HttpServer::Connection connection;
    bool kept = false, begun = false, over = false;
    Time due = 0, answer_by = 0, began = 0;  // due: when its client first wanted it
    Deadlines::Key alarm;
  };
  using Handle = std::shared_ptr<Call>;

  void Next();
  void HandIn(const JobSpec& spec);
  void Try(const JobSpec& spec, int tries, int before);  // before: the dispatcher of the last try, or -1
  int Choose(int before);                                // -1: none is in front
  void Send(const Handle& call);
  void Write(const Handle& call);
  void Answered(const Handle& call, const HttpMessage& answer);
  void Served(const Handle& call, const HttpMessage& answer);
  void Doubt(const Handle& call);  // was it a false word that ended it?
  void Broke(const Handle& call, bool never_up);
  void Keep(int n, const HttpServer::Connection& connection);
  void End(const Handle& call, Checker::Answer answer);
  void Lost(const Handle& call);  // it was owed an answer and has none
  // The client tries again, or leaves it at that.
  void After(const Handle& call, std::uint64_t ClientFigures::*what, bool harmless, Time come_back);
  void Count(std::uint64_t ClientFigures::*what) { ++(figures_.*what), ++(recent_.*what); }

  asio::io_context& io_;
  Deadlines* deadlines_;
  const FleetFile& fleet_;
  const Day& day_;
  Jobs* jobs_;
  Address reached_;
  Is in_front_, runs_;
  Workload workload_;
  Random random_;
  const std::string play_;  // eight digits that all call ids of this play begin with
  std::vector<std::vector<HttpServer::Connection>> idle_;  // by dispatcher
  Time began_ = 0;
  std::uint64_t open_ = 0;
  bool no_more_ = false;
  ClientFigures figures_, recent_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab

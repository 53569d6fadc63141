// The rig of the scripts of the second review: real dispatchers with the settings of a small deployment, and
// stand-ins of runners, platform and clients. What was sent, answered and run is written to record.txt.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/fleet/http_server.h"
#include "lab/system/dispatcher.h"
#include "lab/system/http_call.h"
#include "lab/system/loop.h"

namespace review {

using Json = nlohmann::json;
using lichenlug::HttpMessage;
using lichenlug::kMillisecond;
using lichenlug::kSecond;
using lichenlug::Time;
using lichenlug::standins::Call;
using lichenlug::standins::CallAndWait;
using lichenlug::standins::Dispatcher;
using lichenlug::standins::DispatcherSettings;
using lichenlug::standins::HttpCall;
using lichenlug::standins::Loop;

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline constexpr char kHost[] = "desk.example", kDesk[] = "desk", kTenant[] = "alder",
                      kKey[] = "key-of-alder";

// The times of the small deployments of the users' pages, in the rig's units.
lichenlug::standins::DeploymentTimes SmallDeployment();

std::string HeaderOf(const HttpMessage& message, const char* name);

// As Call(), but with the host of a route.
void CallHost(Loop* loop, const std::string& address, const std::string& host, const HttpCall& call,
              std::function<void(HttpMessage)> done);

// Writes the lines of record.txt, with the time since the start.
class Record {
 public:
  explicit Record(Loop* loop);
  void Line(const std::string& text);

 private:
  Loop* loop_;
  Time began_;
  std::ofstream file_;
};

// A runner that speaks as the pages say: it reports at every report_ms, to the next dispatcher if a report is
// not acknowledged within a second, and answers requests after `work`.
class DeskRunner {
 public:
  struct Settings {
    std::string id, service = kDesk, zone;
    int berths = 6;
    Time work = 15 * kMillisecond;
    Time report_interval = 1200 * kMillisecond;
  };
  struct Arrival {
    Time at = 0;
    std::string try_id;
  };

  DeskRunner(Loop* loop, Settings settings, Record* record);

  std::string address() const;
  void Report(std::vector<std::string> control_addresses);  // from now on, regularly
  void StopReports() { reports_ = false; }
  std::string Body(const std::string& condition);  // of the next report; counts the call
  bool acknowledged() const { return acknowledged_; }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  const Settings& settings() const { return settings_; }

 private:
  void SendReport();
  void Serve(const lichenlug::lab::HttpServer::Connection& connection, const HttpMessage& request);

  Loop* loop_;
  Settings settings_;
  Record* record_;
  std::vector<std::string> dispatchers_;
  std::size_t next_ = 0;
  std::string report_to_;
  std::uint64_t call_count_ = 0;
  bool reports_ = false, acknowledged_ = false;
  std::vector<Arrival> arrivals_;
  asio::steady_timer timer_;
  lichenlug::lab::HttpServer server_;
};

// A platform that takes every call; `on_call` sees each with its arrival.
class OpenPlatform {
 public:
  struct Arrived {
    Time at = 0;
    std::string path, holder;
    std::uint64_t fence = 0;
    Json body;
  };
  OpenPlatform(Loop* loop, Record* record);
  std::string address() const;
  const std::vector<Arrived>& calls() const { return calls_; }

 private:
  Loop* loop_;
  Record* record_;
  std::vector<Arrived> calls_;
  lichenlug::lab::HttpServer server_;
};

// Dispatchers on their own loopback addresses, started by the command of the deploy file.
class Deployment {
 public:
  struct Plan {
    int core = 3, diskless = 0;
    bool fence_checked = true;
    std::vector<std::string> platforms;  // by dispatcher; the last stands for the rest
  };
  Deployment(Loop* loop, const Plan& plan, Record* record);
  ~Deployment();

  void StartAll(bool first_run);
  void Start(std::size_t index, bool first_run);
  bool TakeConfiguration(const Json& configuration, std::int64_t if_match, Time timeout);
  bool WaitReady(Time timeout);
  Json Status(std::size_t index);
  std::size_t size() const { return dispatchers_.size(); }
  Dispatcher& at(std::size_t index) { return *dispatchers_[index]; }
  std::vector<std::string> ControlAddresses() const;
  std::vector<std::string> FrontAddresses() const;
  std::string Logs() const;

 private:
  std::string SettingsOf(std::size_t index, bool first_run) const;

  Loop* loop_;
  Plan plan_;
  Record* record_;
  std::filesystem::path folder_;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
};

// One service without models, one route of requests that may run at most once, one tenant.
Json DeskConfiguration(std::int64_t edition);

// Sends a request to a front every `interval`, to each in turn, on a new connection.
class DeskClients {
 public:
  struct Sent {
    Time at = 0;
    std::size_t front = 0;
    int status = 0;  // 0: no answer
    bool ended = false;
  };
  DeskClients(Loop* loop, std::vector<std::string> fronts, Record* record);
  void Begin(Time interval);
  void Stop() { stopped_ = true; }
  const std::map<std::string, Sent>& sent() const { return sent_; }

 private:
  void SendNext();

  Loop* loop_;
  std::vector<std::string> fronts_;
  Record* record_;
  Time interval_ = 0;
  std::size_t number_ = 0;
  std::uint64_t first_id_;
  bool stopped_ = false;
  std::map<std::string, Sent> sent_;  // by try id
  asio::steady_timer timer_;
};

// Whether the disruption is to be played: not with TROUBLE=0.
bool HasTrouble();

}  // namespace review

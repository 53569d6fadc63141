// A small deployment for the review's scripts: dispatchers (`lichenlugd`), a platform that takes every call,
// and the operator's first configuration.
#pragma once

#include "rig.h"

namespace review {

inline constexpr int kFrontPort = 8405, kReadyPort = 8406, kControlPort = 8407;
inline constexpr int kRunnerPort = 8068, kPlatformPort = 8408;
inline const std::vector<std::string> kZones = {"hall-a", "hall-b", "hall-c"};

// Addresses 127.A.B.x that no other run uses at the moment.
inline std::string FreeNetwork() {
  static int next = static_cast<int>(::getpid());
  for (const int last = next + 20000; next < last;) {
    const int number = next++;
    const std::string network =
        "127." + std::to_string(100 + number / 250 % 100) + "." + std::to_string(number % 250) + ".";
    const int listener = Listen(network + "1", kControlPort);
    if (listener < 0) continue;
    ::close(listener);
    return network;
  }
  throw std::runtime_error("no free loopback addresses");
}

// The size of a deployment, and the bounds of its settings.
struct Plan {
  int dispatchers = 4, stores = 3;  // the first ones have a disk
  int tolerated_losses = 1;
  int memory_mb = 260;
  int contact_ms = 3000, receipt_ms = 4000, catch_up_s = 4, drain_ms = 2000, edition_ms = 2000;
  int stretch_ms = 5000, retry_slack = 60, recover_s = 12, pass_ms = 120;
};
inline constexpr Plan kKeteDispatch{};
// The bounds of kete-dispatch-grown, with fewer machines.
inline constexpr Plan kKeteDispatchGrown{.dispatchers = 7,
                                         .stores = 5,
                                         .tolerated_losses = 2,
                                         .memory_mb = 160,
                                         .contact_ms = 4000,
                                         .receipt_ms = 5000,
                                         .catch_up_s = 6,
                                         .drain_ms = 2500,
                                         .edition_ms = 2500,
                                         .stretch_ms = 6000,
                                         .retry_slack = 190,
                                         .recover_s = 15,
                                         .pass_ms = 200};

struct Deployment {
  std::string program, folder, network;
  Plan plan = kKeteDispatch;
  std::vector<int> seeds = {0, 1, 2};
  std::vector<Process> processes{static_cast<std::size_t>(plan.dispatchers)};

  std::string Ip(int index) const { return network + std::to_string(index + 1); }
  std::string PlatformIp() const { return network + "200"; }
  std::string RunnerIp(int index) const { return network + std::to_string(100 + index); }

  std::string Settings(int index, bool first_run) const {
    const std::string ip = Ip(index), zone = kZones[static_cast<std::size_t>(index) % kZones.size()];
    const bool has_disk = index < plan.stores;
    std::string seed_stations;
    for (const int seed : seeds)
      seed_stations +=
          (seed_stations.empty() ? "\"" : ", \"") + Ip(seed) + ":" + std::to_string(kControlPort) + "\"";
    const auto dock = [&](int port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
    std::string text = "{\"station\": \"front-" + zone + "-" + std::to_string(index + 1) + "\", ";
    text +=
        "\"duty_role\": \"dispatcher\", \"machine_class\": \"front\", \"serves\": [\"front\", \"control\"], ";
    text += "\"ip\": \"" + ip + "\", \"zone\": \"" + zone + "\", \"region\": \"tamaki\", ";
    text += R"("zones": {"hall-a": "tamaki", "hall-b": "tamaki", "hall-c": "tamaki"}, )";
    text += "\"docks\": {\"front_dock\": " + dock(kFrontPort) + ", \"ready_dock\": " + dock(kReadyPort) +
            ", \"control_dock\": " + dock(kControlPort) + "}, \"internal_ports\": [7660, 7675], ";
    text +=
        "\"seed_stations\": [" + seed_stations + "], \"first_run\": " + (first_run ? "true" : "false") + ", ";
    text += std::string("\"counts_for_quorum\": ") + (has_disk ? "true" : "false") + ", ";
    text += R"("parcel_limits": {"cpu_share": 0.45, "cores": 1, "memory_mb": )" +
            std::to_string(plan.memory_mb) +
            R"(, "file_handles": 4100, "link_mbps": 1000.0, "disk_mb": 64}, )";
    text += "\"store_dir\": \"" + (has_disk ? Store(index) : "") + "\", ";
    const auto number = [](const std::string& name, int value) {
      return "\"" + name + "\": " + std::to_string(value) + ", ";
    };
    text += R"("discovery": "register", "entry": "vip", "report_ms": 1200, )"
            R"("regulations_in_force": ["base", "drain", "config", "cost", "retry", "recover", "fleet", )"
            R"("stream", "engine", "tenants", "leader"], "tolerated_losses": {)" +
            number("machines", plan.tolerated_losses) + R"("zones": 0, "regions": 0}, "timetable": {)";
    text += number("contact_ms", plan.contact_ms) + number("receipt_ms", plan.receipt_ms) +
            number("catch_up_s", plan.catch_up_s) + number("drain_ms", plan.drain_ms) +
            number("edition_ms", plan.edition_ms) + number("stretch_ms", plan.stretch_ms) +
            number("retry_slack", plan.retry_slack) + number("recover_s", plan.recover_s) +
            number("pass_ms", plan.pass_ms);
    text += R"("seed_lag_s": 3, "reuse_after_s": 2, "grace_s": 8, "loss_slack_ms": 200, "fallback_ms": 250, )"
            R"("revocation_closed": false, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, )"
            R"("fence_checked": true, "lease_ms": 3000, "thaw_ms": 300, "report_window_s": 5, )"
            R"("usage_error": 0.05, "usage_late_s": 10, "again_s": 0, "origin_window_s": 5, )"
            R"("origin_overage": 1.1}, )";
    text += "\"carrier_api\": {\"address\": \"" + PlatformIp() + ":" + std::to_string(kPlatformPort) +
            "\", \"rate_per_s\": 50.0, \"duties\": [\"usage\", \"fleet\"], \"duty_rate_s\": 50.0}}\n";
    return text;
  }

  std::string Store(int index) const { return folder + "/" + std::to_string(index) + "/store"; }

  void Start(int index, bool first_run) {
    const std::string own = folder + "/" + std::to_string(index);
    std::filesystem::create_directories(own + "/store");
    std::ofstream(own + "/node.json", std::ios::trunc) << Settings(index, first_run);
    processes[static_cast<std::size_t>(index)].Start({program}, {"LICHENLUG_BOOT=" + own + "/node.json"},
                                                     own + "/log");
  }

  // Answers every call of the platform's with 200.
  bool StartPlatform() const {
    const int listener = Listen(PlatformIp(), kPlatformPort);
    if (listener < 0) return false;
    Serve(listener, [](Connection* connection) {
      while (ReadRequest(connection, Clock::now() + Milliseconds(60000)))
        if (!connection->Send(PlainAnswer(200, "", ""))) return;
    });
    return true;
  }

  // The operator sends the call to one dispatcher after the other until it is acknowledged.
  bool Put(const std::string& configuration, int if_match, int timeout_ms) const {
    const auto until = Clock::now() + Milliseconds(timeout_ms);
    for (int next = 0; Clock::now() < until; ++next) {
      const Answer answer = Call(Ip(next % plan.dispatchers), kControlPort, "PUT", "/-/timetable",
                                 "If-Match: " + std::to_string(if_match) + "\r\n", configuration, 1000);
      if (answer.status == 200) return true;
      Sleep(200);
    }
    return false;
  }

  bool WaitReady(int timeout_ms) const {
    const auto until = Clock::now() + Milliseconds(timeout_ms);
    for (int index = 0; index < plan.dispatchers;) {
      if (Call(Ip(index), kReadyPort, "GET", "/-/ready", "", "", 1000).status == 200) {
        ++index;
      } else if (Clock::now() > until) {
        return false;
      } else {
        Sleep(100);
      }
    }
    return true;
  }
};

}  // namespace review

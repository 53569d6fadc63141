// A runner deregisters and serves on; every process of the core is killed and comes back; a report that the
// runner had sent before arrives late. Do requests reach the runner longer than drain_ms after the
// acknowledgement of its end?
#include <iostream>
#include <optional>

#include "rig.h"

namespace {

using namespace review;

constexpr Time kStart = 30 * kSecond, kDrain = 2 * kSecond, kContact = 3 * kSecond;
constexpr Time kLate = 4 * kSecond;  // of the report, behind the acknowledgement of the end

int Play() {
  Loop loop;
  Record record(&loop);
  OpenPlatform platform(&loop, &record);
  Deployment::Plan plan;
  plan.platforms = {platform.address()};
  // The dispatchers go first at the end: while they end, the others may still get answers.
  std::optional<DeskClients> clients;
  DeskRunner leaving(&loop, {.id = "i-leaving", .zone = "hall-a"}, &record);
  DeskRunner staying(&loop, {.id = "i-staying", .zone = "hall-b"}, &record);
  Deployment system(&loop, plan, &record);
  system.StartAll(true);
  if (!system.TakeConfiguration(DeskConfiguration(1), 0, kStart)) return kCouldNotRun;
  leaving.Report(system.ControlAddresses());
  staying.Report(system.ControlAddresses());
  if (!system.WaitReady(kStart)) return kCouldNotRun;
  loop.RunUntil([&] { return leaving.acknowledged() && staying.acknowledged(); }, kStart);
  loop.RunFor(12 * kSecond);
  clients.emplace(&loop, system.FrontAddresses(), &record);
  clients->Begin(40 * kMillisecond);
  loop.RunFor(3 * kSecond);

  // The report that will be late, and the end of the registration behind it.
  leaving.StopReports();
  const std::string late = leaving.Body("ready");
  HttpCall leave;
  leave.method = "DELETE";
  leave.path = "/-/runners/i-leaving";
  const HttpMessage answer = CallAndWait(&loop, system.at(0).control_address(), leave);
  record.Line("the end of i-leaving is answered " + std::to_string(answer.status));
  if (answer.status / 100 != 2) return kCouldNotRun;
  const Time acknowledged = loop.Now();
  Time last_trouble = 0;
  if (HasTrouble()) {
    loop.RunFor(300 * kMillisecond);
    for (std::size_t index = 0; index < system.size(); ++index) {
      record.Line("kill " + system.at(index).name());
      if (!system.at(index).Kill(kStart)) return kCouldNotRun;
    }
    loop.RunFor(500 * kMillisecond);
    system.StartAll(false);
    last_trouble = loop.Now();
  }
  loop.RunFor(acknowledged + kLate - loop.Now());
  HttpCall report;
  report.method = "PUT";
  report.path = leave.path;
  report.headers = {{"Content-Type", "application/json"}};
  report.body = late;
  const HttpMessage late_answer = CallAndWait(&loop, system.at(1).control_address(), report);
  record.Line("the late report of i-leaving is answered " + std::to_string(late_answer.status));
  loop.RunFor(8 * kSecond);
  clients->Stop();
  loop.RunFor(2 * kSecond);

  int broken = 0, after = 0;
  for (const DeskRunner::Arrival& arrival : leaving.arrivals()) {
    if (arrival.at <= acknowledged + kDrain) continue;
    ++after;
    // A fault that took most of the core: twice contact_ms.
    if (arrival.at > last_trouble + 2 * kContact) ++broken;
  }
  std::cout << after << " requests reached the runner later than drain_ms after its end was acknowledged, "
            << broken << " of them from machines in touch\n";
  record.Line(std::to_string(broken) + " requests from machines in touch came later than drain_ms");
  if (staying.arrivals().empty()) return kCouldNotRun;
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  try {
    return Play();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kCouldNotRun;
  }
}

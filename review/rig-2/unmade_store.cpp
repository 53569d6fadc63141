// First start: one process is killed before it has made its store; the others acknowledge the first
// configuration; then one disk is lost. Can the configuration still be read once all have been back for
// recover_s?
#include <iostream>

#include "rig.h"

namespace {

using namespace review;

constexpr Time kStart = 30 * kSecond, kRecover = 12 * kSecond, kReading = 20 * kSecond;
constexpr std::size_t kUnmade = 0, kWiped = 1, kThird = 2;

// The configuration as the operator reads it back, from any dispatcher; asked again and again.
Json ReadBack(Loop* loop, Deployment* system, Record* record) {
  const Time deadline = loop->Now() + kReading;
  int last = -1;
  for (std::size_t turn = 0; loop->Now() < deadline; ++turn) {
    HttpCall call;
    call.path = "/-/timetable";
    Dispatcher& asked = system->at(turn % system->size());
    const HttpMessage answer = CallAndWait(loop, asked.control_address(), call);
    if (answer.status != last)
      record->Line("a read gets " + std::to_string(answer.status) + " from " + asked.name());
    last = answer.status;
    if (answer.status == 200) return Json::parse(answer.body, nullptr, false);
    loop->RunFor(100 * kMillisecond);
  }
  return {};
}

int Play() {
  Loop loop;
  Record record(&loop);
  OpenPlatform platform(&loop, &record);
  Deployment::Plan plan;
  plan.platforms = {platform.address()};
  Deployment system(&loop, plan, &record);
  const bool trouble = HasTrouble();
  for (const std::size_t index : {kWiped, kThird, kUnmade}) system.Start(index, true);
  if (trouble) {
    record.Line("kill " + system.at(kUnmade).name());
    if (!system.at(kUnmade).Kill(kStart)) return kCouldNotRun;
    const bool made = !std::filesystem::is_empty(system.at(kUnmade).store_folder());
    record.Line(std::string("its store folder ") + (made ? "holds files" : "is empty"));
    if (made) return kCouldNotRun;
  }
  if (!system.TakeConfiguration(DeskConfiguration(1), 0, kStart)) return kCouldNotRun;
  loop.RunFor(500 * kMillisecond);
  if (trouble) {
    record.Line("kill " + system.at(kWiped).name() + ", its disk is lost");
    if (!system.at(kWiped).Kill(kStart)) return kCouldNotRun;
    system.at(kWiped).WipeStore();
    system.Start(kUnmade, false);
    system.Start(kWiped, false);
  }
  loop.RunFor(kRecover);
  for (std::size_t index = 0; index < system.size(); ++index)
    if (!system.at(index).Running()) return kCouldNotRun;
  for (std::size_t index = 0; index < system.size(); ++index) {
    const Json status = system.Status(index);
    record.Line(system.at(index).name() + (status.value("ready", false) ? " is ready" : " is not ready") +
                ", edition " + std::to_string(status.value("edition", 0)));
  }
  HttpCall change;
  change.method = "PUT";
  change.path = "/-/timetable";
  change.headers = {{"Content-Type", "application/json"}, {"If-Match", "1"}};
  change.body = DeskConfiguration(2).dump();
  for (std::size_t index = 0; index < system.size(); ++index) {
    const HttpMessage answer = CallAndWait(&loop, system.at(index).control_address(), change);
    record.Line("a change gets " + std::to_string(answer.status) + " from " + system.at(index).name());
  }
  const Json read = ReadBack(&loop, &system, &record);
  const bool held = read.is_object() && read.value("edition", 0) >= 1;
  std::cout << (held ? "the acknowledged configuration is read back\n"
                     : "the acknowledged configuration is not read back from any dispatcher\n");
  record.Line(held ? "held" : "broken: the acknowledged configuration is not read back");
  return held ? kHeld : kBroken;
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

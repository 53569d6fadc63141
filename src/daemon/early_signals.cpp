#include "daemon/early_signals.h"

#include <array>
#include <atomic>
#include <csignal>

namespace lichenlug::daemon {
namespace {

constexpr std::array kSignals = {SIGTERM, SIGINT, SIGHUP};

std::atomic<bool>& RecordedSignal(int signal) {
  static std::array<std::atomic<bool>, NSIG> recorded;  // lock-free, so a signal handler may set it
  return recorded.at(static_cast<std::size_t>(signal));
}

void RecordSignal(int signal) { RecordedSignal(signal) = true; }

}  // namespace

void InstallSignalRecorders() {
  RecordedSignal(SIGTERM) = false;  // constructs the static before a handler can run
  struct sigaction action {};
  action.sa_handler = RecordSignal;
  action.sa_flags = SA_RESTART;
  for (const int signal : kSignals) sigaction(signal, &action, nullptr);
}

bool ConsumeRecordedSignal(int signal) { return RecordedSignal(signal).exchange(false); }

}  // namespace lichenlug::daemon

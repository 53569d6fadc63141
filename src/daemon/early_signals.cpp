#include "daemon/early_signals.h"

#include <array>
#include <atomic>
#include <csignal>

namespace lichenlug::daemon {
namespace {

constexpr std::array kSignals = {SIGTERM, SIGINT, SIGHUP};

std::atomic<bool>& Remembered(int signal) {
  static std::array<std::atomic<bool>, NSIG> remembered;  // lock-free, so a signal handler may set it
  return remembered.at(static_cast<std::size_t>(signal));
}

void Remember(int signal) { Remembered(signal) = true; }

}  // namespace

void RememberSignals() {
  Remembered(SIGTERM) = false;  // constructs the static before a handler can run
  struct sigaction action {};
  action.sa_handler = Remember;
  action.sa_flags = SA_RESTART;
  for (const int signal : kSignals) sigaction(signal, &action, nullptr);
}

bool TakeRemembered(int signal) { return Remembered(signal).exchange(false); }

}  // namespace lichenlug::daemon

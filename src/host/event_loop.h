// Event loop of the control plane's thread: libevent, tasks posted from other threads, and one timer.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"

struct event;
struct event_base;

namespace lichenlug::host {

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() { return base_; }
  static Time Now();  // the steady clock, microseconds

  void Post(std::function<void()> task);  // from any thread; tasks run in order on the loop's thread
  // Calls `on_timer` once, at `at`. A later SetTimer() replaces the timer.
  void SetTimer(Time at, std::function<void()> on_timer);
  // Runs `handle` on the loop's thread at each arrival of the signal.
  void OnSignal(int signal, std::function<void()> handle);
  // Runs after each batch of events, before the loop waits again.
  void OnIdle(std::function<void()> idle) { idle_ = std::move(idle); }

  void Run();  // returns after Stop()
  void Stop();

 private:
  struct SignalHandler;
  void RunTasks();

  event_base* base_ = nullptr;
  event* task_event_ = nullptr;
  event* timer_event_ = nullptr;
  int wake_descriptor_ = -1;
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  std::function<void()> on_timer_, idle_;
  std::vector<std::unique_ptr<SignalHandler>> signals_;
  bool stopped_ = false;
};

}  // namespace lichenlug::host

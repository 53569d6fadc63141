#include "host/event_loop.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace lichenlug::host {

struct EventLoop::SignalHandler {
  std::function<void()> handle;
  event* signal_event = nullptr;
};

EventLoop::EventLoop() {
  base_ = event_base_new();
  wake_descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (base_ == nullptr || wake_descriptor_ < 0)
    throw std::runtime_error("cannot create an event loop; raise the limit of file descriptors");
  task_event_ = event_new(
      base_, wake_descriptor_, EV_READ | EV_PERSIST,
      [](int, short, void* loop) { static_cast<EventLoop*>(loop)->RunTasks(); }, this);
  event_add(task_event_, nullptr);
  timer_event_ = evtimer_new(
      base_,
      [](int, short, void* loop) {
        auto on_timer = std::exchange(static_cast<EventLoop*>(loop)->on_timer_, nullptr);
        if (on_timer) on_timer();
      },
      this);
}

EventLoop::~EventLoop() {
  for (auto& signal : signals_) event_free(signal->signal_event);
  event_free(timer_event_);
  event_free(task_event_);
  event_base_free(base_);
  close(wake_descriptor_);
}

Time EventLoop::Now() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

void EventLoop::Post(std::function<void()> task) {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = tasks_.empty();
    tasks_.push_back(std::move(task));
  }
  if (!first) return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(wake_descriptor_, &one, sizeof one);
}

void EventLoop::RunTasks() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto taken = read(wake_descriptor_, &count, sizeof count);
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
  }
  for (auto& task : tasks) task();
}

void EventLoop::SetTimer(Time at, std::function<void()> on_timer) {
  on_timer_ = std::move(on_timer);
  const Time span = std::max<Time>(at - Now(), 0);
  const timeval wait{static_cast<time_t>(span / kSecond), static_cast<suseconds_t>(span % kSecond)};
  evtimer_add(timer_event_, &wait);
}

void EventLoop::OnSignal(int signal, std::function<void()> handle) {
  auto handler = std::make_unique<SignalHandler>();
  handler->handle = std::move(handle);
  handler->signal_event = evsignal_new(
      base_, signal, [](int, short, void* context) { static_cast<SignalHandler*>(context)->handle(); },
      handler.get());
  event_add(handler->signal_event, nullptr);
  signals_.push_back(std::move(handler));
}

void EventLoop::Run() {
  while (!stopped_) {
    event_base_loop(base_, EVLOOP_ONCE);
    if (idle_ && !stopped_) idle_();
  }
}

void EventLoop::Stop() { stopped_ = true; }

}  // namespace lichenlug::host

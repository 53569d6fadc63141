// An event loop on a thread of its own, for tests that wait on theirs.
#pragma once

#include <functional>
#include <future>
#include <thread>

#include "host/event_loop.h"

namespace lichenlug::transport {

class LoopThread {
 public:
  LoopThread() : thread_([this] { loop_.Run(); }) {}
  ~LoopThread() {
    Run([this] { loop_.Stop(); });
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  event_base* base() { return loop_.base(); }

  // Runs the task on the loop's thread and waits for its end.
  void Run(const std::function<void()>& task) {
    std::promise<void> done;
    loop_.Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  host::EventLoop loop_;
  std::thread thread_;
};

}  // namespace lichenlug::transport

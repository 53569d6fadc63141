// Event loop on its own thread, for tests that block on the main thread.
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
  host::EventLoop& loop() { return loop_; }

  // Runs the task on the loop's thread and waits until it has finished.
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

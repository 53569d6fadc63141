// One process of the rig's: started by a list of words, sent signals by its id, its output in a file. It dies
// with the rig.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace lichenlug::lab {

class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)), status_(other.status_) {}
  ~Process();

  // Throws std::runtime_error with the command when it cannot be started. `max_descriptors`: RLIMIT_NOFILE
  // of the process; 0: the rig's own.
  void Start(const std::vector<std::string>& words, const std::vector<std::string>& environment,
             const std::string& log, std::size_t max_descriptors = 0);
  void Signal(int number);
  bool Running();                   // reaps it when it has ended
  std::size_t Descriptors() const;  // that it holds now
  int pid() const { return pid_; }
  int status() const { return status_; }  // of the last that ended, as waitpid gives it

 private:
  int pid_ = -1, status_ = 0;
};

}  // namespace lichenlug::lab

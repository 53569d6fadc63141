#include "lab/fleet/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>

namespace lichenlug::lab {

Process::~Process() {
  if (!Running()) return;
  Signal(SIGKILL);
  waitpid(pid_, &status_, 0);
}

void Process::Start(const std::vector<std::string>& words, const std::vector<std::string>& environment,
                    const std::string& log, std::size_t max_descriptors) {
  std::vector<char*> arguments, variables;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  for (const std::string& variable : environment) variables.push_back(const_cast<char*>(variable.c_str()));
  for (char** inherited = environ; *inherited != nullptr; ++inherited)
    if (std::strncmp(*inherited, "BALANCER_", 9) != 0) variables.push_back(*inherited);
  arguments.push_back(nullptr), variables.push_back(nullptr);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    dup2(out, 1), dup2(out, 2);
    close_range(3, ~0U, 0);  // the rig's listeners would go on listening in it
    if (max_descriptors > 0) {
      const rlimit most{max_descriptors, max_descriptors};
      if (setrlimit(RLIMIT_NOFILE, &most) != 0) _exit(127);
    }
    execve(arguments[0], arguments.data(), variables.data());
    _exit(127);
  }
  const int error = errno;
  if (out >= 0) close(out);
  if (pid_ < 0) throw std::runtime_error("cannot start " + words[0] + ": " + std::strerror(error));
}

void Process::Signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

std::size_t Process::Descriptors() const {
  std::error_code gone;
  std::size_t held = 0;
  for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid_) + "/fd", gone), end;
       !gone && it != end; it.increment(gone))
    ++held;
  return held;
}

bool Process::Running() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

}  // namespace lichenlug::lab

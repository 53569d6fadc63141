// The commands of lichenlugctl. Each prints its result to standard output and its error, one line, to the log
// on standard error.
#pragma once

#include <string>

namespace lichenlug::ctl {

// What the program ends with.
enum ExitCode : int {
  kSuccess = 0,
  kFailed = 1,  // what was looked at is wrong, or could not be reached
  kUsage = 2,
};

// Checks a whole configuration just as a dispatcher does. `path` "-" stands for standard input.
ExitCode CheckConfiguration(const std::string& path);

// Fetches the status of the dispatcher with that control address, "ip:port".
ExitCode ShowStatus(const std::string& address);

}  // namespace lichenlug::ctl

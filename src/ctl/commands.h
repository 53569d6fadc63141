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

// Reads the store of a dispatcher that is stopped, from a copy of its folder, so that it stays as it is.
// Verify lists its records and registers and tells whether all can be read; export prints the registers, one
// JSON object a line.
ExitCode VerifyStore(const std::string& folder);
ExitCode ExportStore(const std::string& folder);

}  // namespace lichenlug::ctl

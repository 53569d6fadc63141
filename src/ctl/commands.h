// The commands of lichenlugctl. Each prints its result to standard output and logs any error as one line on
// standard error.
#pragma once

#include <string>

namespace lichenlug::ctl {

// Exit code of the program.
enum ExitCode : int {
  kSuccess = 0,
  kFailed = 1,  // the inspected object is invalid or unreachable
  kUsage = 2,
};

// Validates a complete configuration with the checks of a dispatcher. `path` "-" is standard input.
ExitCode CheckConfiguration(const std::string& path);

// Fetches and prints the status of the dispatcher with this control address, "ip:port".
ExitCode ShowStatus(const std::string& address);

// Read the store of a stopped dispatcher from a copy of its folder, so that the store is not modified.
// Verify lists the records and registers and reports whether all are readable; export prints the registers as
// one JSON object per line.
ExitCode VerifyStore(const std::string& folder);
ExitCode ExportStore(const std::string& folder);

}  // namespace lichenlug::ctl

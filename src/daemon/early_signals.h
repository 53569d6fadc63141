// Records signals that arrive before the event loop handles them or after it has ended. Their default action
// terminates the process, so a SIGHUP to a dispatcher that is starting would kill it.
#pragma once

namespace lichenlug::daemon {

// Installs handlers that only record SIGTERM, SIGINT and SIGHUP. The handlers of the event loop replace them
// while the loop has them installed.
void InstallSignalRecorders();

// Whether the signal has arrived since InstallSignalRecorders() or the last call; clears the record.
bool ConsumeRecordedSignal(int signal);

}  // namespace lichenlug::daemon

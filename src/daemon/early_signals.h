// Signals that come before the event loop takes them, or after it has ended. Their default is the end of the
// process, so a SIGHUP to a dispatcher that has just begun would be a crash.
#pragma once

namespace lichenlug::daemon {

// From here on SIGTERM, SIGINT and SIGHUP are only remembered. The event loop's own handlers go before these
// while they are there.
void RememberSignals();

// Whether the signal has come since RememberSignals(), once for any number of times.
bool TakeRemembered(int signal);

}  // namespace lichenlug::daemon

// The sub-commands of lichenlug-lab, a file each. Each adds itself to the command line and says what it
// returns to the shell: 0 when all is well, 1 when a rule broke or a check failed.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace lichenlug::lab {

using Command = std::function<int()>;

// What to call when `app` was parsed and this sub-command was named.
Command AddRun(CLI::App* app);
Command AddExperiment(CLI::App* app);
Command AddReport(CLI::App* app);
Command AddFleet(CLI::App* app);
Command AddControl(CLI::App* app);  // where the model router is built
// Of lichenlug-parts.
Command AddMembers(CLI::App* app);
Command AddCheckpoints(CLI::App* app);
Command AddQuarantine(CLI::App* app);

}  // namespace lichenlug::lab

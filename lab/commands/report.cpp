// lichenlug-lab report DIR: makes a page of an experiment's results.
#include "lab/report/report.h"

#include <cstdio>

#include "lab/commands/commands.h"

namespace lichenlug::lab {

Command AddReport(CLI::App* app) {
  auto dir = std::make_shared<std::string>();
  CLI::App* command = app->add_subcommand("report", "Make one HTML page of an experiment's folder");
  command->add_option("dir", *dir, "The folder that the experiment named")->required();
  return [command, dir] {
    if (!*command) return -1;
    std::printf("%s\n", WriteReport(*dir).c_str());
    return 0;
  };
}

}  // namespace lichenlug::lab

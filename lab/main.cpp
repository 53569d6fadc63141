// lichenlug-lab: the laboratory's command line.
#include <iostream>
#include <vector>

#include "lab/commands/commands.h"
#include "lab/rivals/policy.h"

int main(int argc, char** argv) {
  using namespace lichenlug::lab;
  CLI::App app("lichenlug-lab: plays days of a site in virtual time");
  app.require_subcommand(1);
  std::vector<Command> commands = {AddRun(&app), AddExperiment(&app), AddReport(&app), AddFleet(&app)};
#ifdef LICHENLUG_LAB_CONTROL
  commands.push_back(AddControl(&app));
#endif
  CLI::App* policies = app.add_subcommand("policies", "List the policies that can be played");
  try {
    app.parse(argc, argv);
    if (*policies)
      for (const std::string& name : PolicyNames()) std::cout << name << "\n";
    for (const Command& command : commands)
      if (const int code = command(); code >= 0) return code;
    return 0;
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);  // --help
    std::cerr << "lichenlug-lab: " << e.what() << "\n";
    return 2;
  } catch (const std::exception& e) {
    std::cerr << "lichenlug-lab: " << e.what() << "\n";
    return 2;
  }
}

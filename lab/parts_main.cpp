// lichenlug-parts: side-by-side plays of the parts that the dispatcher does not host yet.
#include <iostream>
#include <vector>

#include "lab/commands/commands.h"

int main(int argc, char** argv) {
  using namespace lichenlug::lab;
  CLI::App app("lichenlug-parts: plays parts of a tier side by side with their rivals");
  app.require_subcommand(1);
  const std::vector<Command> commands = {AddMembers(&app), AddCheckpoints(&app), AddQuarantine(&app)};
  try {
    app.parse(argc, argv);
    for (const Command& command : commands)
      if (const int code = command(); code >= 0) return code;
    return 0;
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);  // --help
    std::cerr << "lichenlug-parts: " << e.what() << "\n";
    return 2;
  } catch (const std::exception& e) {
    std::cerr << "lichenlug-parts: " << e.what() << "\n";
    return 2;
  }
}

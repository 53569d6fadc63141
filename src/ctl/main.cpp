// lichenlugctl: command-line tool to check configurations and inspect dispatchers.
#include <glog/logging.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/commands.h"

namespace lichenlug::ctl {
namespace {

namespace options = boost::program_options;

struct Command {
  std::vector<std::string> words;
  std::string argument;
  std::string purpose;
  std::function<ExitCode(const std::string&)> run;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {{"config", "check"},
       "FILE",
       "validate a configuration with the checks of a dispatcher (- for standard input)",
       CheckConfiguration},
      {{"store", "verify"},
       "FOLDER",
       "list the records of a stopped dispatcher's store and check that each is readable",
       VerifyStore},
      {{"store", "export"},
       "FOLDER",
       "print the registers of a stopped dispatcher's store as JSON",
       ExportStore},
      {{"status"}, "ADDRESS", "show the status of the dispatcher with this control address", ShowStatus},
  };
  return commands;
}

void PrintHelp(std::ostream& stream, const options::options_description& flags) {
  stream << "usage: lichenlugctl COMMAND\n\ncommands:\n";
  for (const Command& command : Commands()) {
    stream << " ";
    for (const std::string& word : command.words) stream << ' ' << word;
    stream << ' ' << command.argument << "\n      " << command.purpose << '\n';
  }
  stream << '\n' << flags << "\nexit codes: 0 success, 1 failure, 2 usage error\n";
}

ExitCode RunCommand(const std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const std::size_t count = command.words.size();
    if (words.size() == count + 1 && std::equal(command.words.begin(), command.words.end(), words.begin())) {
      return command.run(words.back());
    }
  }
  LOG(ERROR) << "unknown command or wrong number of arguments; see lichenlugctl --help";
  return kUsage;
}

ExitCode Run(int argc, char** argv) {
  options::options_description flags("options"), all;
  flags.add_options()("help,h", "show this help")("version", "show the version");
  all.add(flags).add_options()("words", options::value<std::vector<std::string>>()->default_value({}, ""));
  options::positional_options_description positions;
  positions.add("words", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
  } catch (const options::error& error) {
    LOG(ERROR) << error.what() << "; see lichenlugctl --help";
    return kUsage;
  }
  if (values.count("help") > 0) {
    PrintHelp(std::cout, flags);
    return kSuccess;
  }
  if (values.count("version") > 0) {
    std::cout << "lichenlugctl " << LICHENLUG_VERSION << '\n';
    return kSuccess;
  }
  return RunCommand(values["words"].as<std::vector<std::string>>());
}

}  // namespace
}  // namespace lichenlug::ctl

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  return lichenlug::ctl::Run(argc, argv);
}

// Output and exit codes of lichenlugctl.
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#include "lab/fleet/process.h"
#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

constexpr int kSuccess = 0, kFailed = 1, kUsage = 2;

struct ProgramResult {
  int code = -1;
  std::string output;  // of both streams
};

// Runs the program to completion with a temporary folder for its files.
class ControlProgram {
 public:
  ControlProgram() {
    std::string pattern = (std::filesystem::temp_directory_path() / "lichenlug-ctl-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
  }
  ~ControlProgram() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  ProgramResult Run(Loop* loop, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), LICHENLUGCTL_PATH);
    const std::filesystem::path output = folder_ / "output";
    std::filesystem::remove(output);
    lab::Process process;
    process.Start(arguments, {}, output.string());
    REQUIRE(loop->RunUntil([&] { return !process.Running(); }, kTimeout));
    std::stringstream text;
    text << std::ifstream(output).rdbuf();
    return {WIFEXITED(process.status()) ? WEXITSTATUS(process.status()) : -1, text.str()};
  }

  std::string File(const std::string& content) {
    const std::filesystem::path path = folder_ / "file.json";
    std::ofstream(path, std::ios::trunc) << content;
    return path.string();
  }

 private:
  std::filesystem::path folder_;
};

bool OutputContains(const ProgramResult& ended, const std::string& text) {
  return ended.output.find(text) != std::string::npos;
}

TEST_CASE("config check accepts a valid configuration and rejects an invalid one", "[control-program]") {
  Loop loop;
  ControlProgram program;
  const ProgramResult valid =
      program.Run(&loop, {"config", "check", program.File(sample::Configuration(3).dump())});
  INFO(valid.output);
  CHECK(valid.code == kSuccess);
  CHECK(OutputContains(valid, "valid, edition 3, 3 routes, 1 services, 2 tenants"));

  Json configuration = sample::Configuration(3);
  configuration["routes"][1]["deadline_ms"] = 0;
  const ProgramResult invalid = program.Run(&loop, {"config", "check", program.File(configuration.dump())});
  INFO(invalid.output);
  CHECK(invalid.code == kFailed);
  CHECK(OutputContains(invalid, "deadline_ms"));
  CHECK(OutputContains(invalid, "routes[1] (stream)"));
  CHECK(std::count(invalid.output.begin(), invalid.output.end(), '\n') == 1);

  CHECK(program.Run(&loop, {"config", "check", "/nonexistent.json"}).code == kFailed);
}

TEST_CASE("The exit code is 2 for wrong usage, and 0 for help and version", "[control-program]") {
  Loop loop;
  ControlProgram program;
  CHECK(program.Run(&loop, {}).code == kUsage);
  CHECK(program.Run(&loop, {"config"}).code == kUsage);
  CHECK(program.Run(&loop, {"no-such-command", "x"}).code == kUsage);
  CHECK(program.Run(&loop, {"--no-such-option"}).code == kUsage);
  CHECK(program.Run(&loop, {"--help"}).code == kSuccess);
  CHECK(program.Run(&loop, {"--version"}).code == kSuccess);
}

TEST_CASE("status shows a dispatcher, and store verify the store of a stopped one", "[control-program]") {
  Testbed testbed(3, 0, 2);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  ControlProgram program;
  const ProgramResult status =
      program.Run(&system.loop(), {"status", system.dispatcher(0).control_address()});
  INFO(status.output);
  CHECK(status.code == kSuccess);
  CHECK(OutputContains(status, "name: dispatcher-1\n"));
  CHECK(OutputContains(status, "ready: true\n"));
  CHECK(OutputContains(status, "edition: 1\n"));
  CHECK(OutputContains(status, "id: runner-2\n"));

  Dispatcher& stopped = system.dispatcher(2);
  REQUIRE(stopped.Kill(kTimeout));
  const ProgramResult stopped_status = program.Run(&system.loop(), {"status", stopped.control_address()});
  CHECK(stopped_status.code == kFailed);
  CHECK(std::count(stopped_status.output.begin(), stopped_status.output.end(), '\n') == 1);
  const ProgramResult store =
      program.Run(&system.loop(), {"store", "verify", stopped.store_folder().string()});
  INFO(store.output);
  CHECK(store.code == kSuccess);
  CHECK(OutputContains(store, "register configuration: "));
  CHECK(OutputContains(store, "edition 1, revision 1"));
  CHECK(OutputContains(store, "all records can be read\n"));
  CHECK(program.Run(&system.loop(), {"store", "verify", "/nonexistent"}).code == kFailed);
  stopped.Start();  // store verify has not modified its store
  REQUIRE(system.WaitReady(kTimeout));
}

}  // namespace
}  // namespace lichenlug::standins::test

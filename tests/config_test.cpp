// The configuration and its settings: which values are rejected, with which messages, and which are accepted.
#include "operate/config.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

namespace lichenlug {
namespace {

using Json = nlohmann::json;

const Json kValid = Json::parse(R"({
  "name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "seed": "1f",
  "limits": {"sockets": 256}, "peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.1:7946", "127.0.0.2:7946"],
  "settings": {
    "Dcs": ["a"], "HostTypes": ["m"], "MyZone": "a", "Instances": 2, "Ordinal": 0, "Tick": 4000,
    "Callers": {"MarksRetry": false}, "Discovery": "on_request", "OverShareWorth": 0.2, "Weights": "none",
    "Limits": {"Cancelling": true, "ConnectTimeout": 200000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 15000,
               "IdleClose": 5000000, "MaxOpen": 20000, "MaxRetryAfter": 2000000, "MayTell": true,
               "MostTries": 5, "Probes": true, "RetryAfter": true, "SecondCopies": false},
    "Fees": {"CrossZone": 0.03, "Probe": 0.002},
    "Guarantees": {"AskEvery": 10000000, "ColdShare": 0.3, "DrainGrace": 500000, "OverloadFactor": 4.0,
                   "OverloadFor": 1000000, "RampTime": 8900000},
    "Report": {"Fields": ["active", "cpu", "x0"], "How": "probe"},
    "RequestClasses": [
      {"Name": "index", "Aim": 300000, "Deadline": 5000000, "Effect": "dedup", "KeyScope": "cell",
       "LateValue": 0.2, "Window": 7500000, "Worth": 3.0},
      {"Name": "publish", "Aim": 300000, "Deadline": 5000000, "Effect": "fragile", "Worth": 10.0}],
    "Specifics": {"ClassKind": [-1, 0], "ClassPriority": [0, 1], "ClassStretch": [2.0, 2.5],
                  "ReportX0": "free slots", "TellsStart": true, "Progress": 0},
    "Tenants": [{"Name": "acme", "Portion": 0.6, "QuotaPerS": 50.0},
                {"Name": "other", "Portion": 0.4, "QuotaPerS": 30.0}]}})");

class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text) {
    close(mkstemp(path_));
    std::ofstream(path_) << text;
  }
  ~ConfigFile() { unlink(path_); }
  Config Read() const { return ReadConfig(Environment()); }
  Config Reread(const Config& running) const { return RereadConfig(Environment(), running); }

 private:
  std::function<const char*(const char*)> Environment() const {
    return [this](const char* name) { return std::strcmp(name, "BALANCER_CONFIG") == 0 ? path_ : nullptr; };
  }
  char path_[32] = "/tmp/lichenlug-config-XXXXXX";
};

Config Read(const std::string& text) { return ConfigFile(text).Read(); }

// The error message for this file; empty if it is accepted.
std::string ErrorOf(const std::string& text) {
  try {
    Read(text);
  } catch (const ConfigError& e) {
    return e.what();
  } catch (const rookgw::SettingsError& e) {
    return e.what();
  }
  return "";
}

std::string ErrorWith(const char* pointer, const char* value) {
  Json config = kValid;
  config[Json::json_pointer(pointer)] = Json::parse(value);
  return ErrorOf(config.dump());
}

// The decisions must be able to run with any accepted settings.
void PlayOneRequest(const rookgw::Settings& settings) {
  rookgw::Scheduler scheduler(settings, 1);
  std::vector<rookgw::Action> actions;
  scheduler.Start(1, &actions);
  rookgw::ListedWorker runner;
  runner.id = "r1", runner.cell = runner.kind = runner.zone = settings.zones.empty() ? rookgw::kNone : 0;
  if (settings.kinds.empty()) runner.kind = rookgw::kNone;
  runner.since = 1;  // cold
  scheduler.Handle(2, rookgw::ListChanged{rookgw::ListChanged::Form::kWhole, 1, {&runner, 1}}, &actions);
  for (rookgw::RequestId id = 1; id <= settings.classes.size(); ++id) {
    rookgw::RequestArrived request;
    request.id = id, request.cls = static_cast<int>(id) - 1;
    request.tenant = settings.tenants.empty() ? rookgw::kNone : 0;
    request.valid_until = 3 + settings.classes[request.cls].deadline;
    scheduler.Handle(3, request, &actions);
    scheduler.Handle(50'003, rookgw::TimerFired{"sweep"}, &actions);
    scheduler.Handle(60'003, rookgw::AttemptEnded{id, 0, "r1", rookgw::Outcome::kReset, false, 60'000, {}},
                     &actions);
    scheduler.Handle(70'003, rookgw::TimerFired{"due"}, &actions);
  }
}

TEST(ReadConfig, AcceptsThePlatformsConfiguration) {
  const Config config = Read(kValid.dump());
  EXPECT_EQ(config.site.max_open, 20000u);
  EXPECT_EQ(config.site.idle_close, 5 * kSecond);
  EXPECT_EQ(config.site.settings.connect_timeout, kSecond / 5);
  EXPECT_EQ(config.peers.peers.size(), 2u);
  PlayOneRequest(config.site.settings);
}

TEST(ReadConfig, RejectsWithKeyIndexAndExpectedFormInOneLine) {
  struct {
    const char *pointer, *value, *message;
  } const cases[] = {
      {"/name", "\"\"", "name: missing (or set BALANCER_NAME)"},
      {"/listen", "\"here\"", "listen: an IP address and port, as in 10.0.0.4:8080, expected"},
      {"/listen", "\"127.0.0.1:8500\"", "discovery: another address than that of listen expected"},
      {"/discovery", "\"127.0.0.1:70000\"", "discovery: an IP address and port"},
      {"/discovery", "8500", "discovery: text expected"},
      {"/seed", "\"xyz\"", "seed: hex digits expected"},
      {"/limits", "[]", "limits: an object expected"},
      {"/limits/sockets", "63", "limits.sockets: 64 or more expected"},
      {"/limits/sockets", "-1", "limits.sockets: a number above 0 expected"},
      {"/limits/memory_mb", "0", "limits.memory_mb: a number above 0 expected"},
      {"/limits/memory_mb", "\"much\"", "limits.memory_mb: a number above 0 expected"},
      {"/limits/sockets", "1e300", "limits.sockets: a number above 0 expected"},
      {"/limits/sockets", "\"many\"", "limits.sockets: a number above 0 expected"},
      {"/peer_listen", "\"x\"", "peer_listen: an IP address and port"},
      {"/peers", "{}", "peers: a list"},
      {"/peers/1", "7", "peers[1]: an IP address and port"},
      {"/known", "{\"members\": 3}", "known: "},
      {"/known", "{\"members\": [{\"id\": \"r\", \"host_port\": \"a\\nb\"}]}",
       "known: members[].host_port: 'a b'"},
      {"/settings", "[]", "settings: an object expected"},
      {"/settings/Dcs", "[7]", "settings: Dcs[0]: text expected"},
      {"/settings/HostTypes", "\"m\"", "settings: HostTypes: a list expected"},
      {"/settings/Instances", "null", "settings: Instances: missing"},
      {"/settings/Instances", "0", "settings: Instances: a whole number from 1 to 2147483647 expected"},
      {"/settings/Instances", "1.5", "settings: Instances: a whole number"},
      {"/settings/Instances", "4294967297", "settings: Instances: a whole number"},
      {"/settings/Ordinal", "2", "settings: Ordinal: a whole number from 0 to 1 expected"},
      {"/settings/Ordinal", "-1", "settings: Ordinal: a whole number from 0"},
      {"/settings/Tick", "0", "settings: Tick: a whole number from 1"},
      {"/settings/Tick", "1e300", "settings: Tick: a whole number"},
      {"/settings/Discovery", "\"sometimes\"", "settings: Discovery: pushed or on_request expected"},
      {"/settings/OverShareWorth", "-0.1", "settings: OverShareWorth: a number from 0"},
      {"/settings/Callers/MarksRetry", "1", "settings: Callers.MarksRetry: true or false expected"},
      {"/settings/RequestClasses", "[]", "settings: RequestClasses: at least one class expected"},
      {"/settings/RequestClasses", "{}", "settings: RequestClasses: a list expected"},
      {"/settings/RequestClasses/1", "7", "settings: RequestClasses[1].Name: missing"},
      {"/settings/RequestClasses/1/Name", "\"\"",
       "settings: RequestClasses[1].Name: a name that no other has"},
      {"/settings/RequestClasses/1/Name", "\"index\"", "settings: RequestClasses[1].Name: a name that no"},
      {"/settings/RequestClasses/1/Effect", "\"safe\"",
       "settings: RequestClasses[1].Effect: retryable, dedup or fragile expected"},
      {"/settings/RequestClasses/0/KeyScope", "\"rack\"",
       "settings: RequestClasses[0].KeyScope: all, zone or cell expected"},
      {"/settings/RequestClasses/0/Window", "0",
       "settings: RequestClasses[0].Window: above 0 expected for dedup"},
      {"/settings/RequestClasses/0/Window", "-1",
       "settings: RequestClasses[0].Window: a whole number from 0"},
      {"/settings/RequestClasses/0/Window", "9223372036854775808",
       "settings: RequestClasses[0].Window: a whole number"},
      {"/settings/RequestClasses/0/Deadline", "0",
       "settings: RequestClasses[0].Deadline: more than two ticks (8000) expected"},
      {"/settings/RequestClasses/1/Deadline", "8000", "settings: RequestClasses[1].Deadline: more than two"},
      {"/settings/RequestClasses/1/Deadline", "\"5 s\"",
       "settings: RequestClasses[1].Deadline: a whole number"},
      {"/settings/RequestClasses/1/Aim", "null", "settings: RequestClasses[1].Aim: missing"},
      {"/settings/RequestClasses/1/Aim", "-5", "settings: RequestClasses[1].Aim: a whole number from 0"},
      {"/settings/RequestClasses/1/Worth", "-5", "settings: RequestClasses[1].Worth: a number from 0"},
      {"/settings/RequestClasses/1/AimStretch", "-5", "settings: RequestClasses[1].AimStretch: a number"},
      {"/settings/Specifics/ClassKind", "[1]",
       "settings: Specifics.ClassKind[0]: a whole number from -1 to 0"},
      {"/settings/Specifics/ClassKind", "[-2]", "settings: Specifics.ClassKind[0]: a whole number from -1"},
      {"/settings/Specifics/ClassPriority", "[0, 1e300]",
       "settings: Specifics.ClassPriority[1]: a whole number"},
      {"/settings/Specifics/ClassStretch", "[-1]", "settings: Specifics.ClassStretch[0]: a number from 0"},
      {"/settings/Specifics/Progress", "-1", "settings: Specifics.Progress: a whole number from 0"},
      {"/settings/Report/How", "\"shouting\"", "settings: Report.How: answers, probe or none expected"},
      {"/settings/Tenants/1/Name", "\"acme\"", "settings: Tenants[1].Name: a name that no other has"},
      {"/settings/Tenants/0/Portion", "1.2", "settings: Tenants[0].Portion: a number from 0 to 1 expected"},
      {"/settings/Tenants/0/QuotaPerS", "-1", "settings: Tenants[0].QuotaPerS: a number from 0"},
      {"/settings/Limits/MostTries", "0", "settings: Limits.MostTries: a whole number from 1"},
      {"/settings/Limits/MostTries", "2147483648", "settings: Limits.MostTries: a whole number from 1"},
      {"/settings/Limits/ConnectTimeout", "0", "settings.Limits.ConnectTimeout: above 0 expected"},
      {"/settings/Limits/ConnectTimeout", "\"soon\"", "settings: Limits.ConnectTimeout: a whole number"},
      {"/settings/Limits/MaxOpen", "0", "settings.Limits.MaxOpen: 1 or more expected"},
      {"/settings/Limits/MaxOpen", "1e300", "settings: Limits.MaxOpen: a whole number"},
      {"/settings/Limits/IdleClose", "-1", "settings: Limits.IdleClose: a whole number from 0"},
      {"/settings/Guarantees/ColdShare", "1.5",
       "settings: Guarantees.ColdShare: a number from 0 to 1 expected"},
      {"/settings/Guarantees/RampTime", "-1", "settings: Guarantees.RampTime: a whole number from 0"},
      {"/settings/Guarantees/OverloadFactor", "-1", "settings: Guarantees.OverloadFactor: a number from 0"},
  };
  for (const auto& [pointer, value, message] : cases) {
    const std::string error = ErrorWith(pointer, value);
    EXPECT_EQ(error.substr(0, std::strlen(message)), message) << pointer << " " << value;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
  }
}

TEST(ReadConfig, AcceptsUnusualValidValues) {
  struct {
    const char *pointer, *value;
  } const cases[] = {
      {"/settings/RequestClasses/0/Window", "null"},    // absent: no job is sent twice
      {"/settings/RequestClasses/0/Window", "5000"},    // shorter than any deadline
      {"/settings/RequestClasses/1/Window", "0"},       // of a class that is not dedup
      {"/settings/RequestClasses/1/Deadline", "8001"},  // almost entirely used up by two ticks
      {"/settings/RequestClasses/1/Aim", "9000000"},    // beyond the deadline, which then limits it
      {"/settings/RequestClasses/1/Aim", "300000.0"},   // some JSON writers format integers like this
      {"/settings/RequestClasses/1/LateValue", "2"},
      {"/settings/RequestClasses/1/Name", "\"a/b\""},  // unreachable by any path; the others still work
      {"/settings/MyZone", "\"elsewhere\""},           // not one of the zones
      {"/settings/Dcs", "[]"},
      {"/settings/Instances", "300"},  // more than the listed peers
      {"/settings/Fees/CrossZone", "-0.1"},
      {"/settings/Limits/IdleClose", "0"},
      {"/settings/Limits/ConnectTimeout", "9000000"},  // longer than the deadlines
      {"/settings/Guarantees/RampTime", "0"},
      {"/settings/Guarantees/OverloadFactor", "0"},
      {"/settings/Guarantees/OverloadFor", "0"},
      {"/settings/Guarantees/ColdShare", "0"},
      {"/settings/Specifics/ClassStretch", "[]"},
      {"/settings/Specifics/ClassKind", "[-1, -1, -1, -1]"},
      {"/settings/Tenants/1/Portion", "0.9"},  // 1.5 in total: only quotas are used
      {"/settings/Tenants", "[]"},
      {"/settings/Weights", "\"a new word\""},
      {"/settings/Report/Fields", "[\"a new one\"]"},
      {"/settings/A new key", "{\"with\": [\"more\"]}"},
      {"/peer_listen", "\"\""},
      {"/peers", "null"},
  };
  for (const auto& [pointer, value] : cases) {
    Json json = kValid;
    json[Json::json_pointer(pointer)] = Json::parse(value);
    EXPECT_EQ(ErrorOf(json.dump()), "") << pointer << " " << value;
    if (ErrorOf(json.dump()).empty()) PlayOneRequest(Read(json.dump()).site.settings);
  }
}

// Replaces each value by each of a set of odd values: it is rejected with a one-line message, or the
// decisions can run with it.
TEST(ReadConfig, AnyValueIsRejectedOrUsable) {
  const Json values = Json::parse(R"([null, true, "", "x", -1, 0, 0.5, 1e-9, 2147483647, 2147483648, 1e15,
    9223372036854775807, 9223372036854775808, 18446744073709551615, 1e300, {}, [], [null], [1e300]])");
  int rejected = 0;
  const Json places = kValid.flatten();
  for (const auto& [pointer, old] : places.items())
    for (const Json& value : values) {
      Json json = kValid;
      json[Json::json_pointer(pointer)] = value;
      const std::string error = ErrorOf(json.dump());
      SCOPED_TRACE(pointer + " " + value.dump());
      if (error.empty()) {
        const Config config = Read(json.dump());
        EXPECT_NO_THROW(PlayOneRequest(config.site.settings));
        EXPECT_GT(config.site.settings.connect_timeout, 0);
        EXPECT_GT(config.site.max_open, 0u);
        EXPECT_TRUE(!config.peers.on() || config.peers.own_number < std::ssize(config.peers.peers));
      }
      EXPECT_EQ(std::count(error.begin(), error.end(), '\n'), 0) << error;
      rejected += !error.empty();
    }
  EXPECT_GT(rejected, 300);
}

TEST(ReadConfig, RejectsWhatIsNoObject) {
  const std::string valid = kValid.dump();
  for (const std::string& text :
       {std::string(), std::string("null"), std::string("[]"), valid + "}", valid.substr(0, valid.size() / 2),
        std::string("{\"name\": \"\xff\"}"), std::string("{\"limits\": {\"sockets\": 1e999}}")})
    EXPECT_NE(ErrorOf(text).find(" holds no JSON object"), std::string::npos) << text;
  EXPECT_EQ(ErrorOf("{}"), "name: missing (or set BALANCER_NAME)");
  const auto at_missing_file = [](const char*) { return "/tmp/lichenlug-no-such-file"; };
  EXPECT_THROW(ReadConfig(at_missing_file), ConfigError);
}

// An unknown value may be nested to any depth.
TEST(ReadConfig, IgnoresDeeplyNestedUnknownValues) {
  std::string text = kValid.dump();
  const std::string deep = "\"Deep\":" + std::string(200'000, '[') + std::string(200'000, ']') + ",";
  text.insert(text.find("\"Dcs\""), deep);
  EXPECT_EQ(ErrorOf(text), "");
}

TEST(ReadConfig, RunsWithoutPeersIfNotListed) {
  Json json = kValid;
  json["settings"]["Instances"] = 3, json["settings"]["Ordinal"] = 2;
  EXPECT_FALSE(Read(json.dump()).peers.on());
}

// ---- Descriptors ----

TEST(Descriptors, SharesLeaveRoomForTheProgramsOwn) {
  for (const int sockets : {64, 65, 66, 67, 100, 256}) {
    Json json = kValid;
    json["limits"]["sockets"] = sockets;
    const Config config = Read(json.dump());
    const std::size_t reserved =
        config.max_sockets - config.max_client_connections() - config.max_runner_connections();
    EXPECT_GE(reserved, config.open_at_start + 8)
        << sockets;  // tests/scenarios/descriptors_full.scenario uses 8
    EXPECT_GE(config.max_runner_connections(), 8u) << sockets;
    EXPECT_GE(config.max_client_connections(), config.max_serving_connections() + 8) << sockets;
  }
}

TEST(Descriptors, DescriptorsOpenAtStartupCount) {
  const ConfigFile file(kValid.dump());
  const Config before = file.Read();
  int descriptors[10];
  for (int& fd : descriptors) fd = open("/dev/null", O_RDONLY | O_CLOEXEC);
  const Config after = file.Read(), reread = file.Reread(before);
  EXPECT_EQ(after.open_at_start, before.open_at_start + 10);
  EXPECT_EQ(after.max_client_connections() + after.max_runner_connections() + 10,
            before.max_client_connections() + before.max_runner_connections());
  // At a reload the running program's own descriptors are open as well, and must not be counted twice.
  EXPECT_EQ(reread.open_at_start, before.open_at_start);
  for (const int fd : descriptors) close(fd);
}

TEST(Descriptors, ProcessLimitCounts) {
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  const auto with_limit = [&](rlim_t limit) {
    const rlimit lower{limit, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lower);
    const std::string error = ErrorOf(kValid.dump());
    const std::size_t sockets = error.empty() ? Read(kValid.dump()).max_sockets : 0;
    setrlimit(RLIMIT_NOFILE, &before);
    return std::pair{error, sockets};
  };
  EXPECT_EQ(with_limit(100), (std::pair{std::string(), std::size_t{100}}));
  EXPECT_NE(with_limit(48).first.find("limits.sockets: 64 or more expected"), std::string::npos);
}

}  // namespace
}  // namespace lichenlug

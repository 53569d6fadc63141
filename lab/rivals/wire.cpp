#include "lab/rivals/wire.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace lichenlug::lab {
namespace {

using namespace rookgw;
using Json = nlohmann::json;

constexpr const char* kNode = "node_0";

std::string Hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::string Number(double value) {  // every bit of it
  char text[32];
  std::snprintf(text, sizeof text, "%.17g", value);
  return text;
}

std::string Usage(const LoadReport& report) {
  std::string text;
  auto add = [&text](const char* name, const std::optional<double>& value) {
    if (value) text += (text.empty() ? "" : ",") + std::string(name) + ":" + Number(*value);
  };
  add("active", report.active), add("x0", report.free_slots), add("waiting", report.waiting);
  return text.empty() ? "-" : text;
}

int Code(Outcome outcome) {
  static constexpr int kCodes[] = {0, 13, 8, 4, 14, 10, 1, 9};  // in the order of Outcome
  return kCodes[static_cast<std::size_t>(outcome)];
}

class WirePolicy : public Policy {
 public:
  WirePolicy(const std::string& command, PolicyInputs inputs)
      : s_(std::move(inputs.settings)), seed_(inputs.seed) {
    int to[2], from[2];
    if (pipe(to) != 0 || pipe(from) != 0) throw std::runtime_error("wire: no pipe for " + command);
    child_ = fork();
    if (child_ < 0) throw std::runtime_error("wire: cannot start " + command);
    if (child_ == 0) {
      dup2(to[0], STDIN_FILENO), dup2(from[1], STDOUT_FILENO);
      for (int fd : {to[0], to[1], from[0], from[1]}) close(fd);
      for (int fd = 3; fd < 256; ++fd)
        close(fd);  // the pipes of other dispatchers: theirs must see their end
      execl("/bin/sh", "sh", "-c", ("exec " + command).c_str(), nullptr);
      _exit(127);
    }
    close(to[0]), close(from[1]);
    out_ = fdopen(to[1], "w"), in_ = fdopen(from[0], "r");
  }

  ~WirePolicy() override {
    std::fclose(out_), std::fclose(in_);  // its input ends, and so does it
    waitpid(child_, nullptr, 0);
    std::free(line_);
  }

  // The wire gives an instance its first list with its start, so the start is held back until that comes.
  void Start(Time now, std::vector<Action>*) override { started_ = now; }

  void Handle(Time now, const Event& event, std::vector<Action>* actions) override {
    std::ostringstream text;
    std::visit([&](const auto& e) { Word(e, &text); }, event);
    if (text.str().empty()) return;
    now_ = std::max(now_, now);
    std::string batch = "MARK " + std::to_string(now_) + "\n";
    if (!std::exchange(attached_, true))
      batch += std::string("ATTACH ") + kNode + " " + std::to_string(seed_) + " " + WireSettings(s_) + "\n";
    batch += text.str() + "OVER_TO_YOU\n";
    if (std::fputs(batch.c_str(), out_) < 0 || std::fflush(out_) != 0)
      throw std::runtime_error("wire: the process is gone");
    for (;;) {
      const ssize_t length = getline(&line_, &size_, in_);
      if (length <= 0) throw std::runtime_error("wire: the process ended before its reply");
      std::string line(line_, static_cast<std::size_t>(length));
      while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.pop_back();
      if (line == "END") return;
      Read(line, actions);
    }
  }

 private:
  template <typename T>
  const std::string& NameAt(const std::vector<T>& all, int index) const {
    static const std::string none = "-";
    if constexpr (std::is_same_v<T, std::string>)
      return index >= 0 ? all[index] : none;
    else
      return index >= 0 ? all[index].name : none;
  }

  void Word(const ListChanged& e, std::ostringstream* out) const {
    static constexpr const char* kForms[] = {"patch", "whole", "stale_copy", "broken"};
    static constexpr const char* kStates[] = {"SERVING", "DRAINING", "DELETED"};
    *out << "CENSUS 0 " << e.workers.size() << "\n";
    for (const ListedWorker& w : e.workers)
      *out << "ITEM " << (w.since == 0 ? "-" : std::to_string(w.since)) << " "
           << kStates[static_cast<int>(w.state)] << " " << (w.cell < 0 ? "-" : std::to_string(w.cell)) << " "
           << w.id << " " << Number(w.weight) << " " << NameAt(s_.kinds, w.kind) << " "
           << NameAt(s_.zones, w.zone) << "\n";
    *out << "TOPOLOGY " << kNode << " " << kForms[static_cast<int>(e.form)] << " " << e.version << " 0\n";
  }
  void Word(const RequestArrived& e, std::ostringstream* out) const {
    *out << "ORDER " << kNode << " " << Hex(e.id) << " " << (e.key ? Hex(*e.key) : "-") << " "
         << Number(e.slots) << " " << (e.effort ? std::to_string(*e.effort) : "-") << " " << e.valid_until
         << " - " << (e.effort ? 1 : 0) + (e.repeat ? 2 : 0) << " " << NameAt(s_.tenants, e.tenant) << " "
         << NameAt(s_.classes, e.cls) << "\n";
  }
  void Word(const AttemptUpdate& e, std::ostringstream* out) const {
    if (e.kind != AttemptUpdate::Kind::kAccepted)
      *out << "CHANGE " << kNode << " " << Hex(e.id) << " - "
           << (e.kind == AttemptUpdate::Kind::kStarted ? 1 : 2) << " " << Number(e.share_done) << " "
           << e.attempt << "\n";
  }
  void Word(const AttemptEnded& e, std::ostringstream* out) const {
    *out << "CLOSED_ATTEMPT " << kNode << " " << Hex(e.id) << " " << e.worker << " - " << e.attempt << " "
         << e.complete << " " << Code(e.outcome) << " " << e.took << " " << Usage(e.report) << "\n";
  }
  void Word(const StreamStarted& e, std::ostringstream* out) const {
    *out << "STARTED " << kNode << " " << Hex(e.id) << " " << e.attempt << " - -\n";
  }
  void Word(const RequestAbandoned& e, std::ostringstream* out) const {
    *out << "GONE " << kNode << " " << Hex(e.id) << "\n";
  }
  void Word(const ProbeEnded& e, std::ostringstream* out) const {
    *out << "PROBED " << kNode << " " << e.worker << " " << (e.ok ? 0 : 4) << " " << e.took << " "
         << Usage(e.report) << "\n";
  }
  void Word(const rookgw::PeerReport&, std::ostringstream*) const {}  // the wire has no word for it
  void Word(const TimerFired& e, std::ostringstream* out) const {
    *out << "FIRED " << kNode << " " << e.token << "\n";
  }

  static void Read(const std::string& line, std::vector<Action>* actions) {
    std::istringstream in(line);
    std::string what, node, id, worker;
    Time span = 0;
    int number = 0;
    in >> what >> node;
    auto job = [&] {
      in >> id;
      return std::stoull(id, nullptr, 16);
    };
    if (what == "DISPATCH") {
      const RequestId request = job();
      in >> span >> worker;
      actions->push_back(Dispatch{request, worker, span});
    } else if (what == "DECLINE") {
      const RequestId request = job();
      in >> span;
      actions->push_back(Decline{request, span});
    } else if (what == "FAIL") {
      actions->push_back(Fail{job()});
    } else if (what == "DROP_ATTEMPT") {
      const RequestId request = job();
      in >> number;
      actions->push_back(CancelAttempt{request, number});
    } else if (what == "PROBE") {
      in >> worker;
      actions->push_back(Probe{worker});
    } else if (what == "WAKE_ME") {
      in >> span >> worker;
      actions->push_back(SetTimer{span, worker});
    } else if (what == "FOLLOW" || what == "GET_LIST") {
      actions->push_back(Subscribe{});
    } else if (what != "RECORD" && what != "NOTIFY" && what != "SHUT_IDLE") {
      throw std::runtime_error("wire: no such action: " + line);
    }
    if (in.fail()) throw std::runtime_error("wire: not a whole action: " + line);
  }

  Settings s_;
  const std::uint64_t seed_;
  pid_t child_ = -1;
  FILE *out_ = nullptr, *in_ = nullptr;
  char* line_ = nullptr;
  std::size_t size_ = 0;
  Time now_ = 0, started_ = 0;
  bool attached_ = false;
};

}  // namespace

std::string WireSettings(const Settings& s) {
  static constexpr const char* kEffects[] = {"retryable", "dedup", "fragile"};
  static constexpr const char* kScopes[] = {"all", "zone", "cell"};
  static constexpr const char* kReports[] = {"none", "probe", "answers"};
  Json root = {{"Instances", s.instances},
               {"Ordinal", s.ordinal},
               {"Dcs", s.zones},
               {"HostTypes", s.kinds},
               {"Discovery", s.list_on_request ? "on_request" : "pushed"},
               {"OverShareWorth", s.over_share_worth},
               {"Tick", s.tick},
               {"Callers", {{"MarksRetry", s.repeats_marked}}},
               {"Weights", s.weights_live      ? "live"
                           : s.reports_weights ? "nominal"
                                               : "none"}};
  if (s.my_zone != kNone) root["MyZone"] = s.zones[s.my_zone];
  Json& specifics = root["Specifics"] = {{"Progress", s.progress},
                                         {"TellsStart", s.reports_starts},
                                         {"ReportX0", "free slots"},
                                         {"ReportX1", "free memory"}};
  for (const ClassSettings& c : s.classes) {
    root["RequestClasses"].push_back({{"Name", c.name},
                                      {"Aim", c.aim},
                                      {"Deadline", c.deadline},
                                      {"Effect", kEffects[static_cast<int>(c.effect)]},
                                      {"KeyScope", kScopes[static_cast<int>(c.scope)]},
                                      {"LateValue", c.late_value},
                                      {"Stream", c.stream},
                                      {"Window", c.window},
                                      {"Worth", c.worth}});
    specifics["ClassKind"].push_back(c.kind);
    specifics["ClassPriority"].push_back(c.priority);
    specifics["ClassStretch"].push_back(c.stretch);
  }
  root["Tenants"] = Json::array();
  for (const TenantSettings& t : s.tenants)
    root["Tenants"].push_back({{"Name", t.name}, {"Portion", t.portion}, {"QuotaPerS", t.quota_per_s}});
  root["Limits"] = {{"MostTries", s.max_attempts},
                    {"Probes", s.probes},
                    {"Cancelling", s.cancelling},
                    {"SecondCopies", s.second_copies},
                    {"RetryAfter", s.retry_after},
                    {"MaxRetryAfter", s.max_retry_after},
                    {"ConnectTimeout", s.connect_timeout},
                    {"CpuUsPerS", s.cpu_us_per_s},
                    {"CpuUsPerRequest", s.cpu_us_per_request}};
  Json fields = Json::array();
  if (s.reports_active) fields.push_back("active");
  if (s.reports_slots) fields.push_back("x0");
  if (s.reports_memory) fields.push_back("x1");
  if (s.reports_waiting) fields.push_back("waiting");
  root["Report"] = {{"How", kReports[static_cast<int>(s.reports)]}, {"Fields", fields}};
  root["Fees"] = {{"CrossZone", s.fee_cross_zone}, {"Origin", s.fee_fetch}, {"Handshake", s.fee_handshake},
                  {"LateFail", s.fee_late},        {"Probe", s.fee_probe},  {"Waste", s.fee_waste}};
  root["Guarantees"] = {{"AskEvery", s.poll_interval}, {"DrainGrace", s.drain_grace},
                        {"ColdShare", s.cold_share},   {"OverloadFactor", s.overload_factor},
                        {"RampTime", s.ramp_time},     {"OverloadFor", s.overload_for}};
  return root.dump();
}

std::unique_ptr<Policy> MakeWirePolicy(const std::string& command, PolicyInputs inputs) {
  std::signal(SIGPIPE, SIG_IGN);  // a process that ends shows as an error of the write
  return std::make_unique<WirePolicy>(command, std::move(inputs));
}

}  // namespace lichenlug::lab

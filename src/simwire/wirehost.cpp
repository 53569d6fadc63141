#include "simwire/wirehost.h"

#include <array>
#include <charconv>
#include <istream>
#include <ostream>
#include <string>
#include <unordered_map>

#include "simwire/wire.h"

namespace rookgw::wire {
namespace {

struct Instance {
  Site site;
  Scheduler scheduler;
};

struct SharedList {
  bool known = false;
  std::vector<RawEntry> entries;
  // `entries` resolved for one set of names, shared by the instances of a site.
  std::vector<std::string> kinds, zones;
  std::vector<ListedWorker> workers;
  bool resolved = false;
};

class Host {
 public:
  Host(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  void Run() {
    while (NextLine()) ProcessBatch();
  }

  long line_number = 0;

 private:
  bool NextLine() {
    if (!std::getline(in_, line_)) return false;
    ++line_number;
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    return true;
  }

  Fields Split(std::string* message) const {
    const std::size_t space = line_.find(' ');
    *message = line_.substr(0, space);
    return Fields(space == std::string::npos ? std::string_view() : std::string_view(line_).substr(space + 1),
                  *message);
  }

  void ProcessBatch() {
    std::string message;
    Fields head = Split(&message);
    if (message != "MARK") throw Error("'" + message + "': MARK expected at the start of a batch");
    now_ = head.Integer("clock", 0);
    head.ExpectEnd();
    reply_.clear();
    while (true) {
      if (!NextLine()) throw Error("input ended inside a batch: OVER_TO_YOU expected");
      if (line_ == "OVER_TO_YOU") break;
      ProcessMessage();
    }
    out_ << reply_ << "END\n" << std::flush;
  }

  void ProcessMessage() {
    std::string message;
    Fields f = Split(&message);
    if (message == "CENSUS") return ReadCensus(f);
    Kind kind = Kind::kUnknown;
    for (const auto& [name, k] : kMessages)
      if (message == name) kind = k;
    if (kind == Kind::kUnknown) throw Error("'" + message + "': unknown message");
    const std::string node(f.Word("NodeId"));
    if (kind == Kind::kAttach) return Attach(node, f);
    auto it = instances_.find(node);
    if (it == instances_.end()) f.ThrowExpected("NodeId", "an attached instance");
    Instance& instance = it->second;
    switch (kind) {
      case Kind::kShutdown:
        f.ExpectEnd();
        instances_.erase(it);
        return;
      case Kind::kTopology:
        return ProcessTopology(node, instance, f);
      case Kind::kOrder:
        return Deliver(node, instance, ParseRequest(f, instance.site));
      case Kind::kChange:
        return Deliver(node, instance, ParseNote(f));
      case Kind::kClosed:
        return Deliver(node, instance, ParseEnded(f, instance.site));
      case Kind::kProbed:
        return Deliver(node, instance, ParseProbed(f, instance.site));
      case Kind::kStarted:
        return Deliver(node, instance, ParseStarted(f));
      case Kind::kGone: {
        const RequestAbandoned e{f.Hex("Job")};
        f.ExpectEnd();
        return Deliver(node, instance, e);
      }
      case Kind::kFired: {
        const TimerFired e{std::string(f.Rest("Handle"))};
        return Deliver(node, instance, e);
      }
      default:  // NOTE_FROM: messages between nodes are not used
        f.Integer("Who", 0);
        f.Word("Data");
        f.ExpectEnd();
    }
  }

  void Attach(const std::string& node, Fields& f) {
    const std::string seed_text(f.Word("RandomSeed"));
    std::uint64_t seed = 0;
    auto [end, error] = std::from_chars(seed_text.data(), seed_text.data() + seed_text.size(), seed);
    if (error != std::errc() || end != seed_text.data() + seed_text.size())
      f.ThrowExpected("RandomSeed", "a whole number");
    Site site = ParseSettings(f.Rest("Env"));
    Settings settings = site.settings;
    instances_.erase(node);
    auto [it, fresh] =
        instances_.emplace(node, Instance{std::move(site), Scheduler(std::move(settings), seed)});
    actions_.clear();
    it->second.scheduler.Start(now_, &actions_);
    AppendReply(node);
  }

  void ReadCensus(Fields& f) {
    const std::int64_t id = f.Integer("SetId", 0, static_cast<std::int64_t>(lists_.size()) - 1);
    const std::int64_t count = f.Integer("Rows", 0);
    f.ExpectEnd();
    SharedList& list = lists_[id];
    list = SharedList{};
    for (std::int64_t i = 0; i < count; ++i) {
      if (!NextLine()) throw Error("input ended inside a CENSUS: ITEM expected");
      std::string message;
      Fields item = Split(&message);
      if (message != "ITEM") throw Error("'" + message + "': ITEM expected");
      list.entries.push_back(ParseEntry(item));
    }
    list.known = true;
  }

  void ProcessTopology(const std::string& node, Instance& instance, Fields& f) {
    ListChanged e;
    e.form = ParseForm(f);
    e.version = f.IntegerOr("Index", 0);
    if (e.form == ListChanged::Form::kFailed) {
      f.Word("SetId");
      f.ExpectEnd();
      return Deliver(node, instance, e);
    }
    const std::int64_t id = f.Integer("SetId", 0, static_cast<std::int64_t>(lists_.size()) - 1);
    f.ExpectEnd();
    SharedList& list = lists_[id];
    if (!list.known) f.ThrowExpected("SetId", "the number of a CENSUS");
    const Settings& s = instance.site.settings;
    if (!list.resolved || list.kinds != s.kinds || list.zones != s.zones) {
      list.workers = Resolve(list.entries, instance.site);
      list.kinds = s.kinds, list.zones = s.zones, list.resolved = true;
    }
    e.workers = list.workers;
    Deliver(node, instance, e);
  }

  void Deliver(const std::string& node, Instance& instance, const Event& event) {
    actions_.clear();
    instance.scheduler.Handle(now_, event, &actions_);
    AppendReply(node);
  }

  void AppendReply(const std::string& node) {
    for (const Action& action : actions_) Format(node, action, &reply_);
  }

  enum class Kind {
    kUnknown,
    kAttach,
    kTopology,
    kOrder,
    kChange,
    kClosed,
    kProbed,
    kStarted,
    kGone,
    kFired,
    kShutdown,
    kNoteFrom
  };
  static constexpr std::array<std::pair<std::string_view, Kind>, 11> kMessages = {{
      {"ATTACH", Kind::kAttach},
      {"TOPOLOGY", Kind::kTopology},
      {"ORDER", Kind::kOrder},
      {"CHANGE", Kind::kChange},
      {"CLOSED_ATTEMPT", Kind::kClosed},
      {"PROBED", Kind::kProbed},
      {"STARTED", Kind::kStarted},
      {"GONE", Kind::kGone},
      {"FIRED", Kind::kFired},
      {"SHUTDOWN", Kind::kShutdown},
      {"NOTE_FROM", Kind::kNoteFrom},
  }};

  std::istream& in_;
  std::ostream& out_;
  std::string line_, reply_;
  Time now_ = 0;
  std::unordered_map<std::string, Instance> instances_;  // never iterated
  std::array<SharedList, 16> lists_;
  std::vector<Action> actions_;
};

}  // namespace

int RunHost(std::istream& in, std::ostream& out, std::ostream& errors) {
  Host host(in, out);
  try {
    host.Run();
    return 0;
  } catch (const std::exception& e) {
    errors << "line " << host.line_number << ": " << e.what() << "\n";
    return 1;
  }
}

}  // namespace rookgw::wire

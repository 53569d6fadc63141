#include "simwire/wire.h"

#include <charconv>
#include <cmath>

namespace rookgw::wire {
namespace {

LoadReport ParseUsage(Fields& fields, const Site& site) {
  LoadReport report;
  std::string_view text = fields.Word("Usage");
  if (text == "-") return report;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    double value = 0;
    if (colon == std::string_view::npos) fields.ThrowExpected("Usage", "name:value pairs");
    const std::string_view digits = pair.substr(colon + 1), name = pair.substr(0, colon);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc() || end != digits.data() + digits.size() || !std::isfinite(value))
      fields.ThrowExpected("Usage", "a number after each name");
    if (name == "x0" && site.x0_is_slots) report.free_slots = value;
    if (name == "x1" && site.x1_is_memory) report.free_memory = value;
    if (name == "waiting") report.waiting = value;
    if (name == "active") report.active = value;
  }
  return report;
}

Outcome ToOutcome(Fields& fields) {
  switch (fields.Integer("StateCode")) {
    case 0:
      return Outcome::kServed;
    case 13:
      return Outcome::kError;
    case 8:
      return Outcome::kFull;
    case 4:
      return Outcome::kTimeout;
    case 14:
      return Outcome::kConnectFailed;
    case 10:
      return Outcome::kReset;
    case 1:
      return Outcome::kCancelled;
    case 9:
      return Outcome::kVoid;
    default:
      fields.ThrowExpected("StateCode", "a known outcome code");
  }
}

}  // namespace

void Fields::ThrowExpected(const char* field, const std::string& expected) const {
  throw Error(std::string(message_) + ": " + field + ": " + expected + " expected");
}

std::string_view Fields::Word(const char* field) {
  if (ended_) ThrowExpected(field, "a value");
  const std::size_t space = rest_.find(' ');
  const std::string_view word = rest_.substr(0, space);
  if (word.empty()) ThrowExpected(field, "a value");
  if (space == std::string_view::npos)
    ended_ = true;
  else
    rest_.remove_prefix(space + 1);
  return word;
}

std::string_view Fields::Rest(const char* field) {
  if (ended_) ThrowExpected(field, "text");
  ended_ = true;
  return rest_;
}

bool Fields::SkipIfAbsent(const char* field) {
  if (ended_ || rest_.substr(0, rest_.find(' ')) != "-") return false;
  Word(field);
  return true;
}

std::int64_t Fields::Integer(const char* field, std::int64_t min, std::int64_t max) {
  const std::string_view word = Word(field);
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error != std::errc() || end != word.data() + word.size()) ThrowExpected(field, "a whole number");
  if (value < min || value > max) ThrowExpected(field, "a whole number in range");
  return value;
}

std::int64_t Fields::IntegerOr(const char* field, std::int64_t absent) {
  return SkipIfAbsent(field) ? absent : Integer(field, 0);
}

double Fields::Number(const char* field) {
  const std::string_view word = Word(field);
  double value = 0;
  auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error != std::errc() || end != word.data() + word.size() || !std::isfinite(value) || value < 0)
    ThrowExpected(field, "a number of 0 or more");
  return value;
}

double Fields::NumberOr(const char* field, double absent) {
  return SkipIfAbsent(field) ? absent : Number(field);
}

std::uint64_t Fields::Hex(const char* field) {
  const std::string_view word = Word(field);
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value, 16);
  if (word.size() != 16 || error != std::errc() || end != word.data() + word.size())
    ThrowExpected(field, "16 hex digits");
  return value;
}

bool Fields::Bool(const char* field) { return Integer(field, 0, 1) == 1; }

int Fields::Name(const char* field, const std::unordered_map<std::string, int>& names) {
  if (SkipIfAbsent(field)) return kNone;
  auto it = names.find(std::string(Word(field)));
  if (it == names.end()) ThrowExpected(field, "a name from the settings");
  return it->second;
}

void Fields::ExpectEnd() const {
  if (!ended_) throw Error(std::string(message_) + ": more values than fields");
}

RawEntry ParseEntry(Fields f) {
  RawEntry entry;
  entry.worker.since = f.IntegerOr("Since", 0);
  const std::string_view state = f.Word("Lifecycle");
  if (state == "DRAINING")
    entry.worker.state = ListedWorker::State::kDraining;
  else if (state == "DELETED")
    entry.worker.state = ListedWorker::State::kGone;
  else if (state != "SERVING")
    f.ThrowExpected("Lifecycle", "SERVING, DRAINING or DELETED");
  entry.worker.cell = static_cast<int>(f.SkipIfAbsent("Pack") ? kNone : f.Integer("Pack", -1, INT32_MAX));
  entry.worker.id = f.Word("Executor");
  entry.worker.weight = f.NumberOr("CapacityHint", 1);
  entry.kind = f.Word("Hw");
  entry.zone = f.Word("RegionPart");
  f.ExpectEnd();
  return entry;
}

std::vector<ListedWorker> Resolve(const std::vector<RawEntry>& entries, const Site& site) {
  auto find = [](const std::unordered_map<std::string, int>& names, const std::string& name,
                 const char* field) {
    if (name == "-") return kNone;
    auto it = names.find(name);
    if (it == names.end()) throw Error(std::string("ITEM: ") + field + ": a name from the settings expected");
    return it->second;
  };
  std::vector<ListedWorker> workers;
  workers.reserve(entries.size());
  for (const RawEntry& e : entries) {
    workers.push_back(e.worker);
    workers.back().kind = find(site.kinds, e.kind, "Hw");
    workers.back().zone = find(site.zones, e.zone, "RegionPart");
  }
  return workers;
}

RequestArrived ParseRequest(Fields& f, const Site& site) {
  RequestArrived e;
  e.id = f.Hex("Job");
  if (!f.SkipIfAbsent("PartitionKey")) e.key = f.Hex("PartitionKey");
  e.slots = f.NumberOr("CoresNeeded", 1);
  if (!f.SkipIfAbsent("Effort")) e.effort = f.Integer("Effort", 0);
  e.valid_until = f.Integer("ValidUntil", 0);
  e.memory = f.NumberOr("RamUnits", 0);
  const std::int64_t bits = f.IntegerOr("Bitmap", 0);
  if ((bits & 1) == 0) e.effort.reset();
  e.repeat = (bits & 2) != 0;
  e.tenant = f.Name("Realm", site.tenants);
  e.cls = f.Name("Service", site.classes);
  if (e.cls == kNone) f.ThrowExpected("Service", "a name from the settings");
  f.ExpectEnd();
  return e;
}

AttemptUpdate ParseNote(Fields& f) {
  AttemptUpdate e;
  e.id = f.Hex("Job");
  f.Word("Executor");
  e.kind = f.Integer("Kind", 1, 2) == 1 ? AttemptUpdate::Kind::kStarted : AttemptUpdate::Kind::kProgress;
  e.share_done = f.NumberOr("Level", 0);
  e.attempt = static_cast<int>(f.Integer("N", 0, INT32_MAX));
  f.ExpectEnd();
  return e;
}

AttemptEnded ParseEnded(Fields& f, const Site& site) {
  AttemptEnded e;
  e.id = f.Hex("Job");
  e.worker = f.Word("Executor");
  f.IntegerOr("Note", 0);
  e.attempt = static_cast<int>(f.Integer("N", 0, INT32_MAX));
  e.complete = f.Bool("Complete");
  e.outcome = ToOutcome(f);
  e.took = f.IntegerOr("CostTime", 0);
  e.report = ParseUsage(f, site);
  f.ExpectEnd();
  return e;
}

ProbeEnded ParseProbed(Fields& f, const Site& site) {
  ProbeEnded e;
  e.worker = f.Word("Executor");
  e.ok = ToOutcome(f) == Outcome::kServed;
  e.took = f.IntegerOr("CostTime", 0);
  e.report = ParseUsage(f, site);
  f.ExpectEnd();
  return e;
}

StreamStarted ParseStarted(Fields& f) {
  StreamStarted e;
  e.id = f.Hex("Job");
  e.attempt = static_cast<int>(f.Integer("N", 0, INT32_MAX));
  f.Word("Executor");
  f.IntegerOr("CostTime", 0);
  f.ExpectEnd();
  return e;
}

ListChanged::Form ParseForm(Fields& f) {
  const std::string_view form = f.Word("Form");
  if (form == "patch") return ListChanged::Form::kPatch;
  if (form == "whole") return ListChanged::Form::kWhole;
  if (form == "stale_copy") return ListChanged::Form::kStaleCopy;
  if (form == "broken") return ListChanged::Form::kFailed;
  f.ThrowExpected("Form", "patch, whole, stale_copy or broken");
}

namespace {

void Hex16(std::uint64_t value, std::string* out) {
  static constexpr char digits[] = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) out->push_back(digits[(value >> shift) & 15]);
}

struct Formatter {
  const std::string& node;
  std::string* out;

  void Head(const char* message) const { out->append(message).append(" ").append(node); }
  void Job(RequestId id) const {
    out->push_back(' ');
    Hex16(id, out);
  }
  template <typename T>
  void Value(const T& value) const {
    out->push_back(' ');
    if constexpr (std::is_arithmetic_v<T>)
      out->append(std::to_string(value));
    else
      out->append(value);
  }
  void operator()(const Dispatch& a) const { Head("DISPATCH"), Job(a.id), Value(a.timeout), Value(a.worker); }
  void operator()(const Decline& a) const { Head("DECLINE"), Job(a.id), Value(a.retry_after); }
  void operator()(const Fail& a) const { Head("FAIL"), Job(a.id); }
  void operator()(const CancelAttempt& a) const { Head("DROP_ATTEMPT"), Job(a.id), Value(a.attempt); }
  void operator()(const Probe& a) const { Head("PROBE"), Value(a.worker); }
  void operator()(const SetTimer& a) const { Head("WAKE_ME"), Value(a.span), Value(a.token); }
  void operator()(const Subscribe&) const { Head("FOLLOW"), Value(1); }
  void operator()(const Log& a) const { Head("RECORD"), Value(a.text); }
};

}  // namespace

void Format(const std::string& node, const Action& action, std::string* out) {
  std::visit(Formatter{node, out}, action);
  out->push_back('\n');
}

}  // namespace rookgw::wire

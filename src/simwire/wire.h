// The simulator's text protocol: parses events into, and formats actions from, the types of rookgw/brain.h.
#pragma once

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decisions/settings.h"
#include "rookgw/brain.h"

namespace rookgw::wire {

// Invalid input; the message is one line.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A list entry with unresolved names: instances share a list, but the names depend on the site.
struct RawEntry {
  ListedWorker worker;
  std::string kind, zone;
};

// A cursor over the values of one line. Each call consumes the next value or throws Error naming the field.
class Fields {
 public:
  Fields(std::string_view line, std::string_view message) : rest_(line), message_(message) {}
  std::string_view Word(const char* field);
  std::string_view Rest(const char* field);
  bool SkipIfAbsent(const char* field);  // consumes the value if it is "-"
  std::int64_t Integer(const char* field, std::int64_t min = INT64_MIN, std::int64_t max = INT64_MAX);
  double Number(const char* field);
  std::uint64_t Hex(const char* field);
  bool Bool(const char* field);
  int Name(const char* field, const std::unordered_map<std::string, int>& names);
  std::int64_t IntegerOr(const char* field, std::int64_t absent);
  double NumberOr(const char* field, double absent);
  void ExpectEnd() const;
  [[noreturn]] void ThrowExpected(const char* field, const std::string& expected) const;

 private:
  std::string_view rest_, message_;
  bool ended_ = false;
};

RawEntry ParseEntry(Fields fields);
std::vector<ListedWorker> Resolve(const std::vector<RawEntry>& entries, const Site& site);
RequestArrived ParseRequest(Fields& fields, const Site& site);
AttemptUpdate ParseNote(Fields& fields);
AttemptEnded ParseEnded(Fields& fields, const Site& site);
ProbeEnded ParseProbed(Fields& fields, const Site& site);
StreamStarted ParseStarted(Fields& fields);
ListChanged::Form ParseForm(Fields& fields);

void Format(const std::string& node, const Action& action, std::string* out);

}  // namespace rookgw::wire

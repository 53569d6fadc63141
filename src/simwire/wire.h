// The text protocol of the simulator's wire: parses events into, and formats actions from, the types of
// rookgw/brain.h. Nothing is decided here.
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

// What is wrong with the input, in one plain line.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One list entry with its names unresolved: a list is shared by instances, names belong to a site.
struct RawEntry {
  ListedWorker worker;
  std::string kind, zone;
};

// A cursor over the values of one line. Each call takes the next value or throws Error naming the field.
class Fields {
 public:
  Fields(std::string_view line, std::string_view message) : rest_(line), message_(message) {}
  std::string_view Word(const char* field);
  std::string_view Rest(const char* field);
  bool Absent(const char* field);  // takes the value when it is "-"
  std::int64_t Integer(const char* field, std::int64_t least = INT64_MIN, std::int64_t most = INT64_MAX);
  double Number(const char* field);
  std::uint64_t Hex(const char* field);
  bool Bool(const char* field);
  int Name(const char* field, const std::unordered_map<std::string, int>& names);
  std::int64_t IntegerOr(const char* field, std::int64_t absent);
  double NumberOr(const char* field, double absent);
  void Done() const;
  [[noreturn]] void Bad(const char* field, const std::string& expected) const;

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

// Reads TOML tables with checks: every value is asked for by key, type and range; what is missing, wrong or
// unknown is collected and told all at once, each in one line with file, line, key, what was expected and
// what was found.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "rookgw/brain.h"

namespace lichenlug::lab {

using rookgw::Time;

// All that is wrong with a file, one line each.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::vector<std::string>& lines);
};

class Problems {
 public:
  void Add(const toml::source_region& where, const std::string& key, const std::string& what);
  void Add(const std::string& line) { lines_.push_back(line); }
  // Throws ConfigError when there are any.
  void Check() const;

 private:
  std::vector<std::string> lines_;
};

// One table. `Done` names the keys that nobody asked for, with the nearest one that is known.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, Problems* problems)
      : table_(&table), path_(std::move(path)), problems_(problems) {}

  bool Has(const std::string& key) const { return table_->contains(key); }
  double Number(const std::string& key, double absent, double least = 0, double most = 1e18);
  std::int64_t Whole(const std::string& key, std::int64_t absent, std::int64_t least = 0,
                     std::int64_t most = 1'000'000'000);
  Time Span(const std::string& key, Time absent);  // text such as "300ms", "2.5s", "10us", "1min"
  bool Flag(const std::string& key, bool absent);
  std::string Text(const std::string& key, const std::string& absent);
  // One of `choices`; gives its index.
  int Choice(const std::string& key, int absent, const std::vector<std::string>& choices);
  std::vector<double> Numbers(const std::string& key, const std::vector<double>& absent);
  std::vector<std::string> Texts(const std::string& key, const std::vector<std::string>& absent);
  TableReader Table(const std::string& key);                // an empty one where it is absent
  std::vector<TableReader> Tables(const std::string& key);  // [[key]]
  void Fault(const std::string& key, const std::string& what) const;
  void Done() const;
  const std::string& path() const { return path_; }

 private:
  const toml::node* Find(const std::string& key);
  std::string Full(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  void Wrong(const toml::node& node, const std::string& key, const std::string& expected) const;

  const toml::table* table_;
  std::string path_;
  Problems* problems_;
  std::set<std::string> asked_;
};

// Throws ConfigError with file and line when the file cannot be read or is not TOML.
toml::table ReadTomlFile(const std::string& path);

// "300ms" to microseconds; throws std::invalid_argument saying what was expected.
Time ParseSpan(std::string_view text);

}  // namespace lichenlug::lab

#include "lab/config/reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <numeric>
#include <sstream>

namespace lichenlug::lab {
namespace {

std::string Join(const std::vector<std::string>& parts, const char* between) {
  std::string all;
  for (const std::string& part : parts) all += (all.empty() ? "" : between) + part;
  return all;
}

std::size_t EditDistance(std::string_view a, std::string_view b) {  // Levenshtein, one row
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t swapped = diagonal + (a[i - 1] != b[j - 1]);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, swapped}));
    }
  }
  return row.back();
}

std::string Worded(const toml::node& node) {
  std::ostringstream out;
  node.visit([&out](const auto& value) {
    if constexpr (toml::is_table<decltype(value)>)
      out << "a table";
    else if constexpr (toml::is_array<decltype(value)>)
      out << "an array";
    else
      out << toml::node_view<const toml::node>(value);
  });
  return out.str();
}

}  // namespace

ConfigError::ConfigError(const std::vector<std::string>& lines) : std::runtime_error(Join(lines, "\n")) {}

void Problems::Add(const toml::source_region& where, const std::string& key, const std::string& what) {
  std::ostringstream line;
  line << (where.path ? *where.path : "configuration") << ":" << where.begin.line << ": " << key << ": "
       << what;
  lines_.push_back(line.str());
}

void Problems::Check() const {
  if (!lines_.empty()) throw ConfigError(lines_);
}

Time ParseSpan(std::string_view text) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view unit(end, text.data() + text.size() - end);
  double factor = 0;
  if (unit == "us") factor = 1;
  if (unit == "ms") factor = 1e3;
  if (unit == "s") factor = 1e6;
  if (unit == "min") factor = 60e6;
  if (unit == "h") factor = 3600e6;
  if (error != std::errc() || factor == 0 || number < 0 || !(number * factor < 9e15))
    throw std::invalid_argument("a span such as \"300ms\", \"2.5s\" or \"1min\" expected");
  return static_cast<Time>(std::llround(number * factor));
}

const toml::node* TableReader::Find(const std::string& key) {
  asked_.insert(key);
  return table_->get(key);
}

void TableReader::Wrong(const toml::node& node, const std::string& key, const std::string& expected) const {
  problems_->Add(node.source(), Full(key), expected + " expected, found " + Worded(node));
}

void TableReader::Fault(const std::string& key, const std::string& what) const {
  const toml::node* node = table_->get(key);
  problems_->Add(node != nullptr ? node->source() : table_->source(), Full(key), what);
}

double TableReader::Number(const std::string& key, double absent, double least, double most) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  const auto value = node->value<double>();
  if (value && node->is_number() && *value >= least && *value <= most) return *value;
  std::ostringstream expected;
  expected << "a number from " << least << " to " << most;
  Wrong(*node, key, expected.str());
  return absent;
}

std::int64_t TableReader::Whole(const std::string& key, std::int64_t absent, std::int64_t least,
                                std::int64_t most) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  if (node->is_integer()) {
    const std::int64_t value = *node->value<std::int64_t>();
    if (value >= least && value <= most) return value;
  }
  Wrong(*node, key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return absent;
}

Time TableReader::Span(const std::string& key, Time absent) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  if (const auto text = node->value<std::string>(); text && node->is_string()) {
    try {
      return ParseSpan(*text);
    } catch (const std::invalid_argument&) {
    }
  }
  Wrong(*node, key, "a span such as \"300ms\", \"2.5s\" or \"1min\"");
  return absent;
}

bool TableReader::Flag(const std::string& key, bool absent) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  if (node->is_boolean()) return *node->value<bool>();
  Wrong(*node, key, "true or false");
  return absent;
}

std::string TableReader::Text(const std::string& key, const std::string& absent) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  if (node->is_string()) return *node->value<std::string>();
  Wrong(*node, key, "text");
  return absent;
}

int TableReader::Choice(const std::string& key, int absent, const std::vector<std::string>& choices) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  const std::string text = node->is_string() ? *node->value<std::string>() : "";
  const auto found = std::ranges::find(choices, text);
  if (found != choices.end()) return static_cast<int>(found - choices.begin());
  Wrong(*node, key, "one of " + Join(choices, ", "));
  return absent;
}

std::vector<double> TableReader::Numbers(const std::string& key, const std::vector<double>& absent) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  std::vector<double> numbers;
  const toml::array* array = node->as_array();
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i)
    if ((*array)[i].is_number()) numbers.push_back(*(*array)[i].value<double>());
  if (array != nullptr && numbers.size() == array->size() && !numbers.empty()) return numbers;
  Wrong(*node, key, "a list of numbers");
  return absent;
}

std::vector<std::string> TableReader::Texts(const std::string& key, const std::vector<std::string>& absent) {
  const toml::node* node = Find(key);
  if (node == nullptr) return absent;
  std::vector<std::string> texts;
  const toml::array* array = node->as_array();
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i)
    if ((*array)[i].is_string()) texts.push_back(*(*array)[i].value<std::string>());
  if (array != nullptr && texts.size() == array->size()) return texts;
  Wrong(*node, key, "a list of texts");
  return absent;
}

TableReader TableReader::Table(const std::string& key) {
  static const toml::table none;
  const toml::node* node = Find(key);
  if (node != nullptr && node->is_table()) return {*node->as_table(), Full(key), problems_};
  if (node != nullptr) Wrong(*node, key, "a table");
  return {none, Full(key), problems_};
}

std::vector<TableReader> TableReader::Tables(const std::string& key) {
  std::vector<TableReader> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) return tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Wrong(*node, key, "tables written as [[" + Full(key) + "]]");
    return tables;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const std::string item = key + "[" + std::to_string(i) + "]";
    if (const toml::table* table = (*array)[i].as_table())
      tables.emplace_back(*table, Full(item), problems_);
    else
      Wrong((*array)[i], item, "a table");
  }
  return tables;
}

void TableReader::Done() const {
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (asked_.contains(name)) continue;
    const auto nearest = std::ranges::min_element(
        asked_, {}, [&name](const std::string& known) { return EditDistance(name, known); });
    const bool near = nearest != asked_.end() && EditDistance(name, *nearest) <= 2;
    problems_->Add(node.source(), Full(name),
                   "no such key" + (near ? "; is " + *nearest + " meant?" : std::string()));
  }
}

toml::table ReadTomlFile(const std::string& path) {
  if (!std::filesystem::is_regular_file(path)) throw ConfigError({path + ": no such file"});
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    throw ConfigError(
        {path + ":" + std::to_string(e.source().begin.line) + ": " + std::string(e.description())});
  }
}

}  // namespace lichenlug::lab

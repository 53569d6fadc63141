// Merging and expiry of the demand reports of dispatchers.
#include "duties/demand_reports.h"

#include <catch2/catch.hpp>

namespace lichenlug::duties {
namespace {

constexpr Time kStart = 100 * kSecond;

messages::DemandReport Report(const std::string& name, std::uint64_t incarnation, std::uint64_t number,
                              int unserved = 0) {
  messages::DemandReport report;
  report.set_name(name);
  report.set_incarnation(incarnation);
  report.set_number(number);
  report.add_models()->set_unserved(unserved);
  return report;
}

TEST_CASE("the newest report of each dispatcher is kept, in whatever order reports arrive") {
  DemandReports reports;
  reports.Merge(kStart, Report("a", 2, 1, 5));
  reports.Merge(kStart, Report("a", 1, 9, 7));  // of an earlier process
  reports.Merge(kStart, Report("b", 1, 4));
  reports.Merge(kStart, Report("b", 1, 3));
  const auto recent = reports.Recent(kStart);
  REQUIRE(recent.size() == 2);
  CHECK(recent[0].incarnation() == 2);
  CHECK(recent[1].number() == 4);
}

TEST_CASE("the report of a dispatcher that sends no more expires") {
  DemandReports reports;
  reports.Merge(kStart, Report("a", 1, 1));
  reports.Merge(kStart + 3 * kSecond, Report("b", 1, 1));
  CHECK(reports.Recent(kStart + 4 * kSecond).size() == 2);
  CHECK(reports.Recent(kStart + 5 * kSecond).size() == 1);
  CHECK(reports.Recent(kStart + 8 * kSecond).empty());
}

TEST_CASE("unserved requests are signalled by a newer report only") {
  DemandReports reports;
  CHECK_FALSE(reports.Merge(kStart, Report("a", 1, 1, 0)));
  CHECK(reports.Merge(kStart, Report("a", 1, 3, 2)));
  CHECK_FALSE(reports.Merge(kStart, Report("a", 1, 2, 2)));
}

TEST_CASE("the number of dispatchers is bounded, and known ones can still report") {
  DemandReports reports;
  for (int i = 0; i < 9000; ++i) reports.Merge(kStart, Report(std::to_string(i), 1, 1));
  CHECK(reports.Recent(kStart).size() == 8192);
  CHECK(reports.Merge(kStart, Report("0", 1, 2, 1)));
  CHECK_FALSE(reports.Merge(kStart, Report("one more", 1, 1, 1)));
}

}  // namespace
}  // namespace lichenlug::duties

// Randomized simulation of usage reporting with failovers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "duties/usage.h"
#include "usage_reports.h"

namespace lichenlug::duties {

TEST_CASE("across failovers each window is chosen once, and all its reports are equal") {
  std::size_t due = 0, missed = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto chance = [&random](int one_in) { return random() % static_cast<std::uint64_t>(one_in) == 0; };
    std::vector<std::unique_ptr<UsageDuty>> duties(3);
    for (auto& duty : duties) duty = std::make_unique<UsageDuty>(UsageDuty::Settings{kWindow, kLate});
    messages::OwnershipState state;
    std::vector<messages::WindowCount> pending;  // proposed to the register by the current holder
    std::map<std::int64_t, std::string> bodies;
    std::map<std::int64_t, CountByTenant> truth;
    std::set<std::int64_t> acknowledged;
    struct InFlight {
      std::size_t duty;
      std::uint64_t tag;
      int status;
      Time at;
    };
    std::vector<InFlight> answers;
    std::vector<Time> losses;  // of the holder
    std::size_t holder = 0;
    std::uint64_t epoch = 1, count = 0;
    Time now = 0, wall = kStart;
    for (int step = 0; step < 2400; ++step, now += 50 * kMillisecond, wall += 50 * kMillisecond) {
      const std::int64_t window = wall / kWindow;
      truth[window]["t"] += count = random() % 3;
      if (step % 5 == 0) {  // one dispatcher counts and reports to all; some reports are lost
        for (auto& duty : duties)
          if (!chance(4)) duty->Merge(wall, MakeReport("d", 1, window, truth[window]));
        if (step % 100 != 0)
          for (auto& duty : duties) duty->Merge(wall, MakeReport("d", 1, window - 1, truth[window - 1]));
      }
      if (chance(150)) {  // the holder fails, and tallies that were not chosen are lost
        holder = random() % 3;
        ++epoch;
        losses.push_back(wall);
        pending.clear();
        if (chance(2)) {  // a new process
          duties[holder] = std::make_unique<UsageDuty>(UsageDuty::Settings{kWindow, kLate});
          std::erase_if(answers, [&](const InFlight& answer) { return answer.duty == holder; });
        }
        for (const auto& other : duties)
          for (const auto& report : other->Reports()) duties[holder]->Merge(wall, report);
      }
      if (!pending.empty() && chance(3)) {
        for (const auto& tally : pending) {
          const bool is_new = state.tallies().empty() || state.tallies().rbegin()->window() < tally.window();
          if (is_new) *state.add_tallies() = tally;
        }
        pending.clear();
        while (state.tallies_size() > 16) state.mutable_tallies()->DeleteSubrange(0, 1);
      }
      UsageDuty::Output output;
      duties[holder]->Act(now, wall, epoch, state, &output);
      for (const auto& tally : output.choose) pending.push_back(tally);
      for (const HttpCall& call : output.calls) {
        REQUIRE(call.fence == epoch);
        const std::int64_t reported = WindowIn(call);
        const auto [known, added] = bodies.try_emplace(reported, call.body);
        REQUIRE(known->second == call.body);
        const int status = chance(3) ? 503 : 200;
        if (status == 200) acknowledged.insert(reported);
        if (!chance(4))
          answers.push_back(
              {holder, call.tag, status, now + static_cast<Time>(random() % 400) * kMillisecond});
      }
      std::erase_if(answers, [&](const InFlight& answer) {
        if (answer.at > now) return false;
        UsageDuty::Output more;
        duties[answer.duty]->Completed(now, answer.tag, {answer.status, ""}, &more);
        return true;
      });
    }
    const std::int64_t last_due = (wall - kLate) / kWindow - 1;
    for (std::int64_t window = kFirst; window <= last_due; ++window) {
      ++due;
      if (acknowledged.contains(window)) continue;
      ++missed;  // only if its holder failed after the window had ended
      const Time ended = (window + 1) * kWindow;
      REQUIRE(std::any_of(losses.begin(), losses.end(), [ended](Time at) { return at > ended; }));
    }
    for (const auto& [window, body] : bodies) {
      const auto counted = nlohmann::json::parse(body)["tallies"].value("t", std::uint64_t{0});
      REQUIRE(counted == truth[window]["t"]);
    }
  }
  CAPTURE(due, missed);
  CHECK(missed * 500 <= due);  // with a holder failure every 7.5 s and half of the calls failing
}

}  // namespace lichenlug::duties

#include "placement/runner_ledger.h"

#include <catch2/catch.hpp>

namespace lichenlug::placement {
namespace {

using Phase = RunnerLedger::Phase;
const Key kFirstKey{"m1", ""}, kSecondKey{"m2", ""};
constexpr Time kLoadTime = 2 * kSecond;

messages::RunnerRecord Record(std::uint64_t heartbeat, const std::vector<std::string>& models) {
  messages::RunnerRecord record;
  record.set_runner_id("r1");
  record.set_address("10.0.0.1:80");
  record.set_call_count(heartbeat);
  for (const std::string& model : models) record.add_models()->set_name(model);
  return record;
}

RunnerReport Report(std::uint64_t accepted, bool busy, const std::vector<std::string>& models) {
  RunnerReport report;
  report.orders_accepted = accepted;
  report.busy = busy;
  for (const std::string& model : models) report.held.Add({model, ""});
  return report;
}

RunnerLedger IdleLedger(const std::vector<std::string>& models) {
  RunnerLedger ledger;
  ledger.Observe(0, Record(5, models));
  CHECK(ledger.NeedsReport(0, true));
  ledger.ReportSent(0);
  ledger.ReportAnswered(0, Report(3, false, models));
  CHECK(ledger.CanOrder(0));
  return ledger;
}

TEST_CASE("a runner's state is read before its first order, and only if there is one") {
  RunnerLedger ledger;
  ledger.Observe(0, Record(5, {}));
  CHECK_FALSE(ledger.CanOrder(0));
  CHECK_FALSE(ledger.NeedsReport(0, false));
  CHECK(ledger.NeedsReport(0, true));
  ledger.ReportSent(0);
  CHECK_FALSE(ledger.NeedsReport(0, true));
  ledger.ReportAnswered(0, Report(3, true, {}));  // another holder's order is in progress
  CHECK_FALSE(ledger.CanOrder(0));
  CHECK(ledger.NeedsReport(kSecond, true));
}

TEST_CASE("a load counts from when its order is sent, answered or not") {
  RunnerLedger ledger = IdleLedger({"m1"});
  ledger.OrderSent(0, {Order::Kind::kLoad, kSecondKey}, kLoadTime, 9);
  CHECK(ledger.MayHold().Holds(kSecondKey));
  ledger.OrderAnswered(kSecond, OrderOutcome::kUnknown);
  CHECK(ledger.MayHold().Holds(kSecondKey));
  CHECK(ledger.unsettled_load() == 9);
  CHECK_FALSE(ledger.TakeSettledLoad());
  // Not accepted so far, but the order may still arrive.
  ledger.ReportSent(2 * kSecond);
  ledger.ReportAnswered(2 * kSecond, Report(3, false, {"m1"}));
  CHECK(ledger.CanOrder(2 * kSecond));
  CHECK(ledger.MayHold().Holds(kSecondKey));
  CHECK(ledger.unsettled_load() == 9);
  // Once another order with the same number is accepted, the unanswered one would be refused.
  ledger.OrderSent(2 * kSecond, {Order::Kind::kUnload, kFirstKey}, 0, 0);
  ledger.OrderAnswered(2 * kSecond, OrderOutcome::kAccepted);
  CHECK_FALSE(ledger.MayHold().Holds(kSecondKey));
  CHECK(ledger.TakeSettledLoad() == std::optional<std::uint64_t>(9));
  CHECK(ledger.orders_accepted() == 4);
}

TEST_CASE("an unanswered load still counts after a change of epoch") {
  RunnerLedger ledger = IdleLedger({});
  ledger.OrderSent(0, {Order::Kind::kLoad, kFirstKey}, kLoadTime, 9);
  ledger.Restart();
  ledger.ReportSent(0);
  ledger.ReportAnswered(0, Report(3, false, {}));
  CHECK(ledger.MayHold().Holds(kFirstKey));
  CHECK(ledger.unsettled_load() == 9);
}

TEST_CASE("an unloaded model counts until a report without it shows no order in progress") {
  RunnerLedger ledger = IdleLedger({"m1"});
  ledger.OrderSent(0, {Order::Kind::kUnload, kFirstKey}, 0, 0);
  ledger.OrderAnswered(0, OrderOutcome::kAccepted);
  ledger.Observe(kSecond, Record(6, {}));  // the unload may only have begun
  CHECK(ledger.MayHold().Holds(kFirstKey));
  CHECK_FALSE(ledger.CanOrder(kSecond));
  CHECK(ledger.NeedsReport(kSecond, false));
  ledger.ReportSent(kSecond);
  ledger.ReportAnswered(kSecond, Report(3, false, {}));  // predates the order
  CHECK(ledger.MayHold().Holds(kFirstKey));
  ledger.ReportSent(2 * kSecond);
  ledger.ReportAnswered(2 * kSecond, Report(4, true, {}));
  CHECK(ledger.MayHold().Holds(kFirstKey));
  ledger.ReportSent(3 * kSecond);
  ledger.ReportAnswered(3 * kSecond, Report(4, false, {}));
  CHECK_FALSE(ledger.MayHold().Holds(kFirstKey));
  CHECK(ledger.CanOrder(3 * kSecond));
}

TEST_CASE("a load is complete when a heartbeat after its order shows it") {
  RunnerLedger ledger = IdleLedger({});
  ledger.OrderSent(0, {Order::Kind::kLoad, kFirstKey}, kLoadTime, 9);
  ledger.OrderAnswered(0, OrderOutcome::kAccepted);
  CHECK(ledger.phase() == Phase::kWorking);
  ledger.Observe(kSecond, Record(5, {"m1"}));  // not newer
  CHECK(ledger.phase() == Phase::kWorking);
  ledger.Observe(3 * kSecond, Record(7, {"m1"}));
  CHECK(ledger.phase() == Phase::kIdle);
  CHECK(ledger.held().Holds(kFirstKey));
}

TEST_CASE("a heartbeat that shows an order complete may precede the order's answer") {
  RunnerLedger ledger = IdleLedger({});
  ledger.OrderSent(0, {Order::Kind::kLoad, kFirstKey}, kLoadTime, 9);
  ledger.Observe(kSecond, Record(6, {"m1"}));
  ledger.OrderAnswered(kSecond, OrderOutcome::kAccepted);
  CHECK(ledger.phase() == Phase::kIdle);
}

TEST_CASE("a report is requested if an order is never seen complete") {
  RunnerLedger ledger = IdleLedger({});
  ledger.OrderSent(0, {Order::Kind::kLoad, kFirstKey}, kLoadTime, 9);
  ledger.OrderAnswered(0, OrderOutcome::kAccepted);
  CHECK_FALSE(ledger.NeedsReport(8 * kSecond, false));
  CHECK(ledger.NeedsReport(9 * kSecond, false));
  ledger.ReportSent(9 * kSecond);
  ledger.ReportAnswered(9 * kSecond, ReportError::kNoAnswer);
  CHECK_FALSE(ledger.NeedsReport(10 * kSecond, false));
  CHECK(ledger.NeedsReport(12 * kSecond, false));
}

TEST_CASE("after each order that isn't accepted the runner's state is read again, with backoff") {
  for (OrderOutcome outcome : {OrderOutcome::kAlreadyDone, OrderOutcome::kConflict, OrderOutcome::kInvalid,
                               OrderOutcome::kOtherRunner, OrderOutcome::kUnknown}) {
    RunnerLedger ledger = IdleLedger({});
    ledger.OrderSent(0, {Order::Kind::kLoad, kFirstKey}, kLoadTime, 9);
    ledger.OrderAnswered(0, outcome);
    CHECK(ledger.phase() == Phase::kUnread);
    CHECK_FALSE(ledger.NeedsReport(0, true));
    CHECK(ledger.NeedsReport(3 * kSecond, true));
    CHECK(ledger.TakeSettledLoad().has_value() == (outcome != OrderOutcome::kUnknown));
  }
}

TEST_CASE("a runner's state is read again if its record differs from the known state") {
  RunnerLedger ledger = IdleLedger({"m1"});
  ledger.Observe(kSecond, Record(6, {"m1", "m2"}));
  CHECK(ledger.phase() == Phase::kUnread);
  CHECK(ledger.MayHold().Holds(kSecondKey));
}

}  // namespace
}  // namespace lichenlug::placement

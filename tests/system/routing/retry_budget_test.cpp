// The retry budget of a service, the sliding counter and the priority scale.
#include "routing/retry_budget.h"

#include <catch2/catch.hpp>

#include "routing/priority_scale.h"

namespace lichenlug::routing {
namespace {

constexpr Time kWindow = 10 * kSecond;

int SpendRetries(RetryBudget* budget, Time now, const Bounds& bounds, const DispatcherCount& count) {
  int retries = 0;
  for (; retries < 1000 && budget->Allows(now, bounds, count); ++retries) budget->CountRetry(now);
  return retries;
}

TEST_CASE("a restarted dispatcher has no share of the slack in the first window", "[budget]") {
  Bounds bounds;
  RetryBudget budget(kWindow);
  DispatcherCount count(100 * kSecond);
  CHECK(SpendRetries(&budget, 100 * kSecond, bounds, count) == 0);
  count.Set(100 * kSecond, kWindow, 1);
  CHECK(SpendRetries(&budget, 109 * kSecond, bounds, count) == 0);
  CHECK(SpendRetries(&budget, 110 * kSecond, bounds, count) == 48);  // 0.8 of 60
}

TEST_CASE("the budget grows with own requests and is restored as the window slides", "[budget]") {
  Bounds bounds;
  bounds.retry_slack = 0;
  RetryBudget budget(kWindow);
  DispatcherCount count(0);
  count.Set(0, kWindow, 1);
  const Time start = 50 * kSecond;
  for (int i = 0; i < 100; ++i) budget.CountRequest(start);
  CHECK(SpendRetries(&budget, start, bounds, count) == 17);  // 0.85 x 0.2 x 100
  CHECK(SpendRetries(&budget, start + 9 * kSecond, bounds, count) == 0);
  for (int i = 0; i < 100; ++i) budget.CountRequest(start + 10 * kSecond + 200 * kMillisecond);
  CHECK(SpendRetries(&budget, start + 10 * kSecond + 300 * kMillisecond, bounds, count) == 17);
}

TEST_CASE("an idle budget drops old requests", "[budget]") {
  Bounds bounds;
  bounds.retry_slack = 0;
  RetryBudget budget(kWindow);
  DispatcherCount count(0);
  count.Set(0, kWindow, 1);
  for (int i = 0; i < 1000; ++i) budget.CountRequest(50 * kSecond);
  CHECK(SpendRetries(&budget, 1000 * kSecond, bounds, count) == 0);
}

TEST_CASE("the share of the slack does not grow at once when others are lost: they may be partitioned",
          "[budget]") {
  DispatcherCount count(0);
  count.Set(kSecond, kWindow, 10);
  CHECK(count.SlackShare(20 * kSecond, 60, kWindow) == Approx(6));
  count.Set(21 * kSecond, kWindow, 4);
  CHECK(count.live() == 4);
  CHECK(count.SlackShare(21 * kSecond, 60, kWindow) == Approx(6));
  CHECK(count.SlackShare(200 * kSecond, 60, kWindow) == Approx(6));
  count.Set(200 * kSecond, kWindow, 20);  // an increase takes effect at once
  CHECK(count.SlackShare(200 * kSecond, 60, kWindow) == Approx(3));
  count.Set(201 * kSecond, kWindow, 5);
  CHECK(count.SlackShare(500 * kSecond, 60, kWindow) == Approx(3));
  CHECK(count.SlackShare(502 * kSecond, 60, kWindow) == Approx(12));  // they have been lost for minutes
}

TEST_CASE("a count that changes often is remembered by its maximum", "[budget]") {
  DispatcherCount count(0);
  Time now = 20 * kSecond;
  for (int i = 0; i < 1000; ++i, now += kMillisecond) count.Set(now, kWindow, i % 2 == 0 ? 9 : 3 + i % 3);
  count.Set(now, kWindow, 3);
  CHECK(count.SlackShare(now, 90, kWindow) == Approx(10));
  CHECK(count.SlackShare(now + 31 * kWindow, 90, kWindow) == Approx(30));
}

TEST_CASE("retries are unlimited if the retry budget is not enforced", "[budget]") {
  Bounds bounds;
  bounds.retry_budget = false;
  RetryBudget budget(kWindow);
  CHECK(SpendRetries(&budget, kSecond, bounds, DispatcherCount(0)) == 1000);
}

TEST_CASE("the sliding counter's bounds enclose the true count of the window", "[budget]") {
  SlidingCounter counter(kWindow);
  const Time start = 123456789;
  for (int i = 0; i < 1000; ++i) counter.Add(start + i * 10 * kMillisecond);
  const Time end = start + 1000 * 10 * kMillisecond;
  CHECK(counter.UpperBound(end) >= 1000);
  CHECK(counter.LowerBound(end) <= 1000);
  CHECK(counter.LowerBound(end) >= 980);
  CHECK(counter.UpperBound(end + kWindow + kSecond) == 0);
}

TEST_CASE("more urgent precedences have smaller numbers in the Priority header", "[priority]") {
  messages::Configuration configuration;
  CHECK(PriorityScale(configuration).PriorityOf(0) == 1);
  for (int precedence : {0, 1, 2, 3}) configuration.add_routes()->set_precedence(precedence);
  const PriorityScale routes(configuration);
  CHECK(routes.PriorityOf(0) == 1);
  CHECK(routes.PriorityOf(1) == 3);
  CHECK(routes.PriorityOf(2) == 5);
  CHECK(routes.PriorityOf(3) == 7);
  CHECK(routes.PriorityOf(1000) == 8);
  configuration.add_tenants()->set_precedence(0);
  configuration.add_tenants()->set_precedence(1);
  configuration.add_tenants()->set_precedence(2);
  const PriorityScale tenants(configuration);
  int last = 0;
  for (int tenant : {0, 1, 2})
    for (int precedence : {0, 1, 2, 3}) {
      const int priority = tenants.PriorityOf(tenant * 16 + precedence);
      CHECK(priority >= last);
      CHECK(priority < PriorityScale::kLate);
      last = priority;
    }
  CHECK(tenants.PriorityOf(0) == 0);
  CHECK(last == 8);
}

}  // namespace
}  // namespace lichenlug::routing

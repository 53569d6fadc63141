// Tracks what one runner may hold and the order that it is executing.
//
// Every order carries the number of orders that the runner had accepted when its state was read, and the
// runner accepts the order only if that number is still current (compare-and-set). So an order is always
// applied to the state on which it was decided, no matter who else sends orders or how late they arrive, and
// at most one of several orders with the same number is accepted. If the number isn't known, the runner's
// state is read before an order is sent.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "messages/generated/registry.pb.h"
#include "placement/held_set.h"
#include "placement/order_codec.h"

namespace lichenlug::placement {

class RunnerLedger {
 public:
  enum class Phase {
    kUnread,   // the state has to be read before an order is sent
    kReading,  // a report was requested
    kIdle,     // state and number are known, no order is in progress
    kOrdered,  // an order was sent and not answered yet
    kWorking,  // an order was accepted and isn't known to be complete
  };

  bool Observe(Time now, const messages::RunnerRecord& record);  // returns whether the record is new
  void Restart();  // a new epoch has begun: earlier knowledge of orders may be outdated

  bool NeedsReport(Time now, bool wanted) const;  // `wanted`: there is an intent
  bool CanOrder(Time now) const;

  void ReportSent(Time now);
  void ReportAnswered(Time now, const std::variant<RunnerReport, ReportError>& report);
  // `load` is the load's number in the weight store's budget, or 0 if the order doesn't count there. A load
  // that may still begin shares its number with later orders that carry the same number of accepted orders,
  // as only one of them can be accepted.
  void OrderSent(Time now, const Order& order, Time work_time, std::uint64_t load);
  void OrderAnswered(Time now, OrderOutcome outcome);

  const messages::RunnerRecord& record() const { return record_; }
  Phase phase() const { return phase_; }
  std::uint64_t orders_accepted() const { return orders_accepted_; }
  Time last_seen() const { return last_seen_; }
  int failures() const { return failures_; }  // consecutive calls that failed or were refused
  // Whether an order can be sent soon: nothing long-running is in progress.
  bool Available(Time now) const;

  const HeldSet& held() const;  // latest known state
  HeldSet MayHold() const;      // upper bound: with loads that may still arrive and unloads not confirmed
  HeldSet Expected() const;     // once the order in progress is complete
  const std::optional<Order>& in_flight() const { return in_flight_; }
  std::uint64_t unsettled_load() const { return unsettled_load_; }
  // Returns, once, the number of a load that can no longer begin, if there is one.
  std::optional<std::uint64_t> TakeSettledLoad();

 private:
  void Confirm(const HeldSet& held);
  void BackOff(Time now, Time min_delay);
  void FinishLoad();
  void DropUnanswered();

  messages::RunnerRecord record_;
  HeldSet reported_;   // according to the latest record
  HeldSet confirmed_;  // as of `orders_accepted_` accepted orders, with none in progress
  Phase phase_ = Phase::kUnread;
  std::uint64_t orders_accepted_ = 0;
  std::optional<Order> in_flight_;  // sent, and not known to be complete or refused
  HeldSet unanswered_;  // loads that may still arrive while the runner's number is `orders_accepted_`
  bool record_confirms_ = false;  // a heartbeat can show that the order in progress is complete
  bool report_pending_ = false;
  std::uint64_t unsettled_load_ = 0;
  std::uint64_t settled_load_ = 0;
  std::uint64_t record_at_order_ = 0;  // number of the latest heartbeat when the order was sent
  Time last_seen_ = 0;
  Time ordered_at_ = 0;
  Time work_time_ = 0;
  Time not_before_ = 0;
  Time report_requested_at_ = 0;
  int report_requests_ = 0;
  int failures_ = 0;
  int stale_reports_ = 0;
};

}  // namespace lichenlug::placement

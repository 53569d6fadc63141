// What one runner may hold, and the order that it is carrying out.
//
// Every order names the number of orders that the runner had taken when its state was read, and the runner
// takes it only if that number still holds. So an order is decided on the very state that it meets, whoever
// else has sent orders and however late they arrive; of two orders with one number at most one is taken. A
// runner whose number isn't known is read before it is ordered.
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
    kUnread,   // its state has to be read before an order
    kReading,  // a report is asked for
    kIdle,     // state and number are known, nothing is under way
    kOrdered,  // an order is sent, its answer is due
    kWorking,  // an order was taken and is not seen done
  };

  bool Observe(Time now, const messages::RunnerRecord& record);  // whether it told anything new
  void Restart();  // another epoch: whatever was known of orders may have changed

  bool NeedsReport(Time now, bool wanted) const;  // `wanted`: there is something to order
  bool CanOrder(Time now) const;

  void ReportSent(Time now);
  void ReportAnswered(Time now, const std::variant<RunnerReport, ReportError>& report);
  // `load` is its number in the budget of the weight store; 0: it doesn't count. A load that may still begin
  // keeps its number for orders that name the same number of orders taken, as only one of them can be taken.
  void OrderSent(Time now, const Order& order, Time work_time, std::uint64_t load);
  void OrderAnswered(Time now, OrderOutcome outcome);

  const messages::RunnerRecord& record() const { return record_; }
  Phase phase() const { return phase_; }
  std::uint64_t orders_taken() const { return orders_taken_; }
  Time last_seen() const { return last_seen_; }
  int failures() const { return failures_; }  // calls in a row that were not taken
  // May soon be given an order: nothing that takes long is under way.
  bool Available(Time now) const;

  const HeldSet& held() const;  // as best known
  HeldSet MayHold() const;      // with what may be or come, and all that isn't seen gone
  HeldSet Expected() const;     // after the order under way
  const std::optional<Order>& in_flight() const { return in_flight_; }
  std::uint64_t unsettled_load() const { return load_; }
  // The number of a load that can't begin any more since the last call, if any.
  std::optional<std::uint64_t> TakeSettledLoad();

 private:
  void Confirm(const HeldSet& held);
  void BackOff(Time now, Time least);
  void Finish();
  void DropUnanswered();

  messages::RunnerRecord record_;
  HeldSet told_;       // by the record
  HeldSet confirmed_;  // at `orders_taken_`, with nothing under way
  Phase phase_ = Phase::kUnread;
  std::uint64_t orders_taken_ = 0;
  std::optional<Order> in_flight_;  // sent, and not known to be done or refused
  HeldSet unanswered_;         // loads that may still arrive while the runner's number is `orders_taken_`
  bool record_tells_ = false;  // a heartbeat can show that the order under way is done
  bool awaits_report_ = false;
  std::uint64_t load_ = 0;
  std::uint64_t settled_load_ = 0;
  std::uint64_t record_at_order_ = 0;  // heartbeat number
  Time last_seen_ = 0;
  Time ordered_at_ = 0;
  Time work_time_ = 0;
  Time not_before_ = 0;
  Time asked_at_ = 0;
  int asks_ = 0;
  int failures_ = 0;
  int stale_reports_ = 0;
};

}  // namespace lichenlug::placement

// The part of an exchange that keeps an attempt whose runner's machine does not respond until another attempt
// replaces it (make before break).
#include "dataplane/exchange.h"
#include "dataplane/exchange_table.h"

namespace lichenlug::dataplane {
namespace {

using routing::AttemptOutcome;

constexpr std::string_view kUnreachable = "its machine does not respond";

}  // namespace

// Silence alone ends no response: another runner may replace the attempt, but only once it responds.
void Exchange::OnRunnerUnreachable(Attempt& attempt) {
  if (suspected_.get() == &attempt) return;
  ++context_->counters.suspected;
  const bool can_go_on = !head_sent_ || Resumable();
  if (suspected_ != nullptr || !can_go_on || !table_->MayFailOver(number_)) return;
  const auto self = shared_from_this();
  suspected_ = RemoveAttempt(attempt);
  may_have_run_ = may_have_run_ || suspected_->sent();
  last_failure_ = kUnreachable;
  table_->AttemptEnded(number_, suspected_->number(), AttemptOutcome::kBroken, /*final=*/false);
}

// Bytes from a suspected attempt arrived: it continues, and the attempt that was to replace it is cancelled.
void Exchange::ResumeSuspected(const Attempt& attempt) {
  if (suspected_ == nullptr || suspected_.get() != &attempt) return;
  attempts_.push_back(std::exchange(suspected_, nullptr));
  streaming_ = &attempt;
  StopOtherAttempts(attempt);
  decisions_closed_ = true;
  table_->CloseRequest(number_);
}

void Exchange::OnSuspectedFailed() {
  std::exchange(suspected_, nullptr)->Stop();
  // Otherwise the decision module has another attempt in progress or is selecting a runner for one.
  if (response_after_suspected_) FinishWith(*std::exchange(response_after_suspected_, std::nullopt));
}

}  // namespace lichenlug::dataplane

// The part of an exchange that forwards a stream, or a response too large to be buffered, as it arrives.
#include "dataplane/exchange.h"
#include "dataplane/exchange_table.h"

namespace lichenlug::dataplane {
namespace {

using routing::AttemptOutcome;

// Bytes buffered for a slow client, beyond which reading from the runner pauses.
constexpr std::size_t kMaxUnsent = 64 * 1024;

}  // namespace

bool Exchange::Resumable() const {
  return is_event_stream_ && match_.route->resumable() && last_id_ && context_->Now() < deadline_;
}

void Exchange::OnStreamBegin(Attempt& attempt, const HttpMessage& head, bool events) {
  const auto self = shared_from_this();
  if (head_sent_ && !events) return OnAttemptFailed(attempt, AttemptOutcome::kBroken);
  ResumeSuspected(attempt);
  StopOtherAttempts(attempt);
  streaming_ = &attempt;
  prelude_.clear();  // from an earlier attempt
  events_ = EventStream(kMaxEventBytes);
  if (head_sent_) return;  // the first runner's head was sent already
  stream_head_ = head;
  stream_head_.body.clear();
  is_event_stream_ = events;
  chunked_ = events || !head.has_length || head.length == 0;
  if (!events) SendStream(attempt, {});
}

// Appends the events that `bytes` completes, except those that were already forwarded.
void Exchange::AppendNewEvents(std::string_view bytes, std::string* out, bool* first) {
  const bool fits = events_.Feed(bytes, [&](const EventStream::Event& event) {
    if (event.id && last_id_ && *event.id <= *last_id_) return;
    out->append(event.text);
    if (event.id) last_id_ = event.id;
    *first = *first || event.has_field;
  });
  if (!fits) out->clear();
}

void Exchange::OnStreamBytes(Attempt& attempt, std::string_view bytes) {
  const auto self = shared_from_this();
  ResumeSuspected(attempt);
  if (!is_event_stream_) return SendStream(attempt, bytes);
  std::string& out = context_->events_buffer;
  out.assign(prelude_);
  prelude_.clear();
  bool first = false;
  AppendNewEvents(bytes, &out, &first);
  if (events_.rest().size() > kMaxEventBytes) return OnAttemptFailed(attempt, AttemptOutcome::kBroken);
  if (out.empty()) return;
  if (!head_sent_ && !first) return void(prelude_ = out);
  SendStream(attempt, out);
}

// Sends the head if it has not been sent yet, then the bytes.
void Exchange::SendStream(const Attempt& attempt, std::string_view bytes) {
  std::string& framed = context_->framed_buffer;
  framed.clear();
  if (chunked_ && !bytes.empty())
    AppendChunk(bytes, &framed);
  else
    framed = bytes;
  if (!head_sent_) {
    head_sent_ = true;
    RecordStart(attempt);
    if (sink_ != nullptr)
      sink_->SendHead(stream_head_, chunked_ ? Framing::kChunked : Framing::kLength, stream_head_.length,
                      framed);
  } else if (sink_ != nullptr) {
    sink_->SendBody(framed);
  }
  if (sink_ == nullptr || sink_->unsent() <= kMaxUnsent) return;
  for (const auto& known : attempts_)
    if (known.get() == &attempt) known->PauseReading(true);
}

// A runner that fails closes its connection as one that has finished does. Where nothing else ends the
// stream, only its last event shows that it is not cut off.
void Exchange::OnStreamEnd(Attempt& attempt, StreamEnd end) {
  const auto self = shared_from_this();
  const bool cut_off = end == StreamEnd::kConnection && is_event_stream_ && !events_.EndsWithEvent();
  if (cut_off) return OnAttemptFailed(attempt, AttemptOutcome::kBroken);
  ResumeSuspected(attempt);
  const std::string rest = std::exchange(prelude_, {}).append(events_.rest());
  if (!head_sent_ || !rest.empty()) SendStream(attempt, rest);
  const auto removed = RemoveAttempt(attempt);
  if (sink_ != nullptr) {
    if (chunked_) sink_->SendBody(kLastChunk);
    std::exchange(sink_, nullptr)->EndResponse();
  }
  ++context_->counters.served;
  table_->AttemptEnded(number_, attempt.number(), AttemptOutcome::kServed, /*final=*/true);
  EndExchange();
}

}  // namespace lichenlug::dataplane

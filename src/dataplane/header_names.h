// Names of the headers that the data plane reads, sets or removes. They are compared case-insensitively.
#pragma once

namespace lichenlug::dataplane::header {

// Standard HTTP headers.
inline constexpr char kAuthorization[] = "Authorization";
inline constexpr char kConnection[] = "Connection";
inline constexpr char kContentEncoding[] = "Content-Encoding";
inline constexpr char kContentLength[] = "Content-Length";
inline constexpr char kContentType[] = "Content-Type";
inline constexpr char kExpect[] = "Expect";
inline constexpr char kHost[] = "Host";
inline constexpr char kKeepAlive[] = "Keep-Alive";
inline constexpr char kLastEventId[] = "Last-Event-Id";
inline constexpr char kPriority[] = "Priority";
inline constexpr char kRetryAfter[] = "Retry-After";
inline constexpr char kTe[] = "TE";
inline constexpr char kTrailer[] = "Trailer";
inline constexpr char kTransferEncoding[] = "Transfer-Encoding";
inline constexpr char kUpgrade[] = "Upgrade";
inline constexpr char kProxyPrefix[] = "Proxy-";  // headers with this prefix are hop-by-hop

// Headers of the protocol between clients, dispatchers and runners.
inline constexpr char kAttemptId[] = "Lichenlug-Try-Id";
inline constexpr char kDeadline[] = "Lichenlug-Deadline-Ms";
inline constexpr char kExpectRunner[] = "Lichenlug-Expect-Runner";
inline constexpr char kTenant[] = "Lichenlug-Sender";
inline constexpr char kModel[] = "Lichenlug-Model";
inline constexpr char kTokenCount[] = "Lichenlug-Token-Count";
inline constexpr char kPromptPrefix[] = "Lichenlug-Prompt-Prefix";
inline constexpr char kRunnerStamp[] = "Lichenlug-Runner-Stamp";
inline constexpr char kRunnerId[] = "Lichenlug-Runner-Id";
inline constexpr char kNotRun[] = "Lichenlug-Not-Run";

inline constexpr char kEventStreamType[] = "text/event-stream";

}  // namespace lichenlug::dataplane::header

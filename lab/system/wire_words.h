// The protocol constants of the simulated parts: headers, paths and keys of JSON bodies. They are
// deliberately not shared with the program under test, so that an error in its constants is not repeated
// here.
#pragma once

namespace lichenlug::standins::wire {

// Headers.
inline constexpr char kAttemptId[] = "Lichenlug-Try-Id";
inline constexpr char kAuthorization[] = "Authorization";
inline constexpr char kBearer[] = "Bearer ";
inline constexpr char kContentType[] = "Content-Type";
inline constexpr char kDeadline[] = "Lichenlug-Deadline-Ms";
inline constexpr char kDutyFence[] = "Lichenlug-Duty-Fence";
inline constexpr char kDutyHolder[] = "Lichenlug-Duty-Holder";
inline constexpr char kExpectRunner[] = "Lichenlug-Expect-Runner";
inline constexpr char kIfMatch[] = "If-Match";
inline constexpr char kLastEventId[] = "Last-Event-Id";
inline constexpr char kLocation[] = "Location";
inline constexpr char kModel[] = "Lichenlug-Model";
inline constexpr char kNotRun[] = "Lichenlug-Not-Run";
inline constexpr char kPromptPrefix[] = "Lichenlug-Prompt-Prefix";
inline constexpr char kRetryAfter[] = "Retry-After";
inline constexpr char kRunnerId[] = "Lichenlug-Runner-Id";
inline constexpr char kRunnerStamp[] = "Lichenlug-Runner-Stamp";
inline constexpr char kTenant[] = "Lichenlug-Sender";
inline constexpr char kTokenCount[] = "Lichenlug-Token-Count";
inline constexpr char kVersions[] = "Versions";
inline constexpr char kEventStreamType[] = "text/event-stream";
inline constexpr char kJsonType[] = "application/json";

// Paths.
inline constexpr char kConfigurationPath[] = "/-/timetable";
inline constexpr char kFleetPath[] = "/fleet";
inline constexpr char kHealthPath[] = "/checkup";
inline constexpr char kOrderPath[] = "/-/order";
inline constexpr char kReadyPath[] = "/-/ready";
inline constexpr char kReportPath[] = "/-/report";
inline constexpr char kRunnersPath[] = "/-/runners/";
inline constexpr char kStatusPath[] = "/-/status";
inline constexpr char kUsagePath[] = "/usage";

// Keys used by several bodies.
inline constexpr char kAdapter[] = "adapter";
inline constexpr char kAdapters[] = "adapters";
inline constexpr char kCallCount[] = "call_count";
inline constexpr char kCondition[] = "condition";
inline constexpr char kEdition[] = "edition";
inline constexpr char kFence[] = "fence";
inline constexpr char kHolder[] = "holder";
inline constexpr char kModels[] = "models";
inline constexpr char kModelKey[] = "model";
inline constexpr char kName[] = "name";
inline constexpr char kReportTo[] = "report_to";
inline constexpr char kService[] = "line";
inline constexpr char kServices[] = "postal_lines";
inline constexpr char kSlots[] = "berths";
inline constexpr char kStage[] = "stage";
inline constexpr char kTallies[] = "tallies";
inline constexpr char kTenants[] = "senders";
inline constexpr char kWindow[] = "window_no";
inline constexpr char kZone[] = "zone";

}  // namespace lichenlug::standins::wire

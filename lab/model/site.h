// What a site is: its boxes, network, discovery, clients and rules, as a day file describes them. The
// dispatchers are told only what `ToldSettings` gives; all else here is the truth that they have to find out.
//
// Units: times and spans in microseconds; work in core microseconds at speed 1; rates a second.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rookgw/brain.h"

namespace lichenlug::lab {

using rookgw::Time;
inline constexpr Time kMillisecond = 1000, kSecond = 1'000'000;

enum class QueueOrder { kFifo, kBackfill, kPriority };
enum class WarmBy { kTime, kWork };
enum class CancelStops { kNothing, kQueued, kAll };  // what a call-off does to a job at a box

struct KindModel {
  std::string name = "box";
  double share = 1;  // of the boxes
  int cores = 4;
  double speed = 1, speed_cv = 0;  // of a core; machines of a kind differ by the coefficient of variation
  double slots_per_core = 1, queue_per_core = 8;
  QueueOrder order = QueueOrder::kFifo;
  double thrash_at = 6,
         thrash = 0;            // jobs held per core past which capacity falls, by this share a job per core
  double cold_from = 0.4;       // share of its capacity that a box starts with
  Time cold_for = 5 * kSecond;  // until it is warm, by time or by as much work as takes so long when warm
  WarmBy warm_by = WarmBy::kTime;
  double error_rate = 0;
  CancelStops cancel = CancelStops::kQueued;
  int max_connections = 3000, max_probes = 30;
  int keys_kept = 0;  // 0: keys cost nothing
};

struct ClassModel {
  std::string name;
  double share = 1;  // of the arrivals
  enum class Spread { kFixed, kExponential, kLognormal } spread = Spread::kExponential;
  Time work = 300 * kMillisecond;  // mean, core time at speed 1, per slot
  double cv = 1;
  std::vector<double> slots = {1};  // shares of jobs with 1, 2, 4, 8 slots
  Time aim = 300 * kMillisecond, deadline = 5 * kSecond, window = 7500 * kMillisecond;
  double stretch = 2, worth = 1, late_worth = 0;
  rookgw::Effect effect = rookgw::Effect::kRepeatable;
  rookgw::KeyScope scope = rookgw::KeyScope::kAll;
  int priority = 0;
};

struct TenantModel {
  std::string name;
  double share = 1, usage = 1;  // of the capacity; by how much of its share it asks for
};

struct NetworkModel {
  Time same_zone = 250, cross_zone = 14 * kMillisecond, client = 700;  // one way
  double jitter = 0.2;                                                 // cv of a delay
  double loss = 0;  // share of messages that need a retransmission
  Time retransmit = 200 * kMillisecond;
  Time connect_timeout = 200 * kMillisecond, idle_close = 5 * kSecond;
  double handshake_rtts = 2;
  Time handshake_work = 1000;  // of a box's core
};

struct DiscoveryModel {
  bool asked = true;  // the list comes to who asks, else to all unasked
  Time notice = 2 * kSecond, notice_silent = 8 * kSecond, notice_start = kSecond;  // until a change is known
  Time period = 500 * kMillisecond;  // changes go out at up to this much later
  double lines_per_s = 200'000;      // what the service can list
  Time timeout = 3 * kSecond;        // a call waits at most so long
};

struct ReportModel {
  rookgw::Settings::Reports how = rookgw::Settings::Reports::kProbe;
  Time period = 150 * kMillisecond, delay = 50 * kMillisecond;
  double noise = 0.1;
};

struct ClientModel {
  int retries = 1;
  Time backoff = 60 * kMillisecond;
  bool backoff_doubles = true;
  double honour = 0.9, impatient = 0;  // shares: of clients that follow Retry-After; that leave early
  Time front_notice = 2 * kSecond;     // the front sends to dead dispatchers for so long
  Time step_start = 0, step_length = 0;
  double step = 1;   // load is multiplied by this within the step
  double swing = 0;  // bursts: the rate wanders by up to this share
  Time swing_period = 6 * kSecond;
};

struct KeyModel {
  int count = 2000;
  double zipf = 0.9;
  Time setup = 0;            // to fetch a key at a box that does not keep it, while the store is not crowded
  double store_fetches = 0;  // fetches at once that the store serves at full speed; 0: any number
};

struct Site {
  std::string name = "site";
  std::vector<std::string> zones = {"z1"};
  std::vector<KindModel> kinds;
  std::vector<ClassModel> classes;
  std::vector<TenantModel> tenants;
  NetworkModel net;
  DiscoveryModel discovery;
  ReportModel reports;
  ClientModel clients;
  KeyModel keys;
  int boxes = 10, dispatchers = 3, cell_size = 4;
  // What dispatchers are allowed and told
  int max_attempts = 5;
  bool probes = true, cancelling = true, retry_after = true, drain_returns = true, reports_accepts = true;
  bool reports_starts = true, warm_start = true;  // boxes are warm when the day begins
  Time max_retry_after = 2 * kSecond, tick = 4 * kMillisecond, checkpoint = 0;
  Time probe_work = 700, probe_timeout = 250 * kMillisecond;
  double quota_of_capacity = 0.8, over_share_worth = 0.2;
  // The rules' figures
  Time drain_grace = 500 * kMillisecond, answer_slack = 50 * kMillisecond, overload_for = kSecond;
  double overload_factor = 4;
  double fee_cross_zone = 0.03;
};

enum class FaultKind {
  kVanish,     // boxes fall silent and come back cold, as new processes
  kKill,       // boxes' processes end at once and come back cold
  kSlow,       // boxes run `size` times slower
  kGrey,       // boxes run `size` times slower and report and probe as if idle
  kFail,       // boxes fail a share `size` of the jobs at once
  kLie,        // boxes' reports say that all slots are free
  kShrink,     // boxes drain and leave, and come back at the end
  kReplace,    // boxes' machines are replaced at the same address by new ones, cold
  kRoll,       // dispatchers are killed and start again, `size` of them at a time
  kPartition,  // a zone's dispatchers and boxes lose the other zones
  kOneWay,     // answers out of a zone are lost, what goes in arrives
  kDiscoveryDown,
  kDiscoveryHalf,  // lists hold only half of the boxes
  kStore,          // the store serves `size` times less
  kSurge,          // load is multiplied by `size`
  kRetryStorm,     // clients try again `size` times more, without backing off
  kHotKey,         // a share `size` of the load falls on one key
  kHeavyTail,      // a share `part` of the jobs is `size` times larger
  kClockJump,      // dispatchers' clocks go forward by `size` seconds at once
};

// The names that faults have in day files, in the order of FaultKind.
const std::vector<std::string>& FaultNames();
const char* FaultName(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kVanish;
  Time start = 0, length = 0;
  double part = 0.1, size = 2;
  int zone = 0;
  bool Active(Time now) const { return now >= start && now < start + length; }
};

// What a tenant may ask for inside its share, where `job_rate` jobs a second fill the site.
double QuotaPerS(const Site& site, const TenantModel& tenant, double job_rate);

struct Day {
  Site site;
  std::string file, site_file;
  Time length = 40 * kSecond;
  double load = 0.6;  // of the capacity
  std::vector<Fault> faults;
};

}  // namespace lichenlug::lab

#include "lab/config/day_file.h"

#include <algorithm>
#include <filesystem>

#include "lab/config/reader.h"

namespace lichenlug::lab {
namespace {

KindModel ReadKind(TableReader t) {
  KindModel k;
  k.name = t.Text("name", k.name);
  k.share = t.Number("share", k.share);
  k.cores = static_cast<int>(t.Whole("cores", k.cores, 1, 1024));
  k.speed = t.Number("speed", k.speed, 0.001, 1000);
  k.speed_cv = t.Number("speed-cv", k.speed_cv, 0, 2);
  k.slots_per_core = t.Number("slots-per-core", k.slots_per_core, 0.01, 1000);
  k.queue_per_core = t.Number("queue-per-core", k.queue_per_core, 0, 10000);
  k.order =
      static_cast<QueueOrder>(t.Choice("order", static_cast<int>(k.order), {"fifo", "backfill", "priority"}));
  k.thrash_at = t.Number("thrash-at", k.thrash_at, 0, 1000);
  k.thrash = t.Number("thrash", k.thrash, 0, 10);
  k.cold_from = t.Number("cold-from", k.cold_from, 0.01, 1);
  k.cold_for = t.Span("cold-for", k.cold_for);
  k.warm_by = static_cast<WarmBy>(t.Choice("warm-by", static_cast<int>(k.warm_by), {"time", "work"}));
  k.error_rate = t.Number("error-rate", k.error_rate, 0, 1);
  k.cancel =
      static_cast<CancelStops>(t.Choice("cancel", static_cast<int>(k.cancel), {"nothing", "queued", "all"}));
  k.max_connections = static_cast<int>(t.Whole("most-connections", k.max_connections, 1));
  k.max_probes = static_cast<int>(t.Whole("most-probes", k.max_probes, 1));
  k.keys_kept = static_cast<int>(t.Whole("keys-kept", k.keys_kept));
  t.Done();
  return k;
}

ClassModel ReadClass(TableReader t) {
  ClassModel c;
  c.name = t.Text("name", "");
  if (c.name.empty()) t.Fault("name", "a name expected");
  c.share = t.Number("share", c.share);
  c.spread = static_cast<ClassModel::Spread>(
      t.Choice("spread", static_cast<int>(c.spread), {"fixed", "exponential", "lognormal"}));
  c.work = t.Span("work", c.work);
  c.cv = t.Number("cv", c.cv, 0, 20);
  c.slots = t.Numbers("slots", c.slots);
  if (c.slots.size() > 4) t.Fault("slots", "at most four shares expected, of jobs with 1, 2, 4 and 8 slots");
  c.aim = t.Span("aim", c.aim), c.deadline = t.Span("deadline", c.deadline),
  c.window = t.Span("window", c.window);
  c.stretch = t.Number("stretch", c.stretch, 0, 1000);
  c.worth = t.Number("worth", c.worth), c.late_worth = t.Number("late-worth", c.late_worth, 0, 1);
  c.effect = static_cast<rookgw::Effect>(
      t.Choice("effect", static_cast<int>(c.effect), {"repeatable", "keyed", "unsafe"}));
  c.scope =
      static_cast<rookgw::KeyScope>(t.Choice("group", static_cast<int>(c.scope), {"all", "zone", "cell"}));
  c.priority = static_cast<int>(t.Whole("priority", c.priority, -100, 100));
  if (c.work <= 0) t.Fault("work", "a span above 0 expected");
  if (c.deadline <= 0) t.Fault("deadline", "a span above 0 expected");
  t.Done();
  return c;
}

void ReadNetwork(TableReader t, NetworkModel* n) {
  n->same_zone = t.Span("same-zone", n->same_zone), n->cross_zone = t.Span("cross-zone", n->cross_zone);
  n->client = t.Span("client", n->client);
  n->jitter = t.Number("jitter", n->jitter, 0, 10), n->loss = t.Number("loss", n->loss, 0, 1);
  n->retransmit = t.Span("retransmit", n->retransmit);
  n->connect_timeout = t.Span("connect-timeout", n->connect_timeout);
  n->idle_close = t.Span("idle-close", n->idle_close);
  n->handshake_rtts = t.Number("handshake-rtts", n->handshake_rtts, 0, 100);
  n->handshake_work = t.Span("handshake-work", n->handshake_work);
  t.Done();
}

void ReadDiscovery(TableReader t, DiscoveryModel* d) {
  d->asked = t.Flag("asked", d->asked);
  d->notice = t.Span("notice", d->notice), d->notice_silent = t.Span("notice-silent", d->notice_silent);
  d->notice_start = t.Span("notice-start", d->notice_start), d->period = t.Span("period", d->period);
  d->lines_per_s = t.Number("lines-per-s", d->lines_per_s, 1), d->timeout = t.Span("timeout", d->timeout);
  t.Done();
}

void ReadReports(TableReader t, ReportModel* r) {
  r->how = static_cast<rookgw::Settings::Reports>(
      t.Choice("how", static_cast<int>(r->how), {"never", "probe", "answers"}));
  r->period = t.Span("period", r->period), r->delay = t.Span("delay", r->delay);
  r->noise = t.Number("noise", r->noise, 0, 10);
  t.Done();
}

void ReadClients(TableReader t, ClientModel* c) {
  c->retries = static_cast<int>(t.Whole("retries", c->retries, 0, 100));
  c->backoff = t.Span("backoff", c->backoff),
  c->backoff_doubles = t.Flag("backoff-doubles", c->backoff_doubles);
  c->honour = t.Number("honour", c->honour, 0, 1), c->impatient = t.Number("impatient", c->impatient, 0, 1);
  c->front_notice = t.Span("front-notice", c->front_notice);
  c->swing = t.Number("swing", c->swing, 0, 1), c->swing_period = t.Span("swing-period", c->swing_period);
  c->step = t.Number("step", c->step), c->step_start = t.Span("step-start", 0),
  c->step_length = t.Span("step-length", 0);
  t.Done();
}

void ReadKeys(TableReader t, KeyModel* k) {
  k->count = static_cast<int>(t.Whole("count", k->count, 1, 10'000'000));
  k->zipf = t.Number("zipf", k->zipf, 0, 10), k->setup = t.Span("setup", k->setup);
  k->store_fetches = t.Number("store-fetches", k->store_fetches);
  t.Done();
}

// Reads what `t` names and leaves the rest as it is, so that a day can change single figures of its site.
void ReadSite(TableReader& t, Site* s) {
  s->name = t.Text("name", s->name);
  s->zones = t.Texts("zones", s->zones);
  if (s->zones.empty()) t.Fault("zones", "at least one name expected");
  s->boxes = static_cast<int>(t.Whole("boxes", s->boxes, 1, 100'000));
  s->dispatchers = static_cast<int>(t.Whole("dispatchers", s->dispatchers, 1, 1000));
  s->cell_size = static_cast<int>(t.Whole("cell-size", s->cell_size, 1));
  s->max_attempts = static_cast<int>(t.Whole("max-attempts", s->max_attempts, 1, 100));
  s->probes = t.Flag("probes", s->probes), s->cancelling = t.Flag("cancelling", s->cancelling);
  s->retry_after = t.Flag("retry-after", s->retry_after);
  s->drain_returns = t.Flag("drain-returns", s->drain_returns);
  s->reports_accepts = t.Flag("takes-told", s->reports_accepts),
  s->reports_starts = t.Flag("starts-told", s->reports_starts);
  s->warm_start = t.Flag("warm-start", s->warm_start);
  s->max_retry_after = t.Span("max-retry-after", s->max_retry_after);
  s->tick = t.Span("tick", s->tick), s->checkpoint = t.Span("checkpoint", s->checkpoint);
  s->probe_work = t.Span("probe-work", s->probe_work),
  s->probe_timeout = t.Span("probe-timeout", s->probe_timeout);
  s->quota_of_capacity = t.Number("quota-of-capacity", s->quota_of_capacity);
  s->over_share_worth = t.Number("over-share-worth", s->over_share_worth, 0, 1);
  s->drain_grace = t.Span("drain-grace", s->drain_grace),
  s->answer_slack = t.Span("answer-slack", s->answer_slack);
  s->overload_for = t.Span("overload-for", s->overload_for);
  s->overload_factor = t.Number("overload-factor", s->overload_factor);
  s->fee_cross_zone = t.Number("fee-cross-zone", s->fee_cross_zone);
  if (t.Has("kind")) s->kinds.clear();
  for (TableReader& kind : t.Tables("kind")) s->kinds.push_back(ReadKind(kind));
  if (t.Has("class")) s->classes.clear();
  for (TableReader& cls : t.Tables("class")) s->classes.push_back(ReadClass(cls));
  if (t.Has("tenant")) s->tenants.clear();
  for (TableReader& tenant : t.Tables("tenant")) {
    s->tenants.push_back({tenant.Text("name", ""), tenant.Number("share", 1), tenant.Number("usage", 1)});
    tenant.Done();
  }
  ReadNetwork(t.Table("net"), &s->net);
  ReadDiscovery(t.Table("discovery"), &s->discovery);
  ReadReports(t.Table("reports"), &s->reports);
  ReadClients(t.Table("clients"), &s->clients);
  ReadKeys(t.Table("keys"), &s->keys);
}

void Merge(const toml::table& from, toml::table* into) {
  for (const auto& [key, node] : from) {
    toml::table* below = into->get(key.str()) != nullptr ? into->get(key.str())->as_table() : nullptr;
    if (node.is_table() && below != nullptr)
      Merge(*node.as_table(), below);
    else
      into->insert_or_assign(key.str(), node);
  }
}

Fault ReadFault(TableReader t, const Site& site) {
  Fault f;
  f.kind = static_cast<FaultKind>(t.Choice("what", 0, FaultNames()));
  if (!t.Has("what")) t.Fault("what", "the name of a fault expected");
  f.start = t.Span("start", 10 * kSecond), f.length = t.Span("length", 10 * kSecond);
  f.part = t.Number("part", f.part, 0, 1), f.size = t.Number("size", f.size, 0);
  const std::string zone = t.Text("zone", site.zones[0]);
  const auto found = std::ranges::find(site.zones, zone);
  if (found == site.zones.end())
    t.Fault("zone", "a zone of the site expected, found \"" + zone + "\"");
  else
    f.zone = static_cast<int>(found - site.zones.begin());
  t.Done();
  return f;
}

}  // namespace

Day ReadDay(const std::string& path, const toml::table& changes) {
  Problems problems;
  Day day;
  day.file = path;
  toml::table root = ReadTomlFile(path);
  Merge(changes, &root);
  TableReader t(root, "", &problems);
  if (const std::string site = t.Text("site", ""); !site.empty()) {
    const std::string file = (std::filesystem::path(path).parent_path() / site).lexically_normal().string();
    day.site_file = file;
    const toml::table site_root = ReadTomlFile(file);
    TableReader reader(site_root, "", &problems);
    ReadSite(reader, &day.site);
    reader.Done();
  }
  day.length = t.Span("length", day.length);
  day.load = t.Number("load", day.load, 0.001, 100);
  ReadSite(t, &day.site);
  if (day.site.zones.empty()) day.site.zones = {"z1"};
  for (TableReader& fault : t.Tables("fault")) day.faults.push_back(ReadFault(fault, day.site));
  t.Done();
  if (day.site.kinds.empty()) problems.Add(path + ": kind: at least one [[kind]] of box expected");
  if (day.site.classes.empty()) problems.Add(path + ": class: at least one [[class]] of job expected");
  double kinds = 0, classes = 0;
  for (const KindModel& k : day.site.kinds) kinds += k.share;
  for (const ClassModel& c : day.site.classes) classes += c.share;
  if (!day.site.kinds.empty() && kinds <= 0) problems.Add(path + ": kind: shares above 0 expected");
  if (!day.site.classes.empty() && classes <= 0) problems.Add(path + ": class: shares above 0 expected");
  problems.Check();
  return day;
}

}  // namespace lichenlug::lab

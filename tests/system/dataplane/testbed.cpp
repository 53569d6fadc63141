#include "testbed.h"

#include <poll.h>

#include <stdexcept>

namespace lichenlug::dataplane::test {
namespace {

messages::Route* AddRoute(messages::Configuration* configuration, const std::string& name,
                          const std::string& kind, const std::string& service) {
  messages::Route* route = configuration->add_routes();
  route->set_name(name);
  route->set_host("h.example");
  route->set_path_prefix("/" + name + "/");
  route->set_kind(kind);
  route->set_deadline_ms(20000);
  route->set_objective_ms(1000);
  route->set_service(service);
  route->set_tries(3);
  route->set_anonymous(true);
  return route;
}

}  // namespace

messages::Configuration DefaultConfiguration() {
  messages::Configuration configuration;
  configuration.set_edition(1);
  AddRoute(&configuration, "safe", "safe", "plain");
  AddRoute(&configuration, "unsafe", "unsafe", "plain");
  AddRoute(&configuration, "stream", "stream", "plain");
  AddRoute(&configuration, "resume", "stream", "plain")->set_resumable(true);
  configuration.mutable_routes()->rbegin()->set_tries(2);
  AddRoute(&configuration, "once", "unsafe", "plain")->set_tries(1);
  AddRoute(&configuration, "short", "safe", "plain")->set_deadline_ms(150);
  AddRoute(&configuration, "key", "safe", "plain")->set_anonymous(false);
  AddRoute(&configuration, "model", "safe", "engine");
  messages::Service* plain = configuration.add_services();
  plain->set_name("plain");
  plain->set_connection_limit(100);
  messages::Service* engine = configuration.add_services();
  engine->set_name("engine");
  engine->set_connection_limit(100);
  engine->mutable_engine()->set_slots(8);
  engine->mutable_engine()->set_cache_tokens(90000);
  engine->mutable_engine()->add_models()->set_name("m1");
  engine->mutable_engine()->mutable_models(0)->set_load_s(2);  // longer than any objective
  messages::Tenant* tenant = configuration.add_tenants();
  tenant->set_name("t1");
  tenant->add_keys("k1");
  messages::ClientLimits* limits = configuration.mutable_limits();
  limits->set_header_bytes(4096);
  limits->set_body_bytes(100000);
  limits->set_header_ms(300);
  limits->set_idle_ms(5000);
  return configuration;
}

Testbed::Testbed(const std::vector<RunnerSpec>& runners, messages::Configuration configuration, bool install,
                 Time grace, Time configuration_wait, const Machine& machine)
    : runner_specs_(runners) {
  for (std::size_t i = 0; i < runners.size(); ++i) listeners_.push_back(std::make_unique<ListeningSocket>());
  port_ = ListeningSocket().port();
  Settings settings;
  settings.listen_address = "127.0.0.1:" + std::to_string(port_);
  settings.name = "test";
  settings.grace = grace;
  settings.configuration_wait = configuration_wait;
  settings.seed = 1;
  settings.descriptors = machine.descriptors;
  settings.memory_bytes = machine.memory_bytes;
  plane_ = std::make_unique<DataPlane>(settings);
  std::string error;
  if (!plane_->Start(&error)) throw std::runtime_error(error);
  if (install) Install(std::move(configuration));
}

void Testbed::Install(messages::Configuration configuration) {
  auto snapshot = std::make_shared<routing::Snapshot>();
  snapshot->revision = ++revision_;
  snapshot->configuration = std::make_shared<const messages::Configuration>(std::move(configuration));
  auto records = std::make_shared<RunnerList>();
  for (std::size_t i = 0; i < runner_specs_.size(); ++i) {
    messages::RunnerRecord record;
    record.set_runner_id(runner_specs_[i].id);
    record.set_service(runner_specs_[i].service);
    record.set_address(listeners_[i]->address());
    record.set_zone("z1");
    record.set_slots(8);
    record.set_call_count(revision_);
    for (const std::string& model : runner_specs_[i].models) record.add_models()->set_name(model);
    records->push_back(std::make_shared<const messages::RunnerRecord>(std::move(record)));
  }
  snapshot->runners = std::move(records);
  snapshot->zone = "z1";
  snapshot->bounds.retry_budget = false;  // the budget of a new process is empty
  plane_->Install(std::move(snapshot));
}

void Testbed::LoadModel(std::size_t runner, const std::string& model) {
  runner_specs_[runner].models.push_back(model);
  Install(DefaultConfiguration());
}

std::size_t Testbed::RunnerIndex(const std::string& runner_id) const {
  for (std::size_t i = 0; i < runner_specs_.size(); ++i)
    if (runner_specs_[i].id == runner_id) return i;
  throw std::runtime_error("unknown runner id");
}

std::pair<Socket, std::size_t> Testbed::AcceptAny() {
  for (int tries = 0; tries < kTimeoutSeconds * 100; ++tries)
    for (std::size_t i = 0; i < listeners_.size(); ++i)
      if (listeners_[i]->WaitForConnection(10 / static_cast<int>(listeners_.size())))
        return {listeners_[i]->Accept(), i};
  throw std::runtime_error("timed out while waiting for a connection to a runner");
}

void Testbed::Pause() { poll(nullptr, 0, 5); }

std::string Get(std::string_view target, std::string_view id, std::string_view extra_headers) {
  std::string out;
  out.append("GET ").append(target).append(" HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: ").append(id);
  return out.append("\r\n").append(extra_headers).append("\r\n");
}

std::string Post(std::string_view target, std::string_view id, std::string_view body,
                 std::string_view extra_headers) {
  std::string out;
  out.append("POST ").append(target).append(" HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: ").append(id);
  out.append("\r\nContent-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append(extra_headers).append("\r\n").append(body);
}

std::string RunnerResponse(int status, std::string_view id, std::string_view body,
                           std::string_view extra_headers) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Any\r\nLichenlug-Try-Id: ";
  out.append(id).append("\r\nLichenlug-Runner-Stamp: s1\r\nKeep-Alive: timeout=10\r\n").append(extra_headers);
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

std::string NotRun(int status, std::string_view id, std::string_view extra_headers) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Any\r\nLichenlug-Try-Id: ";
  out.append(id).append("\r\nLichenlug-Not-Run: 1\r\nKeep-Alive: timeout=10\r\n").append(extra_headers);
  return out.append("Content-Length: 0\r\n\r\n");
}

std::string StreamHead(std::string_view id, std::string_view stamp) {
  return StreamHeadWith("Transfer-Encoding: chunked\r\n", id, stamp);
}

std::string StreamHeadWith(std::string_view framing, std::string_view id, std::string_view stamp) {
  std::string out = "HTTP/1.1 200 OK\r\nLichenlug-Try-Id: ";
  out.append(id).append("\r\nLichenlug-Runner-Stamp: ").append(stamp);
  return out.append("\r\nContent-Type: text/event-stream\r\n").append(framing).append("\r\n");
}

std::string Chunk(std::string_view bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return std::string(size).append(bytes).append("\r\n");
}

std::string Event(int id, std::string_view text) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(text) + "\n\n";
}

}  // namespace lichenlug::dataplane::test

#include "discovery/watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lichenlug {
namespace {

constexpr Time kPatience = 5 * kSecond;  // for the first byte, and between lines: one comes every 2 s
constexpr Time kFirstBackoff = 200 * kMillisecond, kMostBackoff = 2 * kSecond;
constexpr std::size_t kMostLine = 1024 * 1024;

}  // namespace

Watch::Watch(asio::io_context& io, const Config& config, RouteSet* routes, Deadlines* deadlines,
             std::function<void(const RouteNews*)> news)
    : io_(io),
      config_(config),
      routes_(routes),
      deadlines_(deadlines),
      news_(std::move(news)),
      random_(static_cast<std::minstd_rand::result_type>(config.seed)) {}

void Watch::Ask() {
  if (connection_ == nullptr && alarm_ == Deadlines::Key{}) Call();
}

void Watch::Stop() {
  if (connection_) connection_->Close();
  connection_.reset();
  deadlines_->Remove(&alarm_);
}

void Watch::ExpectWithin(Time at) {
  deadlines_->Move(&alarm_, at, [this] { Lost(); });
}

void Watch::Call() {
  line_.clear(), good_ = false;
  auto connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  connection_ = connection;
  ExpectWithin(deadlines_->Now() + kPatience);
  HttpConnection::Events events;
  events.on_head = [this](const HttpMessage& head) { good_ = head.status == 200; };
  events.on_piece = [this](std::string_view bytes) { Piece(bytes); };
  events.on_message = [this](const HttpMessage&) { Lost(); };
  events.on_end = [this](HttpConnection::End) { Lost(); };
  connection->SetEvents(std::move(events));
  connection->Connect(config_.discovery, [this, connection](std::error_code error) {
    if (error) return Lost();
    connection->Start();
    const std::string host =
        config_.discovery.address().to_string() + ":" + std::to_string(config_.discovery.port());
    const std::string target = "/api/targets?watch=1&from=" + std::to_string(routes_->revision());
    connection->Write(FormatRequest("GET", target, host, {}, ""), [this](std::error_code bad) {
      if (bad) Lost();
    });
  });
}

// Pieces end anywhere: lines are put together here.
void Watch::Piece(std::string_view bytes) {
  if (!good_) return;
  ExpectWithin(deadlines_->Now() + kPatience);
  const auto connection = connection_;
  while (!bytes.empty() && connection == connection_) {
    const std::size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() > kMostLine) return Lost();
    if (end == std::string_view::npos) return;
    bytes.remove_prefix(end + 1);
    Line(std::exchange(line_, {}));
  }
}

void Watch::Line(std::string_view line) {
  if (line.find_first_not_of(" \r\t") == std::string_view::npos) return;  // a heartbeat
  RouteNews news;
  try {
    news = ParseRouteNews(nlohmann::json::parse(line, nullptr, false), config_.site);
  } catch (const std::exception&) {
    return Lost();  // what it said is not known: ask again from what is
  }
  failures_ = 0;
  routes_->Apply(news);
  news_(&news);
}

void Watch::Lost() {
  Stop();
  const Time backoff = std::min(kMostBackoff, kFirstBackoff << std::min(failures_++, 8));
  const Time jitter = static_cast<Time>(random_() % static_cast<std::uint64_t>(backoff / 2));
  alarm_ = deadlines_->Add(deadlines_->Now() + backoff / 2 + jitter, [this] {
    alarm_ = {};
    Call();
  });
  news_(nullptr);
}

}  // namespace lichenlug

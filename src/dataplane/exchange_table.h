// The requests in progress, and the decision module that schedules their attempts.
#pragma once

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "dataplane/context.h"
#include "dataplane/exchange.h"
#include "dataplane/runner_pool.h"
#include "routing/decisions.h"

namespace lichenlug::dataplane {

class ExchangeTable {
 public:
  ExchangeTable(Context* context, RunnerPool* runners, std::uint64_t seed);
  ~ExchangeTable();

  // Starts the exchange of a request that matches a route. May call the sink before it returns.
  routing::RequestNumber Begin(Request request, const routing::RouteMatch& match, Time arrived,
                               ResponseSink* sink);
  void OnClientDisconnect(routing::RequestNumber number);
  void OnClientWritable(routing::RequestNumber number);
  void RefuseUnsent();      // refuses requests that no runner may have received
  void EndAllAtShutdown();  // gives every request its final answer
  void Install(std::shared_ptr<const routing::Snapshot> snapshot);

  std::size_t size() const { return exchanges_.size(); }
  std::vector<routing::Decisions::Demand> Demand() const;

  // Called by exchanges.
  void FirstEvent(routing::RequestNumber number, int attempt);
  void AttemptEnded(routing::RequestNumber number, int attempt, routing::AttemptOutcome outcome, bool final);
  void CloseRequest(routing::RequestNumber number);
  bool MayFailOver(routing::RequestNumber number) const;  // whether an attempt that fails now may be replaced
  void Erase(routing::RequestNumber number);

 private:
  // How much shorter the client's deadline is than the longest seen on the route: the estimated time it spent
  // on earlier tries.
  Time TimeSinceFirstTry(const std::string& route, Time timeout);
  std::vector<std::shared_ptr<Exchange>> All() const;  // an exchange that ends is erased from the table
  std::shared_ptr<Exchange> Find(routing::RequestNumber number) const;
  void Execute();
  void Execute(const routing::Decision& decision);
  void ArmTimer();

  Context* const context_;
  RunnerPool* const runners_;
  std::mt19937_64 random_;
  routing::Decisions decisions_;
  std::unordered_map<routing::RequestNumber, std::shared_ptr<Exchange>> exchanges_;
  std::vector<routing::Decision> pending_;  // decisions to be executed, in order
  bool executing_ = false;
  std::unordered_map<std::string, Time> longest_timeout_;  // by route name
  routing::RequestNumber last_number_ = 0;
  Deadlines::Key timer_;
};

}  // namespace lichenlug::dataplane

// The dispatcher's side of the talk between dispatchers: holdings, and who is there, on one socket.
//
// Guards against parts that wait for one another: each tells and hears by itself; where membership is off or
// knows less than half of the tier, holdings go by their own guesses as before.
#pragma once

#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>

#include "base/deadlines.h"
#include "peers/holdings.h"
#include "peers/membership.h"
#include "peers/transport.h"

namespace lichenlug {

class Peers {
 public:
  // `log` is given one line at a time. `seen`: the view of the tier has changed.
  Peers(asio::io_context& io, const PeerSettings& settings, int zone, int classes, std::uint64_t seed,
        Deadlines* deadlines, HoldingsHeard* heard, std::function<void(const TierView&)> seen,
        std::function<void(const std::string&)> log);

  void Start();  // throws std::system_error when it cannot listen
  void Leave();  // this dispatcher ends: the others need not find it out

  void Hold(const std::string& runner, double slots);
  void Failed(const std::string& runner, int cls);
  Holdings& holdings() { return holdings_; }

 private:
  void Look();
  void Say(const TierView& view);

  Deadlines* deadlines_;
  Holdings holdings_;
  std::optional<Membership> membership_;
  PeerTransport transport_;
  std::function<void(const TierView&)> seen_;
  std::function<void(const std::string&)> log_;
  std::uint64_t version_ = 0;
  std::vector<Standing> said_;  // by number: what the log last told
  bool to_say_ = false;
};

}  // namespace lichenlug

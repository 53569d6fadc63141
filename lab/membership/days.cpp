#include "lab/membership/days.h"

#include <algorithm>
#include <functional>
#include <stdexcept>

namespace lichenlug::lab {
namespace {

using Kind = Fault::Kind;

constexpr Time kWarm = 20 * kSecond;  // all have started and met
constexpr Time kCalmEnd = 20 * kSecond;

// Draws one day's faults. Those that die stay dead; nobody of them gets another fault after its death.
class Drawer {
 public:
  Drawer(int size, std::uint64_t seed) : size_(size), random_(seed, 75) {
    for (int m = 0; m < size; ++m) order_.push_back(m);
    for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[random_.Below(i)]);
  }

  Random& random() { return random_; }
  int size() const { return size_; }
  int Any() { return order_[doomed_ + random_.Below(order_.size() - doomed_)]; }  // of those that do not die
  Time Between(Time low, Time high) {
    return low + static_cast<Time>(random_.Below(static_cast<std::uint64_t>(high - low)));
  }
  void Add(Kind kind, Time at, Time length, int a = -1, int b = -1, double amount = 0) {
    faults_.push_back({kind, at, length, a, b, amount});
  }
  // One in twelve of the tier, at least one; a tier of three keeps two.
  // Every second one by default is a machine that vanishes.
  void Deaths(Time from, Time to, int most, double vanish = 0.5) {
    const int n = std::clamp(size_ / 12, 1, most);
    for (int i = 0; i < n; ++i)
      Add(random_.Chance(vanish) ? Kind::kVanish : Kind::kDie, Between(from, to), 0, order_[doomed_++]);
  }
  // So often a second for each hundred members, and at least every five seconds.
  void Often(double per_hundred, Time from, Time to, const std::function<void(Time)>& what) {
    const double rate = std::max(0.2, per_hundred * size_ / 100);
    for (double at = static_cast<double>(from);
         (at += random_.Exponential(kSecond / rate)) < static_cast<double>(to);)
      what(static_cast<Time>(at));
  }
  void Pauses(Time from, Time to) {
    Often(1.5, from, to, [this](Time at) { Add(Kind::kPause, at, Between(kSecond, 5 * kSecond), Any()); });
  }
  void SlowOnes(Time from, Time length) {  // a tenth
    for (int i = 0; i < std::max(1, size_ / 10); ++i) Add(Kind::kSlow, from, length, Any());
  }
  void OneWays(Time from, Time to) {
    Often(10, from, to, [this](Time at) {
      const int a = Any(), b = Any();
      if (a == b) return;
      if (random_.Chance(0.5))
        Add(Kind::kCut, at, Between(5 * kSecond, 20 * kSecond), a, b);
      else
        Add(Kind::kLinkLoss, at, Between(5 * kSecond, 20 * kSecond), a, b, 0.8);
    });
    Often(0.5, from, to, [this](Time at) {  // deaf but heard
      Add(Kind::kCut, at, Between(3 * kSecond, 10 * kSecond), -1, Any());
    });
  }
  void Split(Time from, Time length, int zone) {
    for (int other = 0; other < 3; ++other) {
      if (other == zone) continue;
      Add(Kind::kZoneCut, from, length, zone, other);
      Add(Kind::kZoneCut, from, length, other, zone);
    }
    Add(Kind::kHealed, from + length + kMillisecond, 0);
  }
  void Restarts(Time from, Time to) {
    Often(1, from, to, [this](Time at) {
      const Kind kind = random_.Chance(0.5) ? Kind::kRestart : Kind::kLeave;
      Add(kind, at, Between(300 * kMillisecond, 3 * kSecond), Any());
    });
  }
  void RestartAll(Time from) {  // within a second
    for (std::size_t i = doomed_; i < order_.size(); ++i)
      Add(Kind::kRestart, Between(from, from + kSecond), Between(300 * kMillisecond, 600 * kMillisecond),
          order_[i]);
    Add(Kind::kHealed, from + 2 * kSecond, 0);
  }
  Day Finish(const std::string& name, Time length) {
    std::ranges::stable_sort(faults_, {}, &Fault::at);
    return {name, length, kWarm, std::move(faults_)};
  }

 private:
  const int size_;
  Random random_;
  std::vector<int> order_;
  std::size_t doomed_ = 0;
  std::vector<Fault> faults_;
};

constexpr Time S(double seconds) { return static_cast<Time>(seconds * static_cast<double>(kSecond)); }

const std::vector<std::pair<std::string, Day (*)(const std::string&, Drawer)>> kDays = {
    {"calm", [](const std::string& name, Drawer d) { return d.Finish(name, S(80)); }},
    {"deaths",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(2), S(50), 12, 0);
       return d.Finish(name, S(50) + kCalmEnd);
     }},
    {"vanish",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(2), S(50), 12, 1);
       return d.Finish(name, S(50) + kCalmEnd);
     }},
    {"pauses",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(5), S(70), 5);
       d.Pauses(kWarm, S(80));
       return d.Finish(name, S(80) + kCalmEnd);
     }},
    {"loss30",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(5), S(70), 5);
       d.Add(Kind::kLoss, kWarm, S(60), -1, -1, 0.3);
       d.Add(Kind::kCopies, kWarm, S(60), -1, -1, 0.3);
       d.Add(Kind::kReorder, kWarm, S(60), -1, -1, 0.3);
       return d.Finish(name, S(80) + kCalmEnd);
     }},
    {"one-way",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(5), S(70), 5);
       d.OneWays(kWarm, S(70));
       return d.Finish(name, S(80) + kCalmEnd);
     }},
    {"slow",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(5), S(70), 5);
       d.SlowOnes(kWarm, S(60));
       return d.Finish(name, S(80) + kCalmEnd);
     }},
    {"split-heal",
     [](const std::string& name, Drawer d) {
       d.Split(kWarm + S(5), S(25), static_cast<int>(d.random().Below(3)));
       return d.Finish(name, kWarm + S(30) + S(60));
     }},
    {"ring-of-three",  // of zones: 0 hears 1, 1 hears 2, 2 hears 0 only
     [](const std::string& name, Drawer d) {
       for (int zone = 0; zone < 3; ++zone) d.Add(Kind::kZoneCut, kWarm + S(5), S(30), zone, (zone + 1) % 3);
       d.Add(Kind::kHealed, kWarm + S(35) + kMillisecond, 0);
       return d.Finish(name, kWarm + S(35) + S(40));
     }},
    {"churn",
     [](const std::string& name, Drawer d) {
       d.Restarts(kWarm, S(80));
       d.Add(Kind::kHealed, S(85), 0);
       return d.Finish(name, S(85) + S(40));
     }},
    {"mass-restart",
     [](const std::string& name, Drawer d) {
       d.RestartAll(kWarm + S(5));
       return d.Finish(name, kWarm + S(5) + S(60));
     }},
    {"everything",
     [](const std::string& name, Drawer d) {
       d.Deaths(kWarm + S(5), S(120), 8);
       d.Pauses(kWarm, S(120));
       d.OneWays(kWarm, S(60));
       d.SlowOnes(S(40), S(60));
       d.Restarts(S(60), S(120));
       d.Add(Kind::kLoss, S(30), S(40), -1, -1, 0.2);
       d.Add(Kind::kCopies, S(30), S(40), -1, -1, 0.2);
       d.Add(Kind::kReorder, S(30), S(40), -1, -1, 0.2);
       for (int m = 0; m < d.size(); ++m)  // all stand still together
         d.Add(Kind::kPause, S(90) + d.Between(0, 50 * kMillisecond), S(3), m);
       d.Split(S(100), S(15), static_cast<int>(d.random().Below(3)));
       return d.Finish(name, S(120) + S(40));
     }},
};

}  // namespace

std::vector<std::string> FaultDayNames() {
  std::vector<std::string> names;
  for (const auto& [name, draw] : kDays) names.push_back(name);
  return names;
}

Day FaultDay(const std::string& name, int size, std::uint64_t seed) {
  std::string known;
  for (const auto& [day, draw] : kDays) {
    if (day == name) return draw(name, Drawer(size, seed));
    known += (known.empty() ? "" : ", ") + day;
  }
  throw std::invalid_argument("no fault day " + name + "; there are " + known);
}

}  // namespace lichenlug::lab

#include "lab/checkpoints/play.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>

#include "lab/base/random.h"
#include "lab/checkpoints/policies.h"

namespace lichenlug::lab {
namespace {

class Slots {
 public:
  Slots(const DeathDay& day, const std::string& policy, std::uint64_t seed)
      : day_(day), deaths_(DrawDeaths(day, seed)), policy_(MakeSavePolicy(policy, day, seed)) {
    slots_.resize(deaths_.size());
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      slots_[i].draws = Random(seed, 10'000 + i);
      slots_[i].draws_of_costs = Random(seed, 20'000 + i);
      Next(i, 0);
    }
  }

  Played Play() {
    std::vector<double> minutes(static_cast<std::size_t>(day_.seconds() / 60) + 1);
    for (double second = 0; second < day_.seconds(); ++second) {
      policy_->Second(second, &slots_);
      for (std::size_t i = 0; i < slots_.size(); ++i) Advance(i, second + 1);
      minutes[static_cast<std::size_t>(second / 60)] += saved_;
      played_.saves += saved_, saved_ = 0;
    }
    // What is not saved when the day ends is not lost: else rare savers would pay for the day's length.
    for (const SaveSlot& slot : slots_) Earn(slot.unsaved * slot.density, day_.seconds());
    played_.saves /= day_.seconds();
    played_.worst_minute = *std::ranges::max_element(minutes) / 60;
    played_.committed = policy_->committed();
    played_.false_alarms = day_.steps ? 0 : policy_->alarms() / day_.hours;
    return played_;
  }

 private:
  void Next(std::size_t i, double now) {
    SaveSlot& slot = slots_[i];
    Random& draws = slot.draws;
    slot.left = slot.length = std::exp(draws.Between(std::log(5.0), std::log(7200.0)));
    slot.density = draws.Between(0.5, 2);
    const bool due = draws.Chance(1.0 / 3);
    const double slack = draws.Between(1.1, 2) * slot.length;
    slot.deadline = due ? now + slack : std::numeric_limits<double>::infinity();
    slot.late_loss = due ? slot.length * slot.density / 2 : 0;
    slot.unsaved = 0, slot.busy = 0, slot.saving = false;
    policy_->Begins(i, now, &slot);
  }

  void Earn(double worth, double now) {
    played_.worth += worth;
    if (day_.AfterStep(now)) played_.after_step += worth;
  }

  // To the time `until`: work, save, restart, death, end, whichever comes first.
  void Advance(std::size_t i, double until) {
    SaveSlot& slot = slots_[i];
    while (slot.now < until) {
      const double death = slot.deaths < deaths_[i].size() ? deaths_[i][slot.deaths] : until;
      double step = until - slot.now;
      if (slot.busy > 0) {
        step = std::min(step, slot.busy);
      } else {
        step = std::min(step, slot.left - slot.unsaved);
        if (slot.interval > 0) step = std::min(step, std::max(0.0, slot.interval - slot.unsaved));
      }
      if (slot.deaths < deaths_[i].size() && slot.now + step >= death) {
        slot.now = std::max(slot.now, death), ++slot.deaths;
        slot.unsaved = 0, slot.saving = false, slot.busy = kRestart, slot.born = slot.now + 1;
        policy_->Dies(i, slot.now, &slot);
        continue;
      }
      slot.now += step;
      if (slot.busy > 0) {
        slot.busy -= step;
        if (slot.busy > 1e-9) continue;
        slot.busy = 0;
        if (slot.saving) Saved(i);
        continue;
      }
      slot.unsaved += step;
      if (slot.left - slot.unsaved < 1e-9) {
        Earn(slot.left * slot.density, slot.now);
        if (slot.now > slot.deadline) Earn(-slot.late_loss, slot.now);
        policy_->Ends(i);
        Next(i, slot.now);
      } else if (slot.interval > 0 && slot.unsaved >= slot.interval - 1e-9) {
        slot.saving = true, slot.busy = slot.draws_of_costs.Lognormal(kSave, 0.3);
      }
    }
  }

  void Saved(std::size_t i) {
    SaveSlot& slot = slots_[i];
    const double worked = slot.unsaved;
    Earn(worked * slot.density, slot.now);
    slot.left -= worked, slot.unsaved = 0, slot.saving = false, ++saved_;
    policy_->Saves(i, worked, &slot);
  }

  const DeathDay& day_;
  std::vector<std::vector<double>> deaths_;
  std::unique_ptr<SavePolicy> policy_;
  std::vector<SaveSlot> slots_;
  double saved_ = 0;
  Played played_;
};

}  // namespace

std::vector<std::string> SavePolicies() {
  return {"none", "1", "10", "60", "young", "daly", "daly-own", "oracle", "ours"};
}

Played PlaySaves(const DeathDay& day, const std::string& policy, std::uint64_t seed) {
  return Slots(day, policy, seed).Play();
}

}  // namespace lichenlug::lab

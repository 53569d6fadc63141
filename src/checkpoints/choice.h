// Computes how many times a job saves: the optimum for a finite job.
//
// A job with `work` seconds left makes n saves after n + 1 segments of equal work (none after the last). With
// deaths at a constant rate a, a save that costs C and a restart that costs R, a stretch of x seconds that
// starts over with each death has the expected duration (e^(ax) - 1) e^(aR) / a (Daly 2006, equation 13), so
//   T(n) = e^(aR) / a * (n (e^(a(s + C)) - 1) + e^(as) - 1),  s = work / (n + 1).
// For long jobs with rare deaths s tends to sqrt(2 C / a) (Young 1974) and to Daly's higher-order formula.
// The quantity minimised is worth, not time: each second costs `worth_a_second`, and missing the deadline
// costs `lost_when_late` times its probability (MissProbability below). If the deadline is missed for every
// n, only time counts.
//
// The rate used is the mean plus half a standard deviation: overestimating a rate by some fraction costs as
// much as underestimating it by the same fraction, but an unknown rate is as likely to be ten times the mean
// as zero.
#pragma once

#include "base/clock.h"

namespace lichenlug {

struct Job {
  double work = 0;     // seconds left, without saves
  double save = 1;     // seconds a save costs
  double restart = 1;  // seconds from a death until it resumes from the last save
  double rate = 0;     // deaths a second while it runs
  double price = 0;    // seconds that a save costs other jobs at the store (shadow price of the budget)
  double worth_a_second = 1;  // value of a second of runner time
  double slack = 0;           // seconds to its deadline from now; below 0: no deadline
  double lost_when_late = 0;  // worth lost by missing the deadline
};

struct Choice {
  int saves = 0;
  double interval = 0;  // seconds of work between saves, whole milliseconds; 0: no save
  double loss = 0;      // expected loss of worth
};

inline constexpr int kMaxSaves = 100'000;

double MeanTime(const Job& job, int saves);         // T(n) plus the price of the saves, in seconds
double MissProbability(const Job& job, int saves);  // the probability of missing the deadline
double Loss(const Job& job, int saves);

Choice Choose(const Job& job);

// The expected loss if the job keeps this interval.
double LossAt(const Job& job, double interval);

// A new interval for a job that runs with `interval`, if that gains more than `telling` of worth plus a
// twentieth of the old interval's loss; otherwise the old one.
Choice ReviseChoice(const Job& job, double interval, double update_cost);

}  // namespace lichenlug

// How many times a job saves: the finite optimum.
//
// A job with `work` seconds left makes n saves after n + 1 segments of equal work (none after the last). With
// deaths at a constant rate a, a save that costs C and a restart that costs R, a stretch of x seconds that
// starts over with each death takes (e^(ax) - 1) e^(aR) / a on the mean (Daly 2006, equation 13), so
//   T(n) = e^(aR) / a * (n (e^(a(s + C)) - 1) + e^(as) - 1),  s = work / (n + 1).
// For long jobs with rare deaths s tends to sqrt(2 C / a) (Young 1974) and to Daly's higher order. What is
// minimised is worth, not time: each second costs `worth_a_second`, and being late costs what is then lost,
// times the chance of it (Late below). Where every n is late anyway only time counts.
//
// The rate used is the mean plus half a standard deviation: a rate that is too high by a part costs as much
// as one that is too low by it, but an unknown rate is as likely ten times the mean as never.
#pragma once

#include "base/clock.h"

namespace lichenlug {

struct Job {
  double work = 0;            // seconds left, without saves
  double save = 1;            // seconds a save costs
  double restart = 1;         // seconds from a death until it goes on from the last save
  double rate = 0;            // deaths a second while it runs
  double price = 0;           // seconds a save costs the others at the store (budget)
  double worth_a_second = 1;  // what a runner earns otherwise
  double slack = 0;           // seconds to its deadline from now, below 0: it has none
  double lost_when_late = 0;  // of its worth
};

struct Choice {
  int saves = 0;
  double interval = 0;  // seconds of work between saves, whole milliseconds; 0: no save
  double loss = 0;      // expected, of worth
};

inline constexpr int kMaxSaves = 100'000;

double MeanTime(const Job& job, int saves);  // T(n), with the price of the saves; seconds
double Late(const Job& job, int saves);      // the chance to miss the deadline
double Loss(const Job& job, int saves);

Choice Choose(const Job& job);

// The loss if it goes on with this interval.
double LossAt(const Job& job, double interval);

// A new interval for a job that runs on `interval`: only if it gains `telling` of worth and a twentieth of
// what is lost by the old one. The old one otherwise.
Choice Again(const Job& job, double interval, double telling);

}  // namespace lichenlug

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "MagnoliaLoad/Experiment.h"

namespace magnolia::load {

/// One token bucket for a whole fleet: what an ideal limiter would admit.
class reference_bucket {
public:
  reference_bucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  /// Whether a request at \p At is within the rate; times must not fall.
  bool admit(microseconds At);

private:
  double Rate;
  double Burst;
  double Tokens;
  microseconds Last{0};
};

/// A request that is due at a time after the start.
struct arrival {
  microseconds At{0};
  /// Index of the workspace; one past the last stands for a direct call.
  size_t Workspace = 0;
  uint32_t Caller = 0;
  size_t Request = 0;
  /// Whether the reference bucket admits it.
  bool WithinRate = true;
};

/// The Poisson arrivals of all workspaces in the order of time. The same
/// experiment and seed give the same sequence, whatever the fleet does.
class arrivals {
public:
  explicit arrivals(const experiment &Experiment);

  /// The next arrival, absent once the duration or the request count is over.
  std::optional<arrival> next();

private:
  struct source {
    std::mt19937_64 Random;
    double Rate;
    reference_bucket Reference;
    std::discrete_distribution<size_t> Request;
    uint32_t Callers;
  };

  using due = std::pair<microseconds, size_t>;

  void addSource(double Rate, const workspace_load *Workspace);
  void schedule(size_t Source, microseconds After);

  const experiment &Experiment;
  std::vector<source> Sources;
  std::priority_queue<due, std::vector<due>, std::greater<>> Due;
  uint64_t Count = 0;
};

} // namespace magnolia::load

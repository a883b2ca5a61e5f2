#pragma once

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "MagnoliaLoad/Caller.h"
#include "MagnoliaLoad/Experiment.h"

namespace magnolia::load {

/// The directory answers that callers keep. Each caller asks for itself and
/// asks again shortly before its answer expires.
class directory {
public:
  using clock = std::chrono::steady_clock;

  explicit directory(const experiment &Experiment);

  /// Asks for every answer that is about to expire. Called by one thread.
  void refresh(clock::time_point Now);

  /// The addresses for a caller in the order in which to use them.
  std::vector<std::string> addressesFor(size_t Workspace,
                                        uint32_t Caller) const;

  /// Questions that no instance answered; the old answer was kept.
  uint64_t failures() const;

private:
  struct kept_answer {
    std::vector<std::string> Addresses;
    clock::time_point RefreshAt;
  };

  bool ask(const std::string &Entry, const std::string &Key,
           clock::time_point Now, kept_answer &Answer);
  void askAny(size_t Workspace, size_t Caller, clock::time_point Now);

  const experiment &Experiment;
  caller Client;
  std::mt19937_64 Random;
  mutable absl::Mutex Mutex;
  std::vector<std::vector<kept_answer>> Answers ABSL_GUARDED_BY(Mutex);
  uint64_t Failures ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::load

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "Admission/MemoryShares.h"
#include "Common/Time.h"

namespace magnolia::admission {

/// Responses that callers have not fetched yet, and which of them are given up
/// when others need the memory. They count for the share of their service. A
/// caller may fetch as slowly as it likes while there is room. When there is
/// none, responses that were not fetched within a time are given up, those with
/// the most unsent bytes first, as far as that lets others go on. Load pattern:
/// some callers fetch large responses slowly or not at all, while targets wait
/// until their responses are read, and cut them off after some seconds. Reads
/// no clock; not thread-safe.
class unfetched_answers
    : public std::enable_shared_from_this<unfetched_answers> {
public:
  class answer;
  using duration = common::boot_clock::duration;

  struct hooks {
    /// Bytes that the caller has not fetched.
    std::function<size_t()> Unsent;
    /// Ends the response and releases its memory and its answer object.
    std::function<void()> GiveUp;
  };

  /// \p FetchWithin: responses older than that may be given up.
  static std::shared_ptr<unfetched_answers>
  create(std::shared_ptr<memory_shares> Shares, duration FetchWithin);

  /// Starts to account for the responses of one connection of a caller.
  std::unique_ptr<answer> open(hooks Hooks, common::boot_time Now);

  /// Gives up what stands in the way of others; returns how many.
  size_t giveUpOverdue(common::boot_time Now);

  /// Connections with such responses.
  size_t size() const { return Answers.size(); }

private:
  unfetched_answers(std::shared_ptr<memory_shares> Shares, duration FetchWithin)
      : Shares(std::move(Shares)), FetchWithin(FetchWithin) {}

  const std::shared_ptr<memory_shares> Shares;
  const duration FetchWithin;
  absl::flat_hash_set<answer *> Answers;
};

/// What one connection has not fetched.
class unfetched_answers::answer {
public:
  ~answer();
  answer(const answer &) = delete;
  answer &operator=(const answer &) = delete;

  /// Adds a response, which is released with this object.
  void add(std::shared_ptr<memory_shares::holding> Response);

  /// Since when the caller has something to fetch.
  common::boot_time since() const { return Since; }

private:
  friend class unfetched_answers;

  answer(std::shared_ptr<unfetched_answers> Given, hooks Hooks,
         common::boot_time Now);

  const std::shared_ptr<unfetched_answers> Owner;
  const hooks Hooks;
  const common::boot_time Since;
  std::vector<std::shared_ptr<memory_shares::holding>> Responses;
  size_t Bytes = 0;
};

} // namespace magnolia::admission

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Magnoliad/Gateway.h"
#include "Magnoliad/PeerMessenger.h"
#include "Platform/Services.h"
#include "Quota/RateLimiter.h"
#include "Quota/ShareKeeper.h"

namespace magnolia::daemon {

/// Runs the rate limiter and the share keeper. Thread-safe except for step()
/// and release(), which must be called by one thread at a time.
class rate_agent {
public:
  static absl::StatusOr<std::unique_ptr<rate_agent>>
  create(const settings &Settings, const std::string &PeerAddress,
         const std::string &BootId, const platform::services &Services,
         peer_messenger &Messenger);

  /// Waits until \p Workspace may send a request; fails with RateExceeded or
  /// RateUnavailable.
  absl::StatusOr<rate_permit> admit(std::string_view Workspace,
                                    common::boot_time Deadline);

  /// Ends expired waits and loans; call every few milliseconds.
  void advance();

  void setConfiguration(const contract::snapshot_ptr &Snapshot);

  /// Maintains the lease and the shares in the table; blocks.
  absl::Status step(absl::Span<const quota::owner_candidate> Live);

  /// Returns loans and shares for a graceful shutdown; blocks. Call again after
  /// an error.
  absl::Status release();

  /// Share slots that this instance holds and may use.
  uint64_t slotsHeld();

  /// The instances that own shares of the workspace, in order of preference.
  std::vector<std::string> owners(std::string_view Workspace);

private:
  explicit rate_agent(peer_messenger &Messenger) : Messenger(Messenger) {}

  absl::StatusOr<rate_permit> await(std::string_view Workspace, uint64_t Ticket,
                                    common::boot_time Deadline);
  /// Removes and returns the result for \p Ticket; absent if there is none
  /// before \p Until.
  std::optional<quota::admission> takeResolved(uint64_t Ticket,
                                               common::boot_time Until);
  absl::StatusOr<rate_permit> toPermit(const quota::admission &Admission);
  void resolve(const quota::resolution &Resolution);
  void receive(const std::string &From, std::string_view Body);
  void setShares(const quota::share_view_ptr &View, quota::instant Now);

  peer_messenger &Messenger;
  std::unique_ptr<quota::rate_limiter> Limiter;
  std::unique_ptr<quota::share_keeper> Keeper;

  absl::Mutex Mutex;
  absl::CondVar ResolvedSignal;
  /// Results of tickets that were not taken yet.
  absl::flat_hash_map<uint64_t, quota::admission>
      Resolved ABSL_GUARDED_BY(Mutex);
  quota::share_view_ptr Shares ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::daemon

#pragma once

#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/status/status.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"
#include "Platform/Services.h"

namespace magnolia::target {

/// Durations of a floor lease.
struct floor_lease_settings {
  /// How long a lease lasts from when its row was written.
  common::boot_clock::duration Term = std::chrono::seconds(60);
  /// Bound on the difference of two instances' wall clocks, and on the drift
  /// of a boot clock over one term.
  common::boot_clock::duration ClockMargin = std::chrono::seconds(2);
};

/// Lease on deciding on ejections for a part of the services, held by at most
/// one instance at a time through a row of the platform's table. While the
/// platform is unavailable the lease expires at the end of its term, and no
/// target is ejected. Thread-safe.
class floor_lease {
public:
  /// \p Holder must be unique to the process, also across restarts.
  floor_lease(std::string RowKey, std::string Holder,
              floor_lease_settings Settings)
      : RowKey(std::move(RowKey)), Holder(std::move(Holder)),
        Settings(Settings) {}

  /// Acquires the lease if it is free and renews it once half its term has
  /// passed. Blocks on the table; the times must be read before the call. Ok
  /// also while another instance holds the lease.
  absl::Status poll(const platform::table_service &Table,
                    common::wall_time WallNow, common::boot_time BootNow);

  /// Releases the lease. Call once the holder has stopped deciding; the lease
  /// becomes free ClockMargin after \p LastInForce, the wall time at which its
  /// last decision ends.
  absl::Status release(const platform::table_service &Table,
                       common::wall_time LastInForce);

  /// Time until which the holder's decisions may be in force; in the past if
  /// the lease is not held.
  common::boot_time heldUntil() const;

private:
  absl::Status write(const platform::table_service &Table,
                     const platform::row &Row, common::wall_time Until);

  const std::string RowKey;
  const std::string Holder;
  const floor_lease_settings Settings;
  mutable absl::Mutex Mutex;
  common::boot_time HeldUntil ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::target

#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <absl/status/status.h>

#include "Common/Time.h"
#include "Contract/Snapshot.h"
#include "Platform/ConfigStore.h"

namespace magnolia::daemon {

/// Follows the accepted configuration: reads the head, loads what it names and
/// passes it on. Never goes back to a lower version.
class config_feed {
public:
  using apply_hook = std::function<void(const contract::snapshot_ptr &)>;

  config_feed(platform::services Services, apply_hook Apply);

  /// One look at the head; blocks for as long as the platform takes.
  absl::Status poll(common::boot_time Now);

  /// The configuration in force; null before the first one. Thread-safe.
  contract::snapshot_ptr snapshot() const { return Current.load(); }

  /// When the table last confirmed that nothing newer was accepted.
  common::boot_time confirmedAt() const { return ConfirmedAt.load(); }

private:
  platform::config_store Store;
  const apply_hook Apply;
  std::atomic<contract::snapshot_ptr> Current;
  std::atomic<common::boot_time> ConfirmedAt{common::boot_time::min()};
};

} // namespace magnolia::daemon

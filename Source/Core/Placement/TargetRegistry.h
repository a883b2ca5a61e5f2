#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// Callbacks for changes of the registered targets.
struct registry_hooks {
  std::function<void(const target_entry &Entry)> OnChanged;
  std::function<void(const std::string &Id)> OnRemoved;
};

/// Whether the store was available to the fleet, which decides what a missing
/// entry means.
enum class store_availability : uint8_t {
  /// It was reachable without interruption: a missing entry was deleted or has
  /// expired.
  Uninterrupted,
  /// It was unreachable for all instances: targets may only have been unable to
  /// renew their entries.
  Interrupted,
};

/// Times of a target_registry.
struct registry_settings {
  /// How long a missing entry is kept, for its target to write it again.
  duration ExpiryGrace{0};
  /// The store removes the entry of a dead target within this time.
  duration DeadEntryLifetime{0};
  /// How long removed targets are remembered; at least the age of a copy from
  /// which the store may be restored.
  duration RemovedMemory = std::chrono::minutes(2);
};

/// The targets that are registered in the store. Entries that expired while the
/// store was unreachable for all instances are kept for a grace time after they
/// are found missing, so that their targets can renew them. An instance that
/// alone lost its connection learns from its peers that the store was
/// reachable, and removes the missing entries at once. A store that is restored
/// from an older copy may list targets that were removed since: these are not
/// used until they write their entry again, or have outlived a dead target's.
/// Not thread-safe.
class target_registry {
public:
  target_registry(registry_settings Settings, registry_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)) {}

  /// Adds or updates the entry of a target. An entry of an earlier incarnation
  /// or with a lower sequence is ignored.
  void put(const target_entry &Entry);

  /// The entries up to the next call of keepOnly() are those of a store that
  /// was restored from an older copy. The grace time of missing ones starts
  /// anew.
  void beginRestored(boot_time Now);

  /// Removes the entry of \p Id, which is missing from the store, or keeps it
  /// for the grace time if the store was interrupted and the target was not
  /// draining.
  void remove(std::string_view Id, store_availability Availability,
              boot_time Now);

  /// Calls remove() for all entries but those of \p Ids, the ids in a snapshot
  /// of the store.
  void keepOnly(absl::Span<const std::string> Ids,
                store_availability Availability, boot_time Now);

  /// Removes entries that did not return within the grace time, or all missing
  /// ones if the store turns out to have been reachable.
  void advance(store_availability Availability, boot_time Now);

  size_t size() const { return Entries.size(); }
  bool contains(std::string_view Id) const;

private:
  struct registered_entry {
    target_entry Entry;
    bool IsMissing = false;
    boot_time RemoveAt;
  };

  /// A target that was removed.
  struct removed_target {
    int64_t StartedUnixMs = 0;
    boot_time RemovedAt;
  };

  /// An entry of a restored store whose target was removed before.
  struct held_entry {
    target_entry Entry;
    boot_time UseFrom;
  };

  void removeNow(const std::string &Id, boot_time Now);
  /// Whether the target of \p Entry, which is not registered, must not be used.
  bool holdBack(const target_entry &Entry);
  void use(const target_entry &Entry);
  void useHeld(boot_time Now);
  void forgetRemoved(boot_time Now);

  const registry_settings Settings;
  registry_hooks Hooks;
  absl::flat_hash_map<std::string, registered_entry> Entries;
  absl::flat_hash_map<std::string, removed_target> Removed;
  absl::flat_hash_map<std::string, held_entry> Held;
  /// Set while the entries of a restored store are added.
  std::optional<boot_time> RestoredAt;
};

} // namespace magnolia::placement

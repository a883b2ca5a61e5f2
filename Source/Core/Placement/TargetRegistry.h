#pragma once

#include <functional>
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

/// The targets that are registered in the store. Entries that expired while the
/// store was unreachable for all instances are kept for a grace time after they
/// are found missing, so that their targets can renew them. An instance that
/// alone lost its connection learns from its peers that the store was
/// reachable, and removes the missing entries at once. Not thread-safe.
class target_registry {
public:
  target_registry(duration ExpiryGrace, registry_hooks Hooks)
      : ExpiryGrace(ExpiryGrace), Hooks(std::move(Hooks)) {}

  /// Adds or updates the entry of a target. An entry of an earlier incarnation
  /// or with a lower sequence is ignored.
  void put(const target_entry &Entry);

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

  void removeNow(const std::string &Id);

  const duration ExpiryGrace;
  registry_hooks Hooks;
  absl::flat_hash_map<std::string, registered_entry> Entries;
};

} // namespace magnolia::placement

#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// What changes in the set of targets.
struct registry_hooks {
  std::function<void(const target_entry &Entry)> OnChanged;
  std::function<void(const std::string &Id)> OnRemoved;
};

/// Why entries may be missing from the store.
enum class store_availability : uint8_t {
  /// It answered all the while: what is missing is gone.
  Uninterrupted,
  /// It was away for everyone: targets may only have been unable to renew
  /// their entries.
  Interrupted,
};

/// The targets that the store names. Entries that went missing while the store
/// was away are kept for a grace time after its return. An instance that was
/// cut off alone learns from its peers that the store was there, and gives them
/// up at once. Not thread-safe.
class target_registry {
public:
  target_registry(duration LapseGrace, registry_hooks Hooks)
      : LapseGrace(LapseGrace), Hooks(std::move(Hooks)) {}

  /// A target's entry, or a newer one of it. An entry of an earlier incarnation
  /// or with a lower sequence changes nothing.
  void put(const target_entry &Entry);

  /// The entry of \p Id is missing.
  void remove(std::string_view Id, store_availability History, boot_time Now);

  /// The store holds exactly \p Ids at this moment.
  void keepOnly(absl::Span<const std::string> Ids, store_availability History,
                boot_time Now);

  /// Gives up entries that did not come back within the grace time, all missing
  /// ones if \p History is found to be steady.
  void advance(store_availability History, boot_time Now);

  size_t size() const { return Entries.size(); }
  bool contains(std::string_view Id) const;

private:
  struct registered_entry {
    target_entry Entry;
    bool Lapsed = false;
    boot_time RemoveAt;
  };

  void drop(const std::string &Id);

  const duration LapseGrace;
  registry_hooks Hooks;
  absl::flat_hash_map<std::string, registered_entry> Entries;
};

} // namespace magnolia::placement

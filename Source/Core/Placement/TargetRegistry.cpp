#include "Placement/TargetRegistry.h"

#include <vector>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "Common/Digest.h"
#include "Common/StringView.h"

namespace magnolia::placement {

using common::toAbsl;

target_key keyOf(const target_entry &Entry) {
  return static_cast<target_key>(
      common::stableHash(Entry.Id, static_cast<uint64_t>(Entry.StartedUnixMs)));
}

duration countedWarmup(duration Left) {
  if (Left <= duration::zero())
    return duration::zero();
  duration Counted = std::chrono::seconds(1);
  while (Counted < Left)
    Counted *= 2;
  return Counted;
}

uint64_t identityHash(const target_entry &Entry) {
  const std::string Numbers = absl::StrCat(
      Entry.StartedUnixMs, "/", Entry.Capacity, "/", Entry.Draining ? 1 : 0,
      "/", countedWarmup(Entry.WarmupLeft) / std::chrono::seconds(1));
  uint64_t Hash = 0;
  for (const std::string &Part : {Entry.Id, Entry.Service, Entry.Address,
                                  Entry.FailureDomain, Entry.Version, Numbers})
    Hash = common::stableHash(Part, Hash);
  return Hash;
}

void target_registry::put(const target_entry &Entry) {
  if (!Entries.contains(Entry.Id) && holdBack(Entry))
    return;
  use(Entry);
}

void target_registry::use(const target_entry &Entry) {
  Held.erase(Entry.Id);
  Removed.erase(Entry.Id);
  registered_entry &Registered = Entries[Entry.Id];
  const bool Known = !Registered.Entry.Id.empty();
  const bool Older =
      Known && (Entry.StartedUnixMs < Registered.Entry.StartedUnixMs ||
                (Entry.StartedUnixMs == Registered.Entry.StartedUnixMs &&
                 Entry.Sequence < Registered.Entry.Sequence));
  Registered.IsMissing = false;
  if (Older)
    return;
  Registered.Entry = Entry;
  Hooks.OnChanged(Entry);
}

bool target_registry::holdBack(const target_entry &Entry) {
  const auto Before = Held.find(Entry.Id);
  if (Before != Held.end() &&
      Before->second.Entry.StartedUnixMs == Entry.StartedUnixMs &&
      Before->second.Entry.Sequence == Entry.Sequence)
    return true;
  const auto Found = Removed.find(Entry.Id);
  if (!RestoredAt || Found == Removed.end() ||
      Found->second.StartedUnixMs != Entry.StartedUnixMs)
    return false;
  Held[Entry.Id] = {Entry, *RestoredAt + Settings.DeadEntryLifetime};
  return true;
}

void target_registry::beginRestored(boot_time Now) {
  RestoredAt = Now;
  for (auto &[Id, Registered] : Entries)
    if (Registered.IsMissing)
      Registered.RemoveAt = Now + Settings.ExpiryGrace;
}

void target_registry::remove(std::string_view Id,
                             store_availability Availability, boot_time Now) {
  Held.erase(toAbsl(Id));
  const auto Found = Entries.find(toAbsl(Id));
  if (Found == Entries.end())
    return;
  if (Availability == store_availability::Uninterrupted ||
      Found->second.Entry.Draining) {
    removeNow(std::string(Id), Now);
    return;
  }
  if (Found->second.IsMissing)
    return;
  Found->second.IsMissing = true;
  Found->second.RemoveAt = Now + Settings.ExpiryGrace;
}

void target_registry::keepOnly(absl::Span<const std::string> Ids,
                               store_availability Availability, boot_time Now) {
  RestoredAt.reset();
  const absl::flat_hash_set<std::string> Listed(Ids.begin(), Ids.end());
  std::vector<std::string> Missing;
  for (const auto &[Id, Registered] : Entries)
    if (!Listed.contains(Id))
      Missing.push_back(Id);
  for (const auto &[Id, Entry] : Held)
    if (!Listed.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    remove(Id, Availability, Now);
}

void target_registry::advance(store_availability Availability, boot_time Now) {
  std::vector<std::string> Expired;
  for (const auto &[Id, Registered] : Entries)
    if (Registered.IsMissing &&
        (Availability == store_availability::Uninterrupted ||
         Now >= Registered.RemoveAt))
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    removeNow(Id, Now);
  useHeld(Now);
  forgetRemoved(Now);
}

void target_registry::useHeld(boot_time Now) {
  std::vector<target_entry> Due;
  for (const auto &[Id, Entry] : Held)
    if (Now >= Entry.UseFrom)
      Due.push_back(Entry.Entry);
  for (const target_entry &Entry : Due)
    use(Entry);
}

void target_registry::forgetRemoved(boot_time Now) {
  absl::erase_if(Removed, [&](const auto &Entry) {
    return Now - Entry.second.RemovedAt >= Settings.RemovedMemory;
  });
}

bool target_registry::contains(std::string_view Id) const {
  return Entries.contains(toAbsl(Id));
}

void target_registry::removeNow(const std::string &Id, boot_time Now) {
  Removed[Id] = {Entries[Id].Entry.StartedUnixMs, Now};
  Entries.erase(Id);
  Hooks.OnRemoved(Id);
}

} // namespace magnolia::placement

#include "Platform/MemoryPlatform.h"

#include <algorithm>
#include <thread>

#include <absl/strings/str_cat.h>

#include "Common/Digest.h"
#include "Common/StringView.h"

namespace magnolia::platform {
namespace {

memory_platform_hooks withDefaults(memory_platform_hooks Hooks) {
  if (!Hooks.Sleep)
    Hooks.Sleep = [](std::chrono::microseconds Delay) {
      std::this_thread::sleep_for(Delay);
    };
  return Hooks;
}

} // namespace

memory_platform::memory_platform(memory_platform_hooks Hooks)
    : Hooks(withDefaults(std::move(Hooks))) {}

services memory_platform::bind() {
  services Services;
  Services.Table.Get = [this](std::string_view Key) { return get(Key); };
  Services.Table.Scan = [this](std::string_view Prefix) {
    return scan(Prefix);
  };
  Services.Table.Commit = [this](absl::Span<const condition> Conditions,
                                 absl::Span<const write> Writes) {
    return commit(Conditions, Writes);
  };
  Services.Objects.Put = [this](std::string_view Digest,
                                std::string_view Bytes) {
    return putObject(Digest, Bytes);
  };
  Services.Objects.Get = [this](std::string_view Digest) {
    return getObject(Digest);
  };
  Services.Instances.Read = [this] { return listInstances(); };
  return Services;
}

void memory_platform::setFaults(const platform_faults &NewFaults) {
  const absl::MutexLock Lock(&Mutex);
  Faults = NewFaults;
}

platform_faults memory_platform::faults() const {
  const absl::MutexLock Lock(&Mutex);
  return Faults;
}

void memory_platform::releaseHeldCommits() {
  const absl::MutexLock Lock(&Mutex);
  for (const held_commit &Commit : HeldCommits)
    applyLocked(Commit.Conditions, Commit.Writes).IgnoreError();
  HeldCommits.clear();
}

memory_platform::table_copy memory_platform::copyTable() const {
  const absl::MutexLock Lock(&Mutex);
  return {Rows, LastVersion};
}

void memory_platform::restoreTable(const table_copy &Copy) {
  const absl::MutexLock Lock(&Mutex);
  Rows = Copy.Rows;
  LastVersion = Copy.LastVersion;
  ++Era;
}

row memory_platform::inEra(row Row) const {
  Row.Era = Era;
  return Row;
}

void memory_platform::setInstances(std::vector<listed_instance> Instances) {
  const absl::MutexLock Lock(&Mutex);
  Lists.push_back({Hooks.Now() + ListLag, std::move(Instances)});
}

void memory_platform::setListLag(std::chrono::microseconds Lag) {
  const absl::MutexLock Lock(&Mutex);
  ListLag = Lag;
}

uint64_t memory_platform::callCount() const {
  const absl::MutexLock Lock(&Mutex);
  return Calls;
}

absl::Status memory_platform::beginCall() {
  if (Hooks.BeforeCall)
    Hooks.BeforeCall();
  const platform_faults Current = faults();
  if (Current.Delay.count() > 0)
    Hooks.Sleep(Current.Delay);
  const absl::MutexLock Lock(&Mutex);
  ++Calls;
  return Faults.Down ? absl::UnavailableError("the platform is down")
                     : absl::OkStatus();
}

absl::Status
memory_platform::applyLocked(absl::Span<const condition> Conditions,
                             absl::Span<const write> Writes) {
  for (const condition &Condition : Conditions) {
    const auto Row = Rows.find(Condition.Key);
    const uint64_t Version = Row == Rows.end() ? 0 : Row->second.Version;
    if (Version != Condition.Version)
      return absl::AbortedError(
          absl::StrCat("row ", Condition.Key, " has version ", Version));
  }
  for (const write &Write : Writes) {
    if (Write.Value)
      Rows[Write.Key] = {Write.Key, *Write.Value, ++LastVersion};
    else
      Rows.erase(Write.Key);
  }
  return absl::OkStatus();
}

absl::StatusOr<row> memory_platform::get(std::string_view Key) {
  if (absl::Status Status = beginCall(); !Status.ok())
    return Status;
  const absl::MutexLock Lock(&Mutex);
  const auto Row = Rows.find(Key);
  return inEra(Row == Rows.end() ? row{std::string(Key), "", 0} : Row->second);
}

absl::StatusOr<std::vector<row>>
memory_platform::scan(std::string_view Prefix) {
  if (absl::Status Status = beginCall(); !Status.ok())
    return Status;
  const absl::MutexLock Lock(&Mutex);
  std::vector<row> Found;
  for (auto Row = Rows.lower_bound(Prefix);
       Row != Rows.end() && Row->first.starts_with(Prefix); ++Row)
    Found.push_back(inEra(Row->second));
  return Found;
}

absl::Status memory_platform::commit(absl::Span<const condition> Conditions,
                                     absl::Span<const write> Writes) {
  if (absl::Status Status = beginCall(); !Status.ok())
    return Status;
  const absl::MutexLock Lock(&Mutex);
  if (Faults.HoldCommits > 0) {
    --Faults.HoldCommits;
    HeldCommits.push_back({{Conditions.begin(), Conditions.end()},
                           {Writes.begin(), Writes.end()}});
    return absl::UnknownError("no reply received");
  }
  absl::Status Status = applyLocked(Conditions, Writes);
  if (Faults.LoseReplies == 0)
    return Status;
  --Faults.LoseReplies;
  return absl::UnknownError("no reply received");
}

absl::Status memory_platform::putObject(std::string_view Digest,
                                        std::string_view Bytes) {
  if (absl::Status Status = beginCall(); !Status.ok())
    return Status;
  if (common::sha256Hex(Bytes) != Digest)
    return absl::InvalidArgumentError("the digest is not that of the object");
  const absl::MutexLock Lock(&Mutex);
  Objects.emplace(Digest, Bytes);
  return absl::OkStatus();
}

absl::StatusOr<std::string>
memory_platform::getObject(std::string_view Digest) {
  if (absl::Status Status = beginCall(); !Status.ok())
    return Status;
  const absl::MutexLock Lock(&Mutex);
  const auto Object = Objects.find(Digest);
  if (Object == Objects.end())
    return absl::NotFoundError(
        absl::StrCat("there is no object ", common::toAbsl(Digest)));
  return Object->second;
}

absl::StatusOr<std::vector<listed_instance>> memory_platform::listInstances() {
  if (absl::Status Status = beginCall(); !Status.ok())
    return Status;
  const common::boot_time Now = Hooks.Now();
  const absl::MutexLock Lock(&Mutex);
  std::vector<listed_instance> Latest;
  for (const delayed_list &List : Lists)
    if (List.VisibleFrom <= Now)
      Latest = List.Instances;
  return Latest;
}

} // namespace magnolia::platform

#include <algorithm>

#include "Common/StringView.h"
#include "Quota/OwnerOrder.h"
#include "Quota/RateLimiter.h"

namespace magnolia::quota {

namespace {

/// How often accounts whose bucket is full again are dropped.
constexpr duration SweepPeriod = std::chrono::seconds(10);

/// Larger rates and bursts are limited to this.
constexpr double LargestAmount = 1e9 * static_cast<double>(OneToken);

int64_t toNano(double Amount) {
  return static_cast<int64_t>(
      std::clamp(Amount * static_cast<double>(OneToken), 0.0, LargestAmount));
}

} // namespace

void rate_limiter::setConfiguration(
    absl::Span<const contract::workspace> Workspaces, instant Now) {
  absl::flat_hash_set<std::string> Present;
  for (const contract::workspace &Workspace : Workspaces)
    Present.insert(Workspace.Name);
  for (shard &Shard : Shards) {
    const absl::MutexLock Lock(&Shard.Mutex);
    for (auto &[Name, Entry] : Shard.Entries)
      Entry.Removed = !Present.contains(Name);
    removeUnused(Shard, Now);
  }
  for (const contract::workspace &Workspace : Workspaces)
    configure(Workspace, Now);
}

void rate_limiter::removeUnused(shard &Shard, instant Now) {
  // Loans outlive the workspace: if it is added again before they end, its
  // rights must still lack what was lent.
  absl::erase_if(Shard.Entries, [&](auto &Element) {
    entry &Entry = Element.second;
    if (!Entry.Removed)
      return false;
    if (!Entry.Account || Entry.Account->quiet())
      return true;
    Entry.Rate = 0;
    Entry.Burst = 0;
    Entry.Account->resize(0, 0, Now.Boot);
    return false;
  });
}

void rate_limiter::configure(const contract::workspace &Workspace,
                             instant Now) {
  shard &Shard = shardOf(Workspace.Name);
  const absl::MutexLock Lock(&Shard.Mutex);
  const auto [Found, New] = Shard.Entries.try_emplace(Workspace.Name);
  entry &Entry = Found->second;
  const nano_rate Rate = toNano(Workspace.Rate);
  const nano_tokens Burst = toNano(Workspace.Burst);
  if (New) {
    // A workspace that is removed and added again must not gain a burst.
    Entry.Since = Now.Boot;
    Entry.Rate = Rate;
    Entry.Burst = Burst;
    return;
  }
  if (Entry.Rate == Rate && Entry.Burst == Burst)
    return;
  // The account first earns by the old rate up to now.
  account &Account = accountOf(Shard, Found->first, Entry);
  Account.refresh(Now);
  Entry.Rate = Rate;
  Entry.Burst = Burst;
  Entry.Since = Now.Boot;
  const own_rights Rights = ownRightsOf(Shard, Workspace.Name, Entry);
  Account.resize(Rights.Rate, Rights.Capacity, Now.Boot);
}

void rate_limiter::setShares(const share_view_ptr &View, instant Now) {
  for (shard &Shard : Shards)
    applyShares(Shard, View, Now);
}

void rate_limiter::applyShares(shard &Shard, const share_view_ptr &View,
                               instant Now) {
  const absl::MutexLock Lock(&Shard.Mutex);
  Shard.Shares = View;
  for (auto &[Workspace, Entry] : Shard.Entries) {
    if (!Entry.Account)
      continue;
    const own_rights Rights = ownRightsOf(Shard, Workspace, Entry);
    const partition_view *Partition = partitionIn(Shard, Workspace);
    if (!Partition || Partition->LostAt > Entry.Account->rightsSince())
      Entry.Account->forfeit(Shard.NextNumber++, Now.Boot);
    Entry.Account->resize(Rights.Rate, Rights.Capacity, Now.Boot);
  }
}

rate_limiter::own_rights rate_limiter::ownRightsOf(const shard &Shard,
                                                   std::string_view Workspace,
                                                   const entry &Entry) const {
  const partition_view *Partition = partitionIn(Shard, Workspace);
  if (!Partition)
    return {0, 0, Entry.Since};
  const int64_t SlotCount = Shard.Shares->SlotCount;
  own_rights Rights;
  // Divides before multiplying, so that all slots together never exceed the
  // whole. A clock that runs fast must not earn more than the rate.
  Rights.Capacity = Entry.Burst / SlotCount * Partition->Held;
  const nano_rate Rate = Entry.Rate / SlotCount * Partition->Held;
  Rights.Rate = static_cast<nano_rate>(static_cast<double>(Rate) *
                                       (1 - Options.ClockDrift));
  Rights.Since = std::max(Entry.Since, Partition->Since);
  return Rights;
}

const partition_view *rate_limiter::partitionIn(const shard &Shard,
                                                std::string_view Workspace) {
  if (!Shard.Shares || Shard.Shares->Partitions.empty())
    return nullptr;
  const auto &Partitions = Shard.Shares->Partitions;
  const auto Count = static_cast<uint32_t>(Partitions.size());
  return &Partitions[partitionOf(Workspace, Count)];
}

account &rate_limiter::accountOf(shard &Shard, const std::string &Workspace,
                                 entry &Entry) {
  if (Entry.Account)
    return *Entry.Account;
  const own_rights Rights = ownRightsOf(Shard, Workspace, Entry);
  Entry.Account =
      std::make_unique<account>(Workspace, Rights.Rate, Rights.Capacity,
                                Shard.NextNumber++, Rights.Since);
  return *Entry.Account;
}

void rate_limiter::release(instant Now) {
  Stopping.store(true);
  for (shard &Shard : Shards) {
    effects Out;
    {
      const absl::MutexLock Lock(&Shard.Mutex);
      for (auto &[Workspace, Entry] : Shard.Entries)
        if (Entry.Account)
          Entry.Account->release(contextOf(Shard, Workspace, Now), Out);
    }
    carryOut(Out);
  }
}

duration rate_limiter::timeUntilLoansEnd(instant Now) {
  common::boot_time Last = Now.Boot;
  for (shard &Shard : Shards) {
    const absl::MutexLock Lock(&Shard.Mutex);
    for (auto &[Workspace, Entry] : Shard.Entries)
      if (Entry.Account)
        Last = std::max(Last, Entry.Account->own().lastLoanEnd(Now.Boot));
  }
  return Last - Now.Boot;
}

size_t rate_limiter::activeAccounts() {
  size_t Count = 0;
  for (shard &Shard : Shards) {
    const absl::MutexLock Lock(&Shard.Mutex);
    for (const auto &[Workspace, Entry] : Shard.Entries)
      Count += Entry.Account ? 1 : 0;
  }
  return Count;
}

void rate_limiter::sweep(shard &Shard, instant Now) {
  Shard.NextSweep = Now.Boot + SweepPeriod;
  removeUnused(Shard, Now);
  for (auto &[Workspace, Entry] : Shard.Entries) {
    if (!Entry.Account || !Entry.Account->quiet())
      continue;
    Entry.Account->refresh(Now);
    const token_bucket &Bucket = Entry.Account->own().bucket();
    if (Bucket.reserved() == 0 && Bucket.available() == Bucket.capacity())
      Entry.Account.reset();
  }
}

} // namespace magnolia::quota

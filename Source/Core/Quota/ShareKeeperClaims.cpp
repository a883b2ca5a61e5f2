#include <algorithm>

#include "Common/StringView.h"
#include "Quota/ShareKeeper.h"

namespace magnolia::quota {

namespace {

/// Slots claimed in one transaction.
constexpr size_t ClaimBatch = 64;

/// With handover::AnySlot, at most one in this many partitions starts to hand a
/// slot over in one step.
constexpr uint32_t HandoverDivisor = 8;

} // namespace

absl::Status share_keeper::refresh(instant Now,
                                   absl::Span<const owner_candidate> Live) {
  const absl::StatusOr<lease_map> Leases = scanLeases();
  if (!Leases.ok())
    return Leases.status();
  if (absl::Status Status = scanShares(); !Status.ok())
    return Status;
  NextRefresh = Now.Boot + Options.RefreshPeriod;
  if (Now.Boot < UsableFrom)
    NextRefresh = std::min(NextRefresh, UsableFrom);
  // Only slots that the scan returned are used: a slot claimed in this step
  // earns tokens from the next step's time, when the claim has certainly taken
  // effect.
  publish(*Leases, Now);
  if (absl::Status Status = finishHandovers(Now); !Status.ok())
    return Status;
  const std::vector<slot> Slots = slotsToClaim(*Leases, Now, Live);
  if (!Slots.empty()) {
    NextRefresh = Now.Boot;
    return claim(Slots, *Leases);
  }
  if (Now.Boot < NextHandover)
    return handOver(*Leases, Now, Live, handover::OneOfSeveral);
  NextHandover = Now.Boot + Options.HandoverPeriod;
  return handOver(*Leases, Now, Live, handover::AnySlot);
}

absl::StatusOr<share_keeper::lease_map> share_keeper::scanLeases() {
  const auto Rows = Table.Scan(LeasePrefix);
  if (!Rows.ok())
    return Rows.status();
  lease_map Leases;
  for (const platform::row &Row : *Rows) {
    const absl::StatusOr<lease_row> Lease = decodeLease(Row.Value);
    if (!Lease.ok())
      return Lease.status();
    Leases[Row.Key.substr(LeasePrefix.size())] = {*Lease, Row.Version};
  }
  return Leases;
}

absl::Status share_keeper::scanShares() {
  const auto Rows = Table.Scan(SharePrefix);
  if (!Rows.ok())
    return Rows.status();
  std::map<slot, stored_share> Seen;
  for (const platform::row &Row : *Rows) {
    const absl::StatusOr<slot> Slot = parseShareKey(Row.Key);
    const absl::StatusOr<share_row> Share = decodeShare(Row.Value);
    if (!Slot.ok() || !Share.ok())
      return absl::DataLossError("malformed share row");
    if (Slot->Partition >= Layout.PartitionCount ||
        Slot->Index >= Layout.SlotCount)
      return absl::DataLossError("share row outside of the layout");
    Seen[*Slot] = {*Share, Row.Version};
  }
  Shares = std::move(Seen);
  return absl::OkStatus();
}

bool share_keeper::isFree(const stored_share &Share, const lease_map &Leases,
                          instant Now) const {
  if (Share.Row.Lease.empty())
    return true;
  const auto Found = Leases.find(Share.Row.Lease);
  // A lease row is removed only after all rights under it have ended.
  if (Found == Leases.end())
    return true;
  const lease_row &Lease = Found->second.Row;
  if (Lease.Closed && Lease.Expires == common::wall_time())
    return true;
  return Now.Wall > Lease.Expires + Options.ClockSkew;
}

void share_keeper::publish(const lease_map &Leases, instant Now) {
  std::vector<partition_view> Next(Layout.PartitionCount);
  for (const auto &[Slot, Share] : Shares) {
    partition_view &Partition = Next[Slot.Partition];
    const bool Mine = !LeaseId.empty() && holds(Share);
    if (Mine && Now.Boot >= UsableFrom && !Handovers.contains(Slot))
      ++Partition.Held;
    if (LeaseId.empty() || isFree(Share, Leases, Now))
      continue;
    auto &Owners = Partition.Owners;
    if (std::find(Owners.begin(), Owners.end(), Share.Row.Instance) ==
        Owners.end())
      Owners.push_back(Share.Row.Instance);
  }
  bool Changed = false;
  for (size_t Index = 0; Index < Next.size(); ++Index) {
    const partition_view &Before = Published[Index];
    partition_view &After = Next[Index];
    After.Since = After.Held == Before.Held ? Before.Since : Now.Boot;
    After.LostAt = After.Held < Before.Held ? Now.Boot : Before.LostAt;
    Changed =
        Changed || After.Held != Before.Held || After.Owners != Before.Owners;
  }
  if (!Changed)
    return;
  Published = Next;
  Hooks.SharesChanged(std::make_shared<const share_view>(
                          share_view{Layout.SlotCount, std::move(Next)}),
                      Now);
}

std::vector<slot>
share_keeper::slotsToClaim(const lease_map &Leases, instant Now,
                           absl::Span<const owner_candidate> Live) {
  std::vector<slot> Wanted;
  for (uint32_t P = 0; P < Layout.PartitionCount; ++P) {
    const std::vector<size_t> Order = ownerOrder(P, Live);
    const auto Self = std::find_if(Order.begin(), Order.end(), [&](size_t I) {
      return Live[I].Instance == Options.Instance;
    });
    if (Self == Order.end())
      continue;
    const auto Rank = static_cast<int64_t>(Self - Order.begin());
    std::vector<slot> Free;
    int64_t Held = 0;
    for (uint32_t Index = 0; Index < Layout.SlotCount; ++Index) {
      const slot Slot{P, Index};
      const auto Found = Shares.find(Slot);
      if (Found != Shares.end() && holds(Found->second))
        ++Held;
      else if (Found == Shares.end() || isFree(Found->second, Leases, Now))
        Free.push_back(Slot);
      else
        FreeSince.erase(Slot);
    }
    const auto Candidates = static_cast<int64_t>(Order.size());
    for (const slot Slot : Free) {
      const common::boot_time Since =
          FreeSince.try_emplace(Slot, Now.Boot).first->second;
      // A candidate's place is its rank, plus the number of candidates for each
      // slot that it holds. The first SlotCount places claim at once; each
      // later one waits one delay longer.
      const int64_t PlacesBehind =
          Rank + Candidates * Held - (int64_t{Layout.SlotCount} - 1);
      const int64_t DelayCount = std::max<int64_t>(0, PlacesBehind);
      if (Now.Boot - Since < Options.ClaimDelay * DelayCount)
        continue;
      Wanted.push_back(Slot);
      ++Held;
    }
  }
  return Wanted;
}

absl::Status share_keeper::claim(absl::Span<const slot> Slots,
                                 const lease_map &Leases) {
  absl::Status Result;
  for (size_t First = 0; First < Slots.size(); First += ClaimBatch) {
    // The own lease must still be in the table, and each lease that a slot
    // belonged to must not have been renewed since it was read.
    std::vector<platform::condition> Conditions{
        {leaseKey(LeaseId), LeaseVersion}};
    std::vector<platform::write> Writes;
    absl::flat_hash_set<std::string> Ended;
    for (const slot Slot : Slots.subspan(First, ClaimBatch)) {
      const auto Found = Shares.find(Slot);
      const bool Absent = Found == Shares.end();
      Conditions.push_back(
          {shareKey(Slot), Absent ? 0 : Found->second.Version});
      Writes.push_back(
          {shareKey(Slot), encode(share_row{Options.Instance, LeaseId})});
      FreeSince.erase(Slot);
      if (Absent || Found->second.Row.Lease.empty() ||
          !Ended.insert(Found->second.Row.Lease).second)
        continue;
      const std::string &Lease = Found->second.Row.Lease;
      const auto Holder = Leases.find(Lease);
      const bool Removed = Holder == Leases.end();
      Conditions.push_back(
          {leaseKey(Lease), Removed ? 0 : Holder->second.Version});
      if (!Removed)
        Writes.push_back({leaseKey(Lease), std::nullopt});
    }
    absl::Status Status = Table.Commit(Conditions, Writes);
    if (!Status.ok())
      Result = Status;
  }
  return Result;
}

absl::Status share_keeper::handOver(const lease_map &Leases, instant Now,
                                    absl::Span<const owner_candidate> Live,
                                    handover Which) {
  absl::flat_hash_map<std::string, bool> HasLease;
  for (const auto &[Id, Lease] : Leases)
    if (!Lease.Row.Closed && Now.Wall < Lease.Row.Expires)
      HasLease[Lease.Row.Instance] = true;
  uint32_t Left = Which == handover::OneOfSeveral
                      ? Layout.PartitionCount
                      : std::max(1U, Layout.PartitionCount / HandoverDivisor);
  for (uint32_t P = 0; P < Layout.PartitionCount && Left > 0; ++P) {
    std::vector<slot> Mine;
    std::vector<std::string> Holders;
    for (auto It = Shares.lower_bound({P, 0});
         It != Shares.end() && It->first.Partition == P; ++It) {
      Holders.push_back(It->second.Row.Instance);
      if (holds(It->second))
        Mine.push_back(It->first);
    }
    const bool InProgress =
        std::any_of(Mine.begin(), Mine.end(),
                    [&](slot Slot) { return Handovers.contains(Slot); });
    if (Mine.empty() || InProgress)
      continue;
    // A slot that was handed over has no holder until it is claimed: only one
    // slot of the partition moves at a time.
    const bool Waiting =
        std::find(Holders.begin(), Holders.end(), "") != Holders.end();
    if (Which == handover::OneOfSeveral && (Mine.size() == 1 || Waiting))
      continue;
    const std::vector<size_t> Order = ownerOrder(P, Live);
    const size_t Preferred = std::min<size_t>(Layout.SlotCount, Order.size());
    bool SelfPreferred = false;
    bool Missing = false;
    for (size_t Rank = 0; Rank < Preferred; ++Rank) {
      const std::string &Name = Live[Order[Rank]].Instance;
      SelfPreferred = SelfPreferred || Name == Options.Instance;
      const bool Holds =
          std::find(Holders.begin(), Holders.end(), Name) != Holders.end();
      Missing = Missing || (!Holds && HasLease.contains(Name));
    }
    if (!Missing || (SelfPreferred && Mine.size() == 1))
      continue;
    Handovers[Mine.back()] = common::boot_time::max();
    --Left;
  }
  publish(Leases, Now);
  return absl::OkStatus();
}

absl::Status share_keeper::finishHandovers(instant Now) {
  for (auto It = Handovers.begin(); It != Handovers.end();) {
    const auto Found = Shares.find(It->first);
    if (Found == Shares.end() || !holds(Found->second)) {
      It = Handovers.erase(It);
      continue;
    }
    // Loans granted from the slot must end first. Their term counts from this
    // step, which began after the rate limiter had lost the slot.
    if (It->second == common::boot_time::max())
      It->second = Now.Boot + Options.LoanTerm;
    if (It->second > Now.Boot) {
      ++It;
      continue;
    }
    const std::string Key = shareKey(It->first);
    absl::Status Status =
        Table.Commit({platform::condition{Key, Found->second.Version}},
                     {platform::write{Key, encode(share_row{})}});
    // The slot is not used here again until the row shows another holder.
    if (!Status.ok() && !absl::IsUnknown(Status))
      return Status;
    FreeSince[It->first] = Now.Boot;
    ++It;
  }
  return absl::OkStatus();
}

} // namespace magnolia::quota

#include "Quota/ShareKeeper.h"

#include <absl/strings/str_cat.h>

#include "Common/Digest.h"
#include "Common/StringView.h"

namespace magnolia::quota {

namespace {

constexpr size_t RandomNameBytes = 8;

} // namespace

absl::StatusOr<std::unique_ptr<share_keeper>>
share_keeper::create(keeper_options Options, platform::table_service Table,
                     keeper_hooks Hooks) {
  if (Options.Instance.empty() || Options.Process.empty())
    return absl::InvalidArgumentError(
        "names of instance and process must not be empty");
  if (Options.LeaseTerm <= Options.RenewPeriod ||
      Options.LeaseTerm <= Options.LoanTerm ||
      Options.LoanTerm <= duration::zero())
    return absl::InvalidArgumentError(
        "the loan term must be positive, and the lease term must exceed it and "
        "the renewal period");
  if (Options.ClockSkew < duration::zero() || Options.ClockDrift < 0 ||
      Options.ClockDrift >= 1)
    return absl::InvalidArgumentError("clock skew or drift is out of range");
  if (!Table.Get || !Table.Scan || !Table.Commit || !Hooks.SharesChanged ||
      !Hooks.LeaseChanged || !Hooks.TimeUntilLoansEnd)
    return absl::InvalidArgumentError("a hook of the share keeper is missing");
  return std::unique_ptr<share_keeper>(
      new share_keeper(std::move(Options), std::move(Table), std::move(Hooks)));
}

share_keeper::share_keeper(keeper_options Options,
                           platform::table_service Table, keeper_hooks Hooks)
    : Options(std::move(Options)), Table(std::move(Table)),
      Hooks(std::move(Hooks)) {}

absl::Status share_keeper::step(instant Now,
                                absl::Span<const owner_candidate> Live) {
  if (Released)
    return absl::OkStatus();
  if (Layout.PartitionCount == 0)
    if (absl::Status Status = loadLayout(); !Status.ok())
      return Status;
  if (LeaseId.empty())
    if (absl::Status Status = open(Now); !Status.ok())
      return Status;
  if (Now.Boot >= NextRenewal)
    if (absl::Status Status = renewLease(Now); !Status.ok())
      return Status;
  if (Now.Boot < NextRefresh)
    return absl::OkStatus();
  return refresh(Now, Live);
}

absl::Status share_keeper::loadLayout() {
  const std::string Key(LayoutKey);
  absl::StatusOr<platform::row> Row = Table.Get(Key);
  if (!Row.ok())
    return Row.status();
  if (Row->Version == 0) {
    // The first instance decides for the fleet; the result does not matter
    // here, since the row is read back.
    Table
        .Commit({platform::condition{Key, 0}},
                {platform::write{Key, encode(Options.Layout)}})
        .IgnoreError();
    Row = Table.Get(Key);
    if (!Row.ok())
      return Row.status();
    if (Row->Version == 0)
      return absl::UnavailableError("the layout row is not written yet");
  }
  const absl::StatusOr<layout_row> Read = decodeLayout(Row->Value);
  if (!Read.ok())
    return Read.status();
  Layout = *Read;
  Published.assign(Layout.PartitionCount, {});
  return absl::OkStatus();
}

absl::Status share_keeper::open(instant Now) {
  const absl::StatusOr<lease_map> Leases = scanLeases();
  if (!Leases.ok())
    return Leases.status();
  if (const auto Predecessor = findPredecessor(*Leases))
    return resumeLease(Predecessor->first, Predecessor->second, Now);
  return openNewLease(Now);
}

std::optional<std::pair<std::string, share_keeper::stored_lease>>
share_keeper::findPredecessor(const lease_map &Leases) const {
  if (!Options.BoundExclusively)
    return std::nullopt;
  for (const auto &[Id, Lease] : Leases) {
    const lease_row &Row = Lease.Row;
    if (!Row.Closed && Row.Instance == Options.Instance &&
        Row.BootId == Options.BootId && Row.Address == Options.Address)
      return std::pair(Id, Lease);
  }
  return std::nullopt;
}

absl::Status share_keeper::resumeLease(const std::string &Lease,
                                       const stored_lease &Before,
                                       instant Now) {
  const lease_row Row = ownRow(Now.Wall + Options.LeaseTerm);
  const std::string Key = leaseKey(Lease);
  // If the reply is lost, the next scan finds the lease again as a
  // predecessor's.
  absl::Status Status = Table.Commit({platform::condition{Key, Before.Version}},
                                     {platform::write{Key, encode(Row)}});
  if (!Status.ok())
    return Status;
  LeaseId = Lease;
  UsableFrom = Now.Boot + Before.Row.LoanTerm;
  return readBack(Row.Expires, Now);
}

absl::Status share_keeper::openNewLease(instant Now) {
  const lease_row Row = ownRow(Now.Wall + Options.LeaseTerm);
  LeaseId =
      absl::StrCat(Options.Instance, "-", common::randomHex(RandomNameBytes));
  const std::string Key = leaseKey(LeaseId);
  absl::Status Status = Table.Commit({platform::condition{Key, 0}},
                                     {platform::write{Key, encode(Row)}});
  if (!Status.ok() && !absl::IsUnknown(Status)) {
    LeaseId.clear();
    return Status;
  }
  return readBack(Row.Expires, Now);
}

absl::Status share_keeper::renewLease(instant Now) {
  const std::string Key = leaseKey(LeaseId);
  if (LeaseUncertain) {
    if (absl::Status Status = readBack({}, Now); !Status.ok())
      return Status;
  }
  const lease_row Row = ownRow(Now.Wall + Options.LeaseTerm);
  absl::Status Status = Table.Commit({platform::condition{Key, LeaseVersion}},
                                     {platform::write{Key, encode(Row)}});
  LeaseUncertain = true;
  if (absl::IsUnavailable(Status)) {
    LeaseUncertain = false;
    return Status;
  }
  if (Status.ok())
    Hooks.LeaseChanged(leaseFrom(Now));
  return readBack(Row.Expires, Now);
}

absl::Status share_keeper::readBack(common::wall_time Written, instant Sent) {
  const absl::StatusOr<platform::row> Read = Table.Get(leaseKey(LeaseId));
  if (!Read.ok()) {
    LeaseUncertain = true;
    return Read.status();
  }
  const absl::StatusOr<lease_row> Row = decodeLease(Read->Value);
  if (Read->Version == 0 || !Row.ok() || Row->Closed ||
      Row->Process != Options.Process) {
    onLeaseLost(Sent);
    return absl::AbortedError("the lease row is missing, malformed, closed or "
                              "held by another process");
  }
  LeaseVersion = Read->Version;
  LeaseUncertain = false;
  // Only the write sent at Sent extends the lease from then; the row may hold
  // an older write that took effect late.
  if (Row->Expires != Written)
    return absl::OkStatus();
  NextRenewal = Sent.Boot + Options.RenewPeriod;
  Hooks.LeaseChanged(leaseFrom(Sent));
  return absl::OkStatus();
}

void share_keeper::onLeaseLost(instant Now) {
  Hooks.LeaseChanged({});
  LeaseId.clear();
  LeaseVersion = 0;
  LeaseUncertain = false;
  NextRenewal = common::boot_time::min();
  NextRefresh = common::boot_time::min();
  UsableFrom = common::boot_time();
  Handovers.clear();
  publish({}, Now);
}

absl::Status share_keeper::release(instant Now) {
  if (Released || LeaseId.empty()) {
    Released = true;
    return absl::OkStatus();
  }
  Hooks.LeaseChanged({});
  if (LeaseUncertain)
    if (absl::Status Status = readBack({}, Now); !Status.ok())
      return Released ? absl::OkStatus() : Status;
  // Without loans the row closes the lease with a zero expiry: its shares are
  // then free at once, and no clocks are compared.
  const duration Loans =
      std::max(Hooks.TimeUntilLoansEnd(Now), UsableFrom - Now.Boot);
  lease_row Row =
      ownRow(Loans > duration::zero() ? Now.Wall + Loans : common::wall_time());
  Row.Closed = true;
  const std::string Key = leaseKey(LeaseId);
  absl::Status Status = Table.Commit({platform::condition{Key, LeaseVersion}},
                                     {platform::write{Key, encode(Row)}});
  LeaseUncertain = !Status.ok();
  Released = Status.ok();
  return Status;
}

lease_row share_keeper::ownRow(common::wall_time Expires) const {
  lease_row Row;
  Row.Instance = Options.Instance;
  Row.FailureDomain = Options.FailureDomain;
  Row.Address = Options.Address;
  Row.BootId = Options.BootId;
  Row.Process = Options.Process;
  Row.Expires = Expires;
  Row.LoanTerm = Options.LoanTerm;
  return Row;
}

expiry share_keeper::leaseFrom(instant Sent) const {
  const auto Margin = duration(static_cast<duration::rep>(
      static_cast<double>(Options.LeaseTerm.count()) * Options.ClockDrift));
  return {Sent.Boot + Options.LeaseTerm - Margin,
          Sent.Wall + Options.LeaseTerm};
}

absl::Status closeLeases(const platform::table_service &Table,
                         std::string_view Instance, common::wall_time Now) {
  const auto Rows = Table.Scan(LeasePrefix);
  if (!Rows.ok())
    return Rows.status();
  for (const platform::row &Row : *Rows) {
    absl::StatusOr<lease_row> Lease = decodeLease(Row.Value);
    if (!Lease.ok() || Lease->Instance != Instance || Lease->Closed)
      continue;
    Lease->Closed = true;
    Lease->Expires = std::min(Lease->Expires, Now + Lease->LoanTerm);
    absl::Status Status =
        Table.Commit({platform::condition{Row.Key, Row.Version}},
                     {platform::write{Row.Key, encode(*Lease)}});
    if (!Status.ok())
      return Status;
  }
  return absl::OkStatus();
}

} // namespace magnolia::quota

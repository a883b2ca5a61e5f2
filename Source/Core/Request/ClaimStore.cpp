#include "Request/ClaimStore.h"

#include <algorithm>
#include <array>
#include <utility>

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "Common/Digest.h"

namespace magnolia::request {

using common::error_kind;
using common::execution;
using common::wall_time;

namespace {

constexpr size_t ClaimIdBytes = 16;

/// Maximum commits of one batch before the remaining claims are refused.
constexpr int CommitRounds = 4;

/// Maximum row updates written by one flush, so that new claims do not wait
/// long.
constexpr size_t UpdatesPerFlush = 64;

} // namespace

claim_store::claim_store(const claim_settings &Settings,
                         platform::table_service Table)
    : Settings(Settings), Table(std::move(Table)) {}

void claim_store::submit(const idempotency_scope &Scope,
                         std::string Fingerprint, wall_time Until,
                         callback Done) {
  pending_claim Pending;
  Pending.Claim.RowKey = claimRowKey(Scope);
  claim_record &Record = Pending.Claim.Record;
  Record.ClaimId = common::randomHex(ClaimIdBytes);
  Record.Instance = Settings.Instance;
  Record.Fingerprint = std::move(Fingerprint);
  Record.Until = Until;
  Record.Expires = Until + Settings.KeepTime;
  Pending.Done = std::move(Done);
  {
    const absl::MutexLock Lock(&Mutex);
    if (Claims.size() < Settings.QueueLimit) {
      Claims.push_back(std::move(Pending));
      Changed.SignalAll();
      return;
    }
  }
  refuse(Pending, error_kind::IdempotencyUnavailable, Until);
}

void claim_store::finish(const claim &Claim, execution Execution,
                         int HttpStatus) {
  row_update Update{Claim, Claim.Record,
                    Claim.Record.Until + Settings.UpdateTimeout};
  if (Execution == execution::NotRun) {
    Update.Record.reset();
  } else {
    const bool Ran = Execution == execution::Ran;
    Update.Record->State = Ran ? claim_state::Completed : claim_state::Unknown;
    Update.Record->HttpStatus = HttpStatus;
  }
  const absl::MutexLock Lock(&Mutex);
  Updates.push_back(std::move(Update));
  Changed.SignalAll();
}

bool claim_store::flush(wall_time Now) {
  pending_claims Taken = takeClaims(Now);
  const bool HadClaims = !Taken.empty();
  commitClaims(std::move(Taken), Now);
  const bool HadUpdates = flushUpdates(Now);
  return HadClaims || HadUpdates;
}

claim_store::pending_claims claim_store::takeClaims(wall_time Now) {
  pending_claims Taken;
  pending_claims Late;
  {
    const absl::MutexLock Lock(&Mutex);
    absl::flat_hash_set<std::string> Keys;
    std::deque<pending_claim> Kept;
    while (!Claims.empty() && Taken.size() < Settings.BatchLimit) {
      pending_claim Next = std::move(Claims.front());
      Claims.pop_front();
      if (Next.Claim.Record.Until <= Now)
        Late.push_back(std::move(Next));
      else if (Keys.insert(Next.Claim.RowKey).second)
        Taken.push_back(std::move(Next));
      else // A later flush finds the row of the first claim of this key.
        Kept.push_back(std::move(Next));
    }
    std::move(Kept.rbegin(), Kept.rend(), std::front_inserter(Claims));
  }
  for (const pending_claim &Pending : Late)
    refuse(Pending, error_kind::IdempotencyUnavailable, Now);
  return Taken;
}

absl::Status claim_store::tryCommit(const pending_claims &Pending) const {
  std::vector<platform::condition> Conditions;
  std::vector<platform::write> Writes;
  for (const pending_claim &One : Pending) {
    Conditions.push_back({One.Claim.RowKey, One.Expected});
    Writes.push_back({One.Claim.RowKey, encodeClaim(One.Claim.Record)});
  }
  return Table.Commit(Conditions, Writes);
}

std::chrono::milliseconds claim_store::claimLife() const {
  return Settings.LongestRequest + Settings.KeepTime + 2 * Settings.ClockSkew;
}

absl::StatusOr<claim_coverage> claim_store::updateCoverage(wall_time Now) {
  auto Read = readCoverage(Table, Now, claimLife());
  if (!Read.ok())
    return Read.status();
  const claim_coverage Before = std::exchange(Coverage, *Read);
  const bool Changed = Before.Era != Coverage.Era ||
                       Before.isComplete() != Coverage.isComplete();
  if (Changed && Settings.CoverageChanged)
    Settings.CoverageChanged(Coverage);
  return Before;
}

void claim_store::commitClaims(pending_claims Pending, wall_time Now) {
  for (int Round = 0; Round < CommitRounds && !Pending.empty(); ++Round) {
    const absl::Status Status =
        Coverage.isComplete()
            ? tryCommit(Pending)
            : absl::AbortedError("the table may lack earlier claims");
    if (absl::IsUnavailable(Status))
      break;
    if (!absl::IsAborted(Status))
      for (pending_claim &One : Pending)
        One.InDoubt = true;
    // A commit does not say in which era it took effect. It was the known one
    // if the table is still in it afterwards.
    const auto Before = updateCoverage(Now);
    if (!Before.ok())
      break;
    if (Status.ok() && Coverage.isComplete() && Before->Era == Coverage.Era) {
      for (const pending_claim &One : Pending)
        grant(One, Now);
      return;
    }
    Pending = resolve(std::move(Pending), Now);
  }
  for (const pending_claim &One : Pending)
    refuse(One, error_kind::IdempotencyUnavailable, Now);
}

claim_store::pending_claims claim_store::resolve(pending_claims Pending,
                                                 wall_time Now) {
  pending_claims Remaining;
  for (pending_claim &One : Pending)
    if (!resolveOne(One, Now))
      Remaining.push_back(std::move(One));
  return Remaining;
}

bool claim_store::resolveOne(pending_claim &Pending, wall_time Now) {
  const auto Row = Table.Get(Pending.Claim.RowKey);
  if (!Row.ok() || Row->Era != Coverage.Era) {
    refuse(Pending, error_kind::IdempotencyUnavailable, Now);
    return true;
  }
  Pending.Expected = Row->Version;
  const auto Existing = decodeClaim(Row->Value);
  if (Row->Version != 0 && !Existing) {
    refuse(Pending, error_kind::IdempotencyUnavailable, Now);
    return true;
  }
  const bool IsOwn =
      Existing && Existing->ClaimId == Pending.Claim.Record.ClaimId;
  if (Existing && !IsOwn) {
    const auto Kind = refusalForRepeat(
        *Existing, Pending.Claim.Record.Fingerprint, Now, Settings.ClockSkew);
    if (Kind) {
      refuse(Pending, *Kind, Now, Existing->HttpStatus);
      return true;
    }
  }
  if (!Coverage.isComplete()) {
    refuse(Pending, error_kind::IdempotencyUnknown, Now);
    return true;
  }
  if (IsOwn)
    grant(Pending, Now);
  return IsOwn;
}

void claim_store::grant(const pending_claim &Pending, wall_time Now) {
  claim_result Decision;
  Decision.Claim = Pending.Claim;
  Decision.Claim.Era = Coverage.Era;
  if (!Pending.Done(Decision))
    release(Pending.Claim, Now, false);
}

void claim_store::refuse(const pending_claim &Pending, error_kind Kind,
                         wall_time Now, int EarlierStatus) {
  claim_result Decision;
  Decision.Refusal = Kind;
  Decision.EarlierStatus = EarlierStatus;
  Pending.Done(Decision);
  if (Pending.InDoubt)
    release(Pending.Claim, Now, true);
}

void claim_store::release(const claim &Claim, wall_time Now,
                          bool RowMayAppear) {
  const absl::MutexLock Lock(&Mutex);
  Updates.push_back(
      {Claim, std::nullopt, Now + Settings.UpdateTimeout, RowMayAppear});
  Changed.SignalAll();
}

std::deque<claim_store::row_update> claim_store::takeUpdates() {
  const absl::MutexLock Lock(&Mutex);
  const size_t Count = std::min(UpdatesPerFlush, Updates.size());
  const auto Middle = Updates.begin() + static_cast<ptrdiff_t>(Count);
  std::deque<row_update> Taken(std::make_move_iterator(Updates.begin()),
                               std::make_move_iterator(Middle));
  Updates.erase(Updates.begin(), Middle);
  return Taken;
}

bool claim_store::flushUpdates(wall_time Now) {
  std::deque<row_update> Taken = takeUpdates();
  const size_t Count = Taken.size();
  std::deque<row_update> Remaining;
  std::vector<prepared_update> Prepared;
  for (row_update &Update : Taken) {
    auto Result = prepare(Update);
    if (!Result.ok())
      Remaining.push_back(std::move(Update));
    else if (*Result)
      Prepared.push_back(**std::move(Result));
  }
  std::deque<row_update> Unwritten = writeUpdates(Prepared);
  std::move(Unwritten.begin(), Unwritten.end(), std::back_inserter(Remaining));
  std::erase_if(Remaining, [Now](const row_update &Update) {
    return Now >= Update.GiveUpAt;
  });
  const bool Progress = Remaining.size() < Count;
  const absl::MutexLock Lock(&Mutex);
  std::move(Remaining.begin(), Remaining.end(), std::back_inserter(Updates));
  return Progress;
}

absl::StatusOr<std::optional<claim_store::prepared_update>>
claim_store::prepare(const row_update &Update) const {
  const auto Row = Table.Get(Update.Claim.RowKey);
  if (!Row.ok())
    return Row.status();
  if (Row->Version == 0 && Update.RowMayAppear)
    return absl::NotFoundError("the row may still appear");
  // A result whose claim the table has lost is written as a new row.
  const bool IsLost =
      Row->Version == 0 && Row->Era != Update.Claim.Era && Update.Record;
  const auto Existing = decodeClaim(Row->Value);
  const bool IsOwn =
      Existing && Existing->ClaimId == Update.Claim.Record.ClaimId;
  if (!IsOwn && !IsLost)
    return std::nullopt;
  platform::write Write{Update.Claim.RowKey, std::nullopt};
  if (Update.Record)
    Write.Value = encodeClaim(*Update.Record);
  // The condition on the version protects a later claim of another request from
  // a delayed write.
  return prepared_update{
      Update, {Update.Claim.RowKey, Row->Version}, std::move(Write)};
}

std::deque<claim_store::row_update>
claim_store::writeUpdates(absl::Span<const prepared_update> Prepared) const {
  std::vector<platform::condition> Conditions;
  std::vector<platform::write> Writes;
  for (const prepared_update &One : Prepared) {
    Conditions.push_back(One.Condition);
    Writes.push_back(One.Write);
  }
  if (Prepared.empty() || Table.Commit(Conditions, Writes).ok())
    return {};
  // A single changed row fails the whole batch, so each row is committed alone.
  std::deque<row_update> Unwritten;
  for (const prepared_update &One : Prepared)
    if (Prepared.size() == 1 ||
        !Table.Commit({&One.Condition, 1}, {&One.Write, 1}).ok())
      Unwritten.push_back(One.Update);
  return Unwritten;
}

void claim_store::awaitWork(std::chrono::milliseconds Limit) {
  const absl::Time Deadline = absl::Now() + absl::FromChrono(Limit);
  const absl::MutexLock Lock(&Mutex);
  while (Claims.empty())
    if (Changed.WaitWithDeadline(&Mutex, Deadline) || !Updates.empty())
      return;
}

absl::StatusOr<size_t> claim_store::removeExpired(uint8_t Part, wall_time Now) {
  if (const auto Read = readCoverage(Table, Now, claimLife()); !Read.ok())
    return Read.status();
  constexpr std::string_view Digits = "0123456789abcdef";
  const std::array<char, 2> Suffix = {Digits.at(Part / Digits.size()),
                                      Digits.at(Part % Digits.size())};
  const std::string Prefix =
      std::string(ClaimRowPrefix) + std::string(Suffix.data(), Suffix.size());
  const auto Rows = Table.Scan(Prefix);
  if (!Rows.ok())
    return Rows.status();
  size_t Removed = 0;
  for (const platform::row &Row : *Rows) {
    const auto Record = decodeClaim(Row.Value);
    if (!Record || Now <= Record->Expires + Settings.ClockSkew)
      continue;
    const platform::condition Condition{Row.Key, Row.Version};
    const platform::write Write{Row.Key, std::nullopt};
    if (Table.Commit({&Condition, 1}, {&Write, 1}).ok())
      ++Removed;
  }
  return Removed;
}

size_t claim_store::waiting() const {
  const absl::MutexLock Lock(&Mutex);
  return Claims.size() + Updates.size();
}

} // namespace magnolia::request

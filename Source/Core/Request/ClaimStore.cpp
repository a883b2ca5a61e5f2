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

/// Commits of one group until the rest is refused.
constexpr int CommitRounds = 4;

/// Endings written by one flush, so that new claims do not wait long.
constexpr size_t EndingsPerFlush = 64;

} // namespace

claim_store::claim_store(const claim_settings &Settings,
                         platform::table_service Table)
    : Settings(Settings), Table(std::move(Table)) {}

void claim_store::submit(const idempotency_scope &Scope,
                         std::string Fingerprint, wall_time Until,
                         callback Done) {
  pending Pending;
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
  ending Ending{Claim, Claim.Record,
                Claim.Record.Until + Settings.AbandonedWatch};
  if (Execution == execution::NotRun) {
    Ending.Record.reset();
  } else {
    const bool Ran = Execution == execution::Ran;
    Ending.Record->State = Ran ? claim_state::Completed : claim_state::Unknown;
    Ending.Record->HttpStatus = HttpStatus;
  }
  const absl::MutexLock Lock(&Mutex);
  Endings.push_back(std::move(Ending));
  Changed.SignalAll();
}

bool claim_store::flush(wall_time Now) {
  pendings Taken = takeClaims(Now);
  const bool HadClaims = !Taken.empty();
  commitClaims(std::move(Taken), Now);
  const bool HadEndings = flushEndings(Now);
  return HadClaims || HadEndings;
}

claim_store::pendings claim_store::takeClaims(wall_time Now) {
  pendings Taken;
  pendings Late;
  {
    const absl::MutexLock Lock(&Mutex);
    absl::flat_hash_set<std::string> Keys;
    std::deque<pending> Kept;
    while (!Claims.empty() && Taken.size() < Settings.BatchLimit) {
      pending Next = std::move(Claims.front());
      Claims.pop_front();
      if (Next.Claim.Record.Until <= Now)
        Late.push_back(std::move(Next));
      else if (Keys.insert(Next.Claim.RowKey).second)
        Taken.push_back(std::move(Next));
      else
        Kept.push_back(std::move(Next)); // Finds the other's row next time.
    }
    std::move(Kept.rbegin(), Kept.rend(), std::front_inserter(Claims));
  }
  for (const pending &Pending : Late)
    refuse(Pending, error_kind::IdempotencyUnavailable, Now);
  return Taken;
}

absl::Status claim_store::tryCommit(const pendings &Pending) const {
  std::vector<platform::condition> Conditions;
  std::vector<platform::write> Writes;
  for (const pending &One : Pending) {
    Conditions.push_back({One.Claim.RowKey, One.Expected});
    Writes.push_back({One.Claim.RowKey, encodeClaim(One.Claim.Record)});
  }
  return Table.Commit(Conditions, Writes);
}

void claim_store::commitClaims(pendings Pending, wall_time Now) {
  for (int Round = 0; Round < CommitRounds && !Pending.empty(); ++Round) {
    const absl::Status Status = tryCommit(Pending);
    if (Status.ok()) {
      for (const pending &One : Pending)
        grant(One, Now);
      return;
    }
    if (absl::IsUnavailable(Status))
      break;
    if (!absl::IsAborted(Status))
      for (pending &One : Pending)
        One.InDoubt = true;
    Pending = resolve(std::move(Pending), Now);
  }
  for (const pending &One : Pending)
    refuse(One, error_kind::IdempotencyUnavailable, Now);
}

claim_store::pendings claim_store::resolve(pendings Pending, wall_time Now) {
  pendings Open;
  for (pending &One : Pending)
    if (!resolveOne(One, Now))
      Open.push_back(std::move(One));
  return Open;
}

bool claim_store::resolveOne(pending &Pending, wall_time Now) {
  const auto Row = Table.Get(Pending.Claim.RowKey);
  if (!Row.ok()) {
    refuse(Pending, error_kind::IdempotencyUnavailable, Now);
    return true;
  }
  Pending.Expected = Row->Version;
  if (Row->Version == 0)
    return false;
  const auto Existing = decodeClaim(Row->Value);
  if (!Existing) {
    refuse(Pending, error_kind::IdempotencyUnavailable, Now);
    return true;
  }
  if (Existing->ClaimId == Pending.Claim.Record.ClaimId) {
    grant(Pending, Now);
    return true;
  }
  const auto Kind = judgeRepeat(*Existing, Pending.Claim.Record.Fingerprint,
                                Now, Settings.ClockSkew);
  if (!Kind)
    return false;
  refuse(Pending, *Kind, Now, Existing->HttpStatus);
  return true;
}

void claim_store::grant(const pending &Pending, wall_time Now) {
  claim_result Answer;
  Answer.Claim = Pending.Claim;
  if (!Pending.Done(Answer))
    release(Pending.Claim, Now, false);
}

void claim_store::refuse(const pending &Pending, error_kind Kind, wall_time Now,
                         int EarlierStatus) {
  claim_result Answer;
  Answer.Refusal = Kind;
  Answer.EarlierStatus = EarlierStatus;
  Pending.Done(Answer);
  if (Pending.InDoubt)
    release(Pending.Claim, Now, true);
}

void claim_store::release(const claim &Claim, wall_time Now, bool MayAppear) {
  const absl::MutexLock Lock(&Mutex);
  Endings.push_back(
      {Claim, std::nullopt, Now + Settings.AbandonedWatch, MayAppear});
  Changed.SignalAll();
}

std::deque<claim_store::ending> claim_store::takeEndings() {
  const absl::MutexLock Lock(&Mutex);
  const size_t Count = std::min(EndingsPerFlush, Endings.size());
  const auto Middle = Endings.begin() + static_cast<ptrdiff_t>(Count);
  std::deque<ending> Taken(std::make_move_iterator(Endings.begin()),
                           std::make_move_iterator(Middle));
  Endings.erase(Endings.begin(), Middle);
  return Taken;
}

bool claim_store::flushEndings(wall_time Now) {
  std::deque<ending> Taken = takeEndings();
  const size_t Count = Taken.size();
  std::deque<ending> Open;
  std::vector<prepared> Prepared;
  for (ending &Ending : Taken) {
    auto Result = prepare(Ending);
    if (!Result.ok())
      Open.push_back(std::move(Ending));
    else if (*Result)
      Prepared.push_back(**std::move(Result));
  }
  std::deque<ending> Unwritten = writeEndings(Prepared);
  std::move(Unwritten.begin(), Unwritten.end(), std::back_inserter(Open));
  std::erase_if(Open,
                [Now](const ending &Ending) { return Now >= Ending.GiveUp; });
  const bool Progress = Open.size() < Count;
  const absl::MutexLock Lock(&Mutex);
  std::move(Open.begin(), Open.end(), std::back_inserter(Endings));
  return Progress;
}

absl::StatusOr<std::optional<claim_store::prepared>>
claim_store::prepare(const ending &Ending) const {
  const auto Row = Table.Get(Ending.Claim.RowKey);
  if (!Row.ok())
    return Row.status();
  if (Row->Version == 0 && Ending.MayAppear)
    return absl::NotFoundError("the row may still appear");
  if (Row->Version == 0)
    return std::nullopt;
  const auto Existing = decodeClaim(Row->Value);
  if (!Existing || Existing->ClaimId != Ending.Claim.Record.ClaimId)
    return std::nullopt;
  platform::write Write{Ending.Claim.RowKey, std::nullopt};
  if (Ending.Record)
    Write.Value = encodeClaim(*Ending.Record);
  // The version keeps another's later claim safe from a late write.
  return prepared{
      Ending, {Ending.Claim.RowKey, Row->Version}, std::move(Write)};
}

std::deque<claim_store::ending>
claim_store::writeEndings(absl::Span<const prepared> Prepared) const {
  std::vector<platform::condition> Conditions;
  std::vector<platform::write> Writes;
  for (const prepared &One : Prepared) {
    Conditions.push_back(One.Condition);
    Writes.push_back(One.Write);
  }
  if (Prepared.empty() || Table.Commit(Conditions, Writes).ok())
    return {};
  // One row that has changed fails the group, so each goes alone.
  std::deque<ending> Unwritten;
  for (const prepared &One : Prepared)
    if (Prepared.size() == 1 ||
        !Table.Commit({&One.Condition, 1}, {&One.Write, 1}).ok())
      Unwritten.push_back(One.Ending);
  return Unwritten;
}

void claim_store::awaitWork(std::chrono::milliseconds Limit) {
  const absl::Time Deadline = absl::Now() + absl::FromChrono(Limit);
  const absl::MutexLock Lock(&Mutex);
  while (Claims.empty())
    if (Changed.WaitWithDeadline(&Mutex, Deadline) || !Endings.empty())
      return;
}

absl::StatusOr<size_t> claim_store::removeExpired(uint8_t Part, wall_time Now) {
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
  return Claims.size() + Endings.size();
}

} // namespace magnolia::request

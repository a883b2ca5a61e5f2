#include "Magnoliad/ClaimAgent.h"

#include <memory>
#include <optional>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "Common/ErrorKind.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;

constexpr std::chrono::milliseconds WorkWait{50};

/// How long a stopping instance tries to write what it knows of its claims.
constexpr std::chrono::seconds LastWrites{3};

/// The ledger's answer to one request that waits for it.
class answer_slot {
public:
  /// False when the waiter has left.
  bool set(const request::claim_result &Answer) {
    const absl::MutexLock Lock(&Mutex);
    if (Left)
      return false;
    Value = Answer;
    return true;
  }

  /// The answer, absent if none came by \p Deadline; none is taken later.
  std::optional<request::claim_result> await(boot_time Deadline) {
    const absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(this, &answer_slot::isSet),
                           absl::FromChrono(Deadline - boot_clock::now()));
    Left = !Value;
    return Value;
  }

private:
  bool isSet() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Value.has_value();
  }

  absl::Mutex Mutex;
  std::optional<request::claim_result> Value ABSL_GUARDED_BY(Mutex);
  bool Left ABSL_GUARDED_BY(Mutex) = false;
};

absl::Status refusalOf(const request::claim_result &Answer) {
  switch (*Answer.Refusal) {
  case error_kind::IdempotencyCompleted:
    return common::makeError(
        *Answer.Refusal,
        absl::StrCat("the request with this key has run, its answer was ",
                     Answer.EarlierStatus));
  case error_kind::IdempotencyInProgress:
    return common::makeError(*Answer.Refusal,
                             "a request with this key may be running");
  case error_kind::IdempotencyUnknown:
    return common::makeError(
        *Answer.Refusal,
        "nobody knows whether the request with this key has run");
  case error_kind::IdempotencyUnavailable:
    return common::makeError(*Answer.Refusal,
                             "the key cannot be checked at present");
  default:
    return common::makeError(*Answer.Refusal,
                             "the key belongs to another request");
  }
}

} // namespace

claim_agent::claim_agent(const std::string &Instance,
                         platform::table_service Table)
    : Ledger({.Instance = Instance}, std::move(Table)),
      Thread([this] { run(); }) {}

claim_agent::~claim_agent() {
  Stopping = true;
  Thread.join();
}

void claim_agent::run() {
  while (!Stopping) {
    Ledger.awaitWork(WorkWait);
    Ledger.flush(common::wallNow());
  }
  const boot_time Limit = boot_clock::now() + LastWrites;
  while (Ledger.flush(common::wallNow()) && boot_clock::now() < Limit) {
  }
}

absl::StatusOr<request::claim>
claim_agent::claim(const request::idempotency_scope &Scope,
                   const std::string &Fingerprint, boot_time Deadline) {
  const auto Slot = std::make_shared<answer_slot>();
  const auto Left = Deadline - boot_clock::now();
  Ledger.submit(Scope, Fingerprint, common::wallNow() + Left,
                [Slot](const request::claim_result &Answer) {
                  return Slot->set(Answer);
                });
  const auto Answer = Slot->await(Deadline);
  if (!Answer)
    return common::makeError(error_kind::IdempotencyUnavailable,
                             "the key could not be checked in time");
  if (Answer->Refusal)
    return refusalOf(*Answer);
  return Answer->Claim;
}

void claim_agent::removeExpired() {
  // What could not be removed is met again on the next round.
  Ledger.removeExpired(NextPart++, common::wallNow()).IgnoreError();
}

} // namespace magnolia::daemon

#include "Magnoliad/ClaimAgent.h"

#include <memory>
#include <optional>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "Common/ErrorKind.h"
#include "Common/Log.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;

constexpr std::chrono::milliseconds WorkPollInterval{50};

/// How long a stopping instance tries to write the outcomes of its claims.
constexpr std::chrono::seconds FinalFlushTimeout{3};

/// Result of a claim for the thread that waits for it.
class pending_result {
public:
  /// Returns false if the waiting thread has timed out.
  bool set(const request::claim_result &Outcome) {
    const absl::MutexLock Lock(&Mutex);
    if (Abandoned)
      return false;
    Value = Outcome;
    return true;
  }

  /// Blocks until \p Deadline; absent if there is no result by then, and a
  /// later one is rejected.
  std::optional<request::claim_result> await(boot_time Deadline) {
    const absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(this, &pending_result::isSet),
                           absl::FromChrono(Deadline - boot_clock::now()));
    Abandoned = !Value;
    return Value;
  }

private:
  bool isSet() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Value.has_value();
  }

  absl::Mutex Mutex;
  std::optional<request::claim_result> Value ABSL_GUARDED_BY(Mutex);
  bool Abandoned ABSL_GUARDED_BY(Mutex) = false;
};

void logCoverage(const request::claim_coverage &Coverage) {
  if (Coverage.isComplete()) {
    common::log(common::log_level::Info, "Claims", "keys are claimed again",
                {{"era", Coverage.Era}});
    return;
  }
  common::log(common::log_level::Warning, "Claims",
              "the table was restored and may lack claims; keys without a row "
              "are refused",
              {{"era", Coverage.Era},
               {"until_us", common::toUnixMicros(*Coverage.MissingUntil)}});
}

absl::Status errorOf(const request::claim_result &Outcome) {
  switch (*Outcome.Refusal) {
  case error_kind::IdempotencyCompleted:
    return common::makeError(
        *Outcome.Refusal,
        absl::StrCat("the request with this key has run, its answer was ",
                     Outcome.EarlierStatus));
  case error_kind::IdempotencyInProgress:
    return common::makeError(*Outcome.Refusal,
                             "a request with this key may be running");
  case error_kind::IdempotencyUnknown:
    return common::makeError(
        *Outcome.Refusal,
        "nobody knows whether the request with this key has run");
  case error_kind::IdempotencyUnavailable:
    return common::makeError(*Outcome.Refusal,
                             "the key cannot be checked at present");
  default:
    return common::makeError(*Outcome.Refusal,
                             "the key belongs to another request");
  }
}

} // namespace

claim_agent::claim_agent(const std::string &Instance,
                         platform::table_service Table)
    : Store({.Instance = Instance, .CoverageChanged = logCoverage},
            std::move(Table)),
      Thread([this] { run(); }) {}

claim_agent::~claim_agent() {
  Stopping = true;
  Thread.join();
}

void claim_agent::run() {
  while (!Stopping) {
    Store.awaitWork(WorkPollInterval);
    Store.flush(common::wallNow());
  }
  const boot_time Limit = boot_clock::now() + FinalFlushTimeout;
  while (Store.flush(common::wallNow()) && boot_clock::now() < Limit) {
  }
}

absl::StatusOr<request::claim>
claim_agent::claim(const request::idempotency_scope &Scope,
                   const std::string &Fingerprint, boot_time Deadline) {
  const auto Result = std::make_shared<pending_result>();
  const auto Remaining = Deadline - boot_clock::now();
  Store.submit(Scope, Fingerprint, common::wallNow() + Remaining,
               [Result](const request::claim_result &Outcome) {
                 return Result->set(Outcome);
               });
  const auto Outcome = Result->await(Deadline);
  if (!Outcome)
    return common::makeError(error_kind::IdempotencyUnavailable,
                             "the key could not be checked in time");
  if (Outcome->Refusal)
    return errorOf(*Outcome);
  return Outcome->Claim;
}

void claim_agent::removeExpired() {
  // Rows that could not be removed are found again in the next round.
  Store.removeExpired(NextPartition++, common::wallNow()).IgnoreError();
}

} // namespace magnolia::daemon

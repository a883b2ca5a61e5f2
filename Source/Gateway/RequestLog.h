#pragma once

#include <string_view>

#include "Gateway/Exchange.h"

/// Log lines that explain one request, one for each decision.
namespace magnolia::gateway {

/// An attempt and the state on which its target was chosen.
struct attempt_record {
  std::string_view Id;
  /// first, retry, after_refusal, unreachable, evacuated or second_send.
  std::string_view Reason;
  std::string_view Service;
  const placement::target &Target;
  bool KeptConnection = false;
  duration TimeLeft{0};
  boot_time Now;
  /// It is one of those that this instance prefers.
  bool Preferred = false;
  /// Requests at the target as told by itself and by the peers.
  double KnownRequests = 0;
};
void logAttemptStart(const attempt_record &Line);

/// A decision on one more attempt and what it was decided on.
struct extra_attempt_record {
  std::string_view Id;
  /// As in attempt_record.
  std::string_view Reason;
  std::string_view Service;
  fleet::budget_decision Decision;
};
void logExtraAttempt(const extra_attempt_record &Line);

/// A request that got no turn at its service, and why.
struct turn_refused_record {
  std::string_view Id;
  std::string_view Service;
  absl::string_view Detail;
  const admission::turn_inputs &Inputs;
  duration TimeLeft{0};
};
void logTurnRefused(const turn_refused_record &Line);

/// A request that waits since its body finds no room at a target.
struct body_held_record {
  std::string_view Id;
  std::string_view Service;
  size_t Bytes = 0;
  /// Targets of the service that have no room for it.
  size_t Targets = 0;
  /// What a target may hold.
  size_t LimitBytes = 0;
  duration TimeLeft{0};
};
void logBodyHeld(const body_held_record &Line);

/// A response that was given up since its caller had not fetched it, and the
/// memory that others needed.
struct abandoned_record {
  std::string_view Id;
  const message::abandoned_response &Response;
  /// Connections of callers with such responses.
  size_t SlowCallers = 0;
  const admission::memory_shares &Memory;
};
void logAbandoned(const abandoned_record &Line);

/// Logs the evidence of an attempt, at its end or while it runs.
void logEvidence(std::string_view Id, const placement::target &Target,
                 placement::evidence Evidence, duration Age, boot_time Now);

/// Logs a connection to a target that ended before a complete response.
void logConnectionLost(const placement::lost_connection &Lost, boot_time Now);

/// Logs that a target ended while it ran a request. \p Ended: targets so far
/// that ended one after the other under requests that ask the same; \p
/// Quarantine: for how long these are not sent, if at all.
void logTargetEnded(const placement::lost_connection &Lost, size_t Ended,
                    duration Quarantine);

/// Logs that \p Target wants no requests of this instance for \p Pause.
void logTargetPause(std::string_view Id, const placement::target &Target,
                    duration Pause);

/// Who told this instance of the limit of a target.
enum class limit_source : uint8_t { Target, Peer };
/// Logs a changed limit in requests per second; none: the target has none.
void logTargetLimit(const placement::target &Target,
                    std::optional<double> PerSecond, limit_source Source);

/// Logs that \p Target is cold and takes \p PerSecond requests per second from
/// the whole fleet, or with zero that it has no such limit any more.
void logTargetCold(const placement::target &Target, double PerSecond,
                   boot_time Now);

/// Logs that \p Target tells a load that makes no sense, \p Text.
void logInvalidLoad(std::string_view Id, const placement::target &Target,
                    std::string_view Text);

/// Logs of which targets this instance has become the preferred user.
void logDivision(const placement::target_set::division &Division,
                 const placement::fleet_members &Members);

/// The outcome of a request.
struct outcome_record {
  std::string_view Id;
  /// "answered", or the kind of the refusal or failure.
  std::string_view Outcome;
  int Status = 0;
  std::string_view Detail;
  std::string_view Route;
  std::string_view Service;
  std::string_view Workspace;
  uint64_t ConfigurationVersion = 0;
  /// The era of the store from which that was read.
  uint64_t StoreEra = 0;
  size_t Sends = 0;
  duration Took{0};
};
void logRequestOutcome(const outcome_record &Line);

} // namespace magnolia::gateway

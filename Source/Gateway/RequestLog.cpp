#include "Gateway/RequestLog.h"

#include <absl/strings/str_cat.h>

#include "Common/Log.h"
#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

using common::log_level;

constexpr std::string_view Component = "Request";
constexpr int FirstServerError = 500;
constexpr double PerMille = 1000;

int64_t millis(duration Duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
      .count();
}

/// Three decimal places suffice to explain a decision.
double rounded(double Value) {
  return static_cast<double>(static_cast<int64_t>(Value * PerMille)) / PerMille;
}

} // namespace

void logAttemptStart(const attempt_record &Line) {
  const placement::target &Target = Line.Target;
  const auto LoadAge = Target.Load.age(Line.Now);
  common::log(log_level::Info, Component, "target chosen",
              {{"id", Line.Id},
               {"reason", Line.Reason},
               {"service", Line.Service},
               {"target", Target.Entry.Id},
               {"failure_domain", Target.Entry.FailureDomain},
               {"gray", rounded(Target.Fleet.probabilityAt(Line.Now))},
               {"path_risk", rounded(Target.Path.probabilityAt(Line.Now))},
               {"own_in_flight", Target.OwnInFlight},
               {"known_in_flight", rounded(Line.KnownRequests)},
               {"load_age_ms", LoadAge ? millis(*LoadAge) : -1},
               {"preferred", Line.Preferred ? 1 : 0},
               {"kept_connection", Line.KeptConnection ? 1 : 0},
               {"left_ms", millis(Line.TimeLeft)}});
}

void logExtraAttempt(const extra_attempt_record &Line) {
  const fleet::use_decision &Use = Line.Decision.Use;
  common::log(log_level::Info, Component,
              Use.Granted ? "extra attempt granted" : "extra attempt refused",
              {{"id", Line.Id},
               {"reason", Line.Reason},
               {"service", Line.Service},
               {"requests", Line.Decision.Requests},
               {"extra_attempts", Use.Used},
               {"bound", rounded(Use.Bound)},
               {"unreported", Use.Unreported},
               {"own_part", Use.OwnPart}});
}

void logTurnRefused(const turn_refused_record &Line) {
  const admission::turn_inputs &Inputs = Line.Inputs;
  common::log(log_level::Info, Component, "turn refused",
              {{"id", Line.Id},
               {"service", Line.Service},
               {"detail", common::toStd(Line.Detail)},
               {"rank", Inputs.Rank},
               {"short", Inputs.IsShort ? 1 : 0},
               {"slots", Inputs.Load.Slots},
               {"free_slots", Inputs.Load.FreeSlots},
               {"refused_fraction", rounded(Inputs.Load.refusedFraction())},
               {"admitted_per_second", rounded(Inputs.AdmittedPerSecond)},
               {"share", rounded(Inputs.Share)},
               {"ahead", Inputs.Ahead},
               {"expected_wait_ms", millis(Inputs.ExpectedWait)},
               {"left_ms", millis(Line.TimeLeft)}});
}

void logEvidence(std::string_view Id, const placement::target &Target,
                 placement::evidence Evidence, duration Age, boot_time Now) {
  const bool Good = Evidence == placement::evidence::Succeeded ||
                    Evidence == placement::evidence::Accepted;
  const log_level Level = Evidence == placement::evidence::Accepted
                              ? log_level::Debug
                              : (Good ? log_level::Info : log_level::Warning);
  common::log(Level, Component, "target showed",
              {{"id", Id},
               {"target", Target.Entry.Id},
               {"evidence", placement::nameOf(Evidence)},
               {"age_ms", millis(Age)},
               {"gray_after", rounded(Target.Fleet.probabilityAt(Now))},
               {"path_risk_after", rounded(Target.Path.probabilityAt(Now))}});
}

void logConnectionLost(const placement::lost_connection &Lost, boot_time Now) {
  common::log(log_level::Info, Component, "target connection lost",
              {{"id", Lost.RequestId},
               {"target", Lost.Target->Entry.Id},
               {"request", absl::StrCat(absl::Hex(Lost.Fingerprint))},
               {"sent_ms_ago", millis(Now - Lost.SentAt)},
               {"own_in_flight", Lost.Target->OwnInFlight}});
}

void logTargetEnded(const placement::lost_connection &Lost, size_t Ended,
                    duration Quarantine) {
  common::log(log_level::Warning, Component, "target ended under a request",
              {{"id", Lost.RequestId},
               {"target", Lost.Target->Entry.Id},
               {"request", absl::StrCat(absl::Hex(Lost.Fingerprint))},
               {"ended_targets", Ended},
               {"quarantine_ms", millis(Quarantine)}});
}

void logBodyHeld(const body_held_record &Line) {
  common::log(log_level::Info, Component, "body waits for room at a target",
              {{"id", Line.Id},
               {"service", Line.Service},
               {"bytes", Line.Bytes},
               {"targets", Line.Targets},
               {"limit_bytes", Line.LimitBytes},
               {"left_ms", millis(Line.TimeLeft)}});
}

void logAbandoned(const abandoned_record &Line) {
  common::log(log_level::Warning, Component, "response given up",
              {{"id", Line.Id},
               {"unsent_bytes", Line.Response.Unsent},
               {"age_ms", millis(Line.Response.Age)},
               {"slow_callers", Line.SlowCallers},
               {"unfetched_bytes", Line.Memory.unfetched()},
               {"used_bytes", Line.Memory.used()},
               {"limit_bytes", Line.Memory.limit()}});
}

void logTargetPause(std::string_view Id, const placement::target &Target,
                    duration Pause) {
  common::log(
      log_level::Info, Component, "target paused",
      {{"id", Id}, {"target", Target.Entry.Id}, {"pause_ms", millis(Pause)}});
}

void logTargetLimit(const placement::target &Target,
                    std::optional<double> PerSecond, limit_source Source) {
  common::log(log_level::Info, Component,
              PerSecond ? "target limit" : "target without limit",
              {{"target", Target.Entry.Id},
               {"per_second", PerSecond.value_or(0)},
               {"from", Source == limit_source::Target ? "target" : "peer"}});
}

void logTargetCold(const placement::target &Target, double PerSecond,
                   boot_time Now) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Target.limitedFor(Now));
  const bool Said =
      Target.SaidWarmFrom >
      Target.ReportedAt + placement::countedWarmup(Target.Entry.WarmupLeft);
  common::log(log_level::Info, Component,
              PerSecond > 0 ? "target cold" : "target warm",
              {{"target", Target.Entry.Id},
               {"service", Target.Entry.Service},
               {"per_second", PerSecond},
               {"left_ms", Left.count()},
               {"sequence", Target.Entry.Sequence},
               {"from", Said ? "response" : "entry"}});
}

void logInvalidLoad(std::string_view Id, const placement::target &Target,
                    std::string_view Text) {
  constexpr size_t MaxTextBytes = 40;
  common::log(log_level::Warning, Component, "target load not understood",
              {{"id", Id},
               {"target", Target.Entry.Id},
               {"said", Text.substr(0, MaxTextBytes)}});
}

void logDivision(const placement::target_set::division &Division,
                 const placement::fleet_members &Members) {
  common::log(log_level::Info, Component, "preferred targets",
              {{"service", Division.Service},
               {"preferred", Division.Preferred},
               {"targets_in_domain", Division.Targets},
               {"instances_in_domain", Members.InDomain.size()},
               {"instances", Members.Total}});
}

void logRequestOutcome(const outcome_record &Line) {
  const bool Good =
      Line.Outcome == "answered" && Line.Status < FirstServerError;
  common::log(Good ? log_level::Info : log_level::Warning, Component,
              Good ? "answered" : "request failed",
              {{"id", Line.Id},
               {"outcome", Line.Outcome},
               {"status", Line.Status},
               {"detail", Line.Detail},
               {"route", Line.Route},
               {"service", Line.Service},
               {"workspace", Line.Workspace},
               {"configuration", Line.ConfigurationVersion},
               {"store_era", Line.StoreEra},
               {"sends", Line.Sends},
               {"took_ms", millis(Line.Took)}});
}

} // namespace magnolia::gateway

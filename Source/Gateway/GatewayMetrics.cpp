#include <array>

#include "Common/Log.h"
#include "Gateway/Gateway.h"

namespace magnolia::gateway {
namespace {

using samples = std::vector<common::metric_sample>;

/// Gray probability above which a target counts as suspected: it is more likely
/// gray than not.
constexpr double SuspectedFrom = 0.5;

void add(samples &Samples, std::string_view Name, std::string_view Help,
         double Value) {
  Samples.push_back({Name, Help, {}, Value});
}

double secondsOf(duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

void gateway::addRequestSamples(samples &Samples) const {
  add(Samples, "magnolia_sends_total", "Requests sent to targets.",
      static_cast<double>(Counters.Sends));
  add(Samples, "magnolia_second_sends_total",
      "Sends beyond the first of a request.",
      static_cast<double>(Counters.ExtraAttempts));
  add(Samples, "magnolia_extra_attempts_refused_total",
      "Sends beyond the first of a request that the budget did not allow.",
      static_cast<double>(Counters.ExtraAttemptsRefused));
  add(Samples, "magnolia_requests_quarantined_total",
      "Requests that were not sent because targets end under them.",
      static_cast<double>(Counters.Quarantined));
  add(Samples, "magnolia_quarantines", "Requests that are quarantined.",
      static_cast<double>(Fleet->quarantine().quarantinedCount(Loop.now())));
  add(Samples, "magnolia_callers_gone_total",
      "Requests whose caller left before the answer.",
      static_cast<double>(Counters.CallersDisconnected));
  add(Samples, "magnolia_target_connections_total",
      "Connections opened to targets.",
      static_cast<double>(Counters.Connections));
  add(Samples, "magnolia_message_bytes",
      "Bytes that requests and responses hold.",
      static_cast<double>(Memory->used()));
  add(Samples, "magnolia_message_bytes_complete",
      "Bytes of those that are complete and wait for their receivers.",
      static_cast<double>(Memory->complete()));
  add(Samples, "magnolia_message_bytes_limit", "Bound of these bytes.",
      static_cast<double>(Memory->limit()));
  add(Samples, "magnolia_requests_refused_for_memory_total",
      "Requests refused since messages held nearly all of it.",
      static_cast<double>(Counters.RefusedForMemory));
  add(Samples, "magnolia_message_bytes_unfetched",
      "Bytes of responses that callers have not fetched.",
      static_cast<double>(Memory->unfetched()));
  add(Samples, "magnolia_responses_given_up_total",
      "Responses that callers did not fetch in time while others needed the "
      "memory.",
      static_cast<double>(Counters.AbandonedResponses));
  add(Samples, "magnolia_target_request_bytes_most",
      "Bytes of requests at the target that has most of them.",
      static_cast<double>(TargetBytes->most()));
  add(Samples, "magnolia_requests_held_for_target_bytes_total",
      "Requests that waited for room for their body at a target.",
      static_cast<double>(Counters.HeldForTargetBytes));
  add(Samples, "magnolia_requests_refused_for_target_bytes_total",
      "Requests refused since no target had room for their body.",
      static_cast<double>(Counters.RefusedForTargetBytes));
  add(Samples, "magnolia_requests_in_flight", "Requests without an answer.",
      static_cast<double>(CallerServer->pendingRequests()));
  add(Samples, "magnolia_caller_connections", "Connections of callers.",
      static_cast<double>(CallerServer->connections()));
  add(Samples, "magnolia_idle_target_connections",
      "Connections to targets that wait for a request.",
      static_cast<double>(Pool.idle()));
}

void gateway::addLoadSamples(samples &Samples) const {
  double Telling = 0;
  double AgeSeconds = 0;
  double Preferred = 0;
  TargetSet.forEach([&](const placement::target &Target) {
    Preferred += TargetSet.isPreferred(Target) ? 1 : 0;
    if (const auto Age = Target.Load.age(Loop.now())) {
      ++Telling;
      AgeSeconds += secondsOf(*Age);
    }
  });
  add(Samples, "magnolia_targets_telling_load",
      "Targets that told their load in their last response.", Telling);
  add(Samples, "magnolia_told_load_age_seconds",
      "Mean time since these targets told it.",
      Telling > 0 ? AgeSeconds / Telling : 0);
  add(Samples, "magnolia_preferred_targets",
      "Targets that this instance prefers.", Preferred);
  add(Samples, "magnolia_preferred_sends_total",
      "Requests sent to targets that this instance prefers.",
      static_cast<double>(Counters.PreferredSends));
  add(Samples, "magnolia_refused_by_targets_total",
      "Requests that targets refused to run.",
      static_cast<double>(Counters.RefusedByTargets));
}

void gateway::addTargetSamples(samples &Samples) const {
  double Healthy = 0;
  double Suspected = 0;
  double Draining = 0;
  double Evacuated = 0;
  TargetSet.forEach([&](const placement::target &Target) {
    if (Target.isDraining())
      ++Draining;
    else if (Target.Evacuated)
      ++Evacuated;
    else if (Target.Fleet.probabilityAt(Loop.now()) > SuspectedFrom)
      ++Suspected;
    else
      ++Healthy;
  });
  add(Samples, "magnolia_targets_hang",
      "Whether gray targets are believed to accept requests and not respond.",
      TargetSet.targetsHang() ? 1 : 0);
  add(Samples, "magnolia_invalid_target_entries",
      "Entries among the targets' that name no target.",
      static_cast<double>(InvalidEntries.size()));
  add(Samples, "magnolia_targets_limited",
      "Targets that name a limit of their requests.",
      static_cast<double>(Fleet->limits().limitedCount()));
  add(Samples, "magnolia_targets_cold",
      "Targets that take few requests since they are cold.",
      static_cast<double>(ColdTargets.size()));
  add(Samples, "magnolia_cold_sends_held_back_total",
      "Choices of a target that left out cold ones.",
      static_cast<double>(Counters.ColdHeldBack));
  constexpr std::string_view Name = "magnolia_targets";
  constexpr std::string_view Help = "Targets by state.";
  Samples.push_back({Name, Help, {{"state", "sound"}}, Healthy});
  Samples.push_back({Name, Help, {{"state", "suspected"}}, Suspected});
  Samples.push_back({Name, Help, {{"state", "leaving"}}, Draining});
  Samples.push_back({Name, Help, {{"state", "evacuated"}}, Evacuated});
  Evacuation.addSamples(Samples);
}

void gateway::addFleetSamples(samples &Samples) const {
  const fleet::peer_view &Peers = Fleet->peers();
  add(Samples, "magnolia_peers_known", "Other instances that are registered.",
      static_cast<double>(Peers.size()));
  add(Samples, "magnolia_peers_heard", "Other instances heard lately.",
      static_cast<double>(Peers.reachableCount(Loop.now())));
  add(Samples, "magnolia_rate_share",
      "Part of each workspace's rate that this instance may use.",
      Fleet->reachableFraction());
  add(Samples, "magnolia_reads_store",
      "Whether this instance reads the store for others.",
      Store->isReading() ? 1 : 0);
  add(Samples, "magnolia_strong_machine",
      "Whether it is on a strong machine among those of the fleet.",
      Store->onStrongMachine() ? 1 : 0);
  add(Samples, "magnolia_configuration_version",
      "Version of the configuration in force.",
      Routes ? static_cast<double>(Routes->version()) : 0);
  add(Samples, "magnolia_configuration_unreadable_values",
      "Values of the configuration in force that cannot be read.",
      Routes ? static_cast<double>(
                   Routes->configurationInForce().Unreadable.size())
             : 0);
  add(Samples, "magnolia_configuration_rejected",
      "Whether the last configuration from the store was rejected whole.",
      InvalidConfiguration ? 1 : 0);
  add(Samples, "magnolia_store_era",
      "How often the store was restored, as of the configuration in force.",
      static_cast<double>(storeEra()));
  add(Samples, "magnolia_configuration_age_seconds",
      "Time since the configuration in force was taken.",
      Routes ? secondsOf(Loop.now() - RoutesSince) : 0);
  add(Samples, "magnolia_log_lines_left_out_total",
      "Log lines beyond their bound.",
      static_cast<double>(common::droppedLogLines()));
  addPeerTraffic(Samples);
}

void gateway::addWaitingSamples(samples &Samples) const {
  add(Samples, "magnolia_requests_waiting",
      "Requests that wait for their turn at a service.",
      static_cast<double>(Queues.waiting()));
  const std::vector<rank_counters> &Ranks = Queues.counters();
  for (size_t Rank = 0; Rank < Ranks.size(); ++Rank)
    Samples.push_back({"magnolia_turns_refused_total",
                       "Requests that got no turn, by rank.",
                       {{"rank", std::to_string(Rank)}},
                       static_cast<double>(Ranks[Rank].Refused)});
  for (size_t Rank = 0; Rank < Ranks.size(); ++Rank) {
    uint64_t Total = 0;
    for (size_t Bucket = 0; Bucket < Ranks[Rank].Waited.size(); ++Bucket) {
      Total += Ranks[Rank].Waited.at(Bucket);
      Samples.push_back(
          {"magnolia_turn_wait_seconds_bucket_total",
           "Requests that got a turn after at most this time, by rank.",
           {{"rank", std::to_string(Rank)},
            {"le", Bucket < WaitBounds.size()
                       ? std::to_string(secondsOf(WaitBounds.at(Bucket)))
                       : "+Inf"}},
           static_cast<double>(Total)});
    }
  }
  for (const service_queues::short_service &Short : Queues.shortServices())
    Samples.push_back({"magnolia_service_admitted_per_second",
                       "Requests admitted over the fleet for a service that "
                       "is short of room.",
                       {{"service", Short.Name}},
                       Short.Admitted});
}

void gateway::addPeerTraffic(samples &Samples) const {
  const peer_traffic &Traffic = Fleet->traffic();
  constexpr std::array<std::string_view, fleet::AudienceCount> Receivers = {
      "same_domain", "other_domains"};
  for (size_t Index = 0; Index < Receivers.size(); ++Index) {
    const std::string To(Receivers.at(Index));
    const peer_traffic::sent &Sent = Traffic.Sent.at(Index);
    Samples.push_back({"magnolia_peer_messages_sent_total",
                       "Messages to other instances by failure domain.",
                       {{"to", To}},
                       static_cast<double>(Sent.Messages)});
    Samples.push_back({"magnolia_peer_bytes_sent_total",
                       "Bytes of messages to other instances.",
                       {{"to", To}},
                       static_cast<double>(Sent.Bytes)});
  }
  add(Samples, "magnolia_peer_introductions_sent_total",
      "Messages that introduce this instance.",
      static_cast<double>(Traffic.Introductions));
  add(Samples, "magnolia_peer_updates_total",
      "Updates for other failure domains.",
      static_cast<double>(Traffic.Updates));
  add(Samples, "magnolia_peer_rows_messages_total",
      "Messages with changed rows of the store.",
      static_cast<double>(Traffic.RowsMessages));
  add(Samples, "magnolia_peer_messages_received_total",
      "Messages from other instances.", static_cast<double>(Traffic.Received));
  add(Samples, "magnolia_peer_bytes_received_total",
      "Bytes of messages from other instances.",
      static_cast<double>(Traffic.ReceivedBytes));
  add(Samples, "magnolia_urgent_failures_delayed_total",
      "Failures of targets that waited for the next update.",
      static_cast<double>(Traffic.UrgentDelayed));
}

} // namespace magnolia::gateway

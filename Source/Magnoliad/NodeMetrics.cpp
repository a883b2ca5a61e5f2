#include "Magnoliad/NodeImpl.h"

/// Metrics of an instance other than those of requests.
namespace magnolia::daemon {
namespace {

using common::boot_clock;

using samples = std::vector<common::metric_sample>;

void addPeerSamples(const net::peer_counters &Counters, samples &Samples) {
  const auto AddMessages = [&](const char *State, uint64_t Count) {
    Samples.push_back({"magnolia_peer_messages_total",
                       "Messages to and from peers.",
                       {{"state", State}},
                       static_cast<double>(Count)});
  };
  AddMessages("sent", Counters.Sent);
  AddMessages("dropped", Counters.Dropped);
  AddMessages("received", Counters.Received);
  AddMessages("rejected", Counters.Rejected);
  const auto AddBytes = [&](const char *Direction, uint64_t Count) {
    Samples.push_back({"magnolia_peer_bytes_total",
                       "Bytes on the connections of peers, without TCP and IP.",
                       {{"direction", Direction}},
                       static_cast<double>(Count)});
  };
  AddBytes("sent", Counters.BytesSent);
  AddBytes("received", Counters.BytesReceived);
  Samples.push_back({"magnolia_peer_reconnects_total",
                     "Connections to peers that were lost or not made.",
                     {},
                     static_cast<double>(Counters.Reconnects)});
}

void addTargetSamples(const std::vector<target::target_status> &Targets,
                      samples &Samples) {
  for (const target::target_status &Target : Targets)
    Samples.push_back({"magnolia_target_standing",
                       "1 for the standing that a target has.",
                       {{"service", Target.Service},
                        {"target", Target.Target},
                        {"standing", std::string(nameOf(Target.Health))}},
                       1});
}

} // namespace

void node::impl::addConfigSamples(samples &Samples) {
  Samples.push_back({"magnolia_configuration_version",
                     "Version of the configuration in force.",
                     {},
                     static_cast<double>(Config->version())});
  Samples.push_back({"magnolia_configuration_fresh",
                     "Whether keyed requests are served.",
                     {},
                     Config->isFresh() ? 1.0 : 0.0});
  Samples.push_back({"magnolia_rate_slots_held",
                     "Slots of rate shares that this instance may use.",
                     {},
                     static_cast<double>(Rates->slotsHeld())});
  Samples.push_back({"magnolia_connections",
                     "Open connections of callers.",
                     {},
                     static_cast<double>(Callers->openConnections())});
}

void node::impl::addQueueSamples(samples &Samples) {
  const auto Counters = Queues.counters();
  for (const auto &[Service, Queue] : Counters)
    Samples.push_back({"magnolia_queue_waiting",
                       "Requests that wait for a slot.",
                       {{"service", Service}},
                       static_cast<double>(Queue.Waiting)});
  for (const auto &[Service, Queue] : Counters)
    Samples.push_back({"magnolia_queue_running",
                       "Requests that have a slot.",
                       {{"service", Service}},
                       static_cast<double>(Queue.Running)});
}

void node::impl::addMetrics() {
  Metrics.addReader([this](samples &Samples) {
    addConfigSamples(Samples);
    addTargetSamples(Selector.snapshot(boot_clock::now()), Samples);
    addQueueSamples(Samples);
    addPeerSamples(Messenger->transport().counters(), Samples);
  });
}

} // namespace magnolia::daemon

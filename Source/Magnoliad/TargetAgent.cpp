#include "Magnoliad/TargetAgent.h"

#include "Common/Digest.h"
#include "Target/Digest.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;

constexpr std::string_view MessageType = "targets";
constexpr const char *LeaseKey = "floor/lease";
constexpr const char *HealthPath = "/health";
constexpr std::chrono::seconds ProbeTimeout{1};
constexpr size_t RequestIdBytes = 12;

} // namespace

target_agent::target_agent(target::target_selector &Selector,
                           std::string Process, platform::services Services,
                           net::upstream_pool &Upstream,
                           peer_messenger &Messenger)
    : Selector(Selector), Services(std::move(Services)), Upstream(Upstream),
      Messenger(Messenger), Lease(LeaseKey, std::move(Process), {}) {
  Messenger.subscribe(
      MessageType,
      [this](const std::string &, std::string_view Body) { receive(Body); });
}

void target_agent::receive(std::string_view Body) {
  const auto Digest = target::decodeDigest(Body);
  if (Digest.ok())
    Selector.receive(*Digest, boot_clock::now());
}

void target_agent::publish(const std::vector<std::string> &Peers,
                           boot_time Now) {
  Selector.decideEjections(
      [this](std::string_view) { return Lease.heldUntil(); }, Now);
  Messenger.sendAll(Peers, MessageType,
                    target::encode(Selector.makeDigest(Now)));
}

void target_agent::probe(boot_time Now) {
  for (const target::choice &Choice : Selector.probesDue(Now)) {
    net::upstream_request Request;
    Request.Method = "GET";
    Request.Path = HealthPath;
    Request.RequestId = common::randomHex(RequestIdBytes);
    Request.Deadline = Now + ProbeTimeout;
    auto Stream = Upstream.start(std::move(Request), Choice.Address);
    const auto Outcome = Stream.awaitOutcome(Now + 2 * ProbeTimeout);
    if (Outcome && Outcome->ok())
      Selector.reportDrain(Choice.Service, Choice.Target,
                           {.Draining = Outcome->TargetDraining}, Now,
                           boot_clock::now());
  }
}

void target_agent::pollLease(boot_time Now) {
  // If the table does not reply, the lease expires and nothing is ejected until
  // it is held again.
  Lease.poll(Services.Table, common::wallNow(), Now).IgnoreError();
}

void target_agent::releaseLease() {
  const target::settings Defaults;
  const auto LastInForce = common::wallNow() + Defaults.EjectionTerm;
  Lease.release(Services.Table, LastInForce).IgnoreError();
}

} // namespace magnolia::daemon

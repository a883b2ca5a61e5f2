#include "Net/Upstream/UpstreamPool.h"

#include "Net/Base/WorkerPool.h"
#include "Net/Upstream/Attempt.h"
#include "Net/Upstream/IdleConnections.h"

namespace magnolia::net {

using common::boot_clock;
using common::error_kind;
using common::execution;

struct upstream_pool::state {
  explicit state(const upstream_settings &Settings)
      : Settings(Settings),
        Idle(Settings.MaxIdlePerTarget, Settings.IdleTimeout),
        Workers({.ThreadLimit = Settings.MaxAttempts}) {}

  const upstream_settings Settings;
  idle_connections Idle;
  // Last, so that the attempts end before the members that they use are
  // destroyed.
  worker_pool Workers;
};

namespace {

void refuse(response_channel &Channel) {
  request::attempt_outcome Outcome;
  Outcome.Error = error_kind::QueueFull;
  Outcome.Execution = execution::NotRun;
  Outcome.Times.Started = boot_clock::now();
  Outcome.Times.Finished = Outcome.Times.Started;
  Channel.finish(Outcome, common::makeError(error_kind::QueueFull,
                                            "too many attempts in flight"));
}

} // namespace

upstream_pool::upstream_pool(const upstream_settings &Settings)
    : State(std::make_unique<state>(Settings)) {}

upstream_pool::~upstream_pool() = default;

response_stream upstream_pool::start(upstream_request Request,
                                     std::string Address, stream_hooks Hooks) {
  auto Channel = std::make_shared<response_channel>(
      State->Settings.MaxBufferedBodyBytes, std::move(Hooks));
  const bool Started =
      State->Workers.tryRun([State = State.get(), Request = std::move(Request),
                             Address = std::move(Address), Channel] {
        runAttempt(State->Settings, State->Idle, Request, Address, *Channel);
      });
  if (!Started)
    refuse(*Channel);
  return response_stream(std::move(Channel));
}

void upstream_pool::closeIdle() { State->Idle.closeExpired(); }

size_t upstream_pool::idleCount() const { return State->Idle.count(); }

} // namespace magnolia::net

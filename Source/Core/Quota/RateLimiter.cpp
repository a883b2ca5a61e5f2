#include "Quota/RateLimiter.h"

#include "Common/Digest.h"
#include "Common/StringView.h"

namespace magnolia::quota {

namespace {

/// Numbers of a shard start at its index shifted by this many bits, so that no
/// two shards issue the same number.
constexpr unsigned NumberBits = 56;

/// Differs from the seeds of other uses of the hash.
constexpr uint64_t ShardSeed = 2;

} // namespace

absl::StatusOr<std::unique_ptr<rate_limiter>>
rate_limiter::create(rate_limiter_options Options, rate_limiter_hooks Hooks) {
  if (Options.LoanTerm <= duration::zero() ||
      Options.ReplyTimeout <= duration::zero())
    return absl::InvalidArgumentError(
        "loan term and reply timeout of the rate limiter must be positive");
  if (Options.ClockDrift < 0 || Options.ClockDrift >= 1)
    return absl::InvalidArgumentError("clock drift must be in [0, 1)");
  if (!Options.LendPolicy || !Hooks.Send || !Hooks.Resolved)
    return absl::InvalidArgumentError("a hook of the rate limiter is missing");
  return std::unique_ptr<rate_limiter>(
      new rate_limiter(std::move(Options), std::move(Hooks)));
}

rate_limiter::rate_limiter(rate_limiter_options Options,
                           rate_limiter_hooks Hooks)
    : Options(std::move(Options)), Hooks(std::move(Hooks)) {
  for (size_t Index = 0; Index < ShardCount; ++Index) {
    shard &Shard = Shards[Index];
    const absl::MutexLock Lock(&Shard.Mutex);
    Shard.NextNumber = (uint64_t{Index} << NumberBits) + 1;
  }
}

rate_limiter::shard &rate_limiter::shardOf(std::string_view Workspace) {
  return Shards[common::stableHash(Workspace, ShardSeed) % ShardCount];
}

expiry rate_limiter::lease() const {
  return {LeaseBoot.load(), LeaseWall.load()};
}

account_context rate_limiter::contextOf(shard &Shard,
                                        std::string_view Workspace,
                                        instant Now) const {
  absl::Span<const std::string> Owners;
  if (const partition_view *Partition = partitionIn(Shard, Workspace))
    Owners = Partition->Owners;
  return {Options, Now, lease(), Owners, Shard.NextNumber, Stopping.load()};
}

template <typename Function>
bool rate_limiter::withAccount(std::string_view Workspace, instant Now,
                               Function &&Fn) {
  shard &Shard = shardOf(Workspace);
  const absl::MutexLock Lock(&Shard.Mutex);
  const auto Found = Shard.Entries.find(common::toAbsl(Workspace));
  if (Found == Shard.Entries.end())
    return false;
  account &Account = accountOf(Shard, Found->first, Found->second);
  const account_context Context = contextOf(Shard, Workspace, Now);
  Fn(Account, Context);
  if (!Account.quiet())
    Shard.Busy.insert(Found->first);
  return true;
}

admission rate_limiter::admit(std::string_view Workspace, instant Now,
                              common::boot_time Deadline) {
  effects Out;
  admission Admission = refusal{refusal_reason::WorkspaceUnknown, {}};
  withAccount(Workspace, Now,
              [&](account &Account, const account_context &Context) {
                Admission = Account.admit(Context, Deadline, Out);
              });
  carryOut(Out);
  return Admission;
}

bool rate_limiter::spend(const permit &Permit, instant Now) {
  effects Out;
  bool Spent = false;
  withAccount(Permit.Workspace, Now,
              [&](account &Account, const account_context &Context) {
                Spent = Account.spend(Permit, Context, Out);
              });
  carryOut(Out);
  return Spent;
}

void rate_limiter::cancel(const permit &Permit, instant Now) {
  effects Out;
  withAccount(Permit.Workspace, Now,
              [&](account &Account, const account_context &Context) {
                Account.cancel(Permit, Context, Out);
              });
  carryOut(Out);
}

bool rate_limiter::withdraw(std::string_view Workspace, uint64_t Ticket,
                            instant Now) {
  effects Out;
  bool Waited = false;
  withAccount(Workspace, Now,
              [&](account &Account, const account_context &Context) {
                Waited = Account.withdraw(Ticket, Context, Out);
              });
  carryOut(Out);
  return Waited;
}

void rate_limiter::handleMessage(std::string_view Peer, const message &Message,
                                 instant Now) {
  effects Out;
  withAccount(workspaceOf(Message), Now,
              [&](account &Account, const account_context &Context) {
                Account.handle(Peer, Message, Context, Out);
              });
  carryOut(Out);
}

void rate_limiter::advance(instant Now) {
  for (shard &Shard : Shards) {
    effects Out;
    advanceShard(Shard, Now, Out);
    carryOut(Out);
  }
}

void rate_limiter::advanceShard(shard &Shard, instant Now, effects &Out) {
  const absl::MutexLock Lock(&Shard.Mutex);
  std::vector<std::string> Quiet;
  for (const std::string &Workspace : Shard.Busy) {
    const auto Found = Shard.Entries.find(Workspace);
    if (Found == Shard.Entries.end() || !Found->second.Account) {
      Quiet.push_back(Workspace);
      continue;
    }
    const account_context Context = contextOf(Shard, Workspace, Now);
    Found->second.Account->advance(Context, Out);
    if (Found->second.Account->quiet())
      Quiet.push_back(Workspace);
  }
  for (const std::string &Workspace : Quiet)
    Shard.Busy.erase(Workspace);
  if (Now.Boot >= Shard.NextSweep)
    sweep(Shard, Now);
}

void rate_limiter::setLease(expiry Lease) {
  LeaseBoot.store(Lease.Boot);
  LeaseWall.store(Lease.Wall);
}

void rate_limiter::carryOut(const effects &Effects) const {
  for (const outgoing &Outgoing : Effects.Messages)
    Hooks.Send(Outgoing.Peer, Outgoing.Message);
  for (const resolution &Resolution : Effects.Resolved)
    Hooks.Resolved(Resolution);
}

} // namespace magnolia::quota

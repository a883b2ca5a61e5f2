#include "Magnoliad/RateAgent.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include "Common/Digest.h"
#include "Common/ErrorKind.h"
#include "Common/StringView.h"
#include "Quota/OwnerOrder.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;

constexpr std::string_view MessageType = "quota";
constexpr size_t ProcessNameBytes = 8;

quota::instant instantNow() { return {boot_clock::now(), common::wallNow()}; }

quota::keeper_options keeperOptions(const settings &Settings,
                                    const std::string &PeerAddress,
                                    const std::string &BootId,
                                    const std::string &Process) {
  quota::keeper_options Options;
  Options.Instance = Settings.Identity.Name;
  Options.FailureDomain = Settings.Identity.FailureDomain;
  Options.Address = PeerAddress;
  Options.BootId = BootId;
  Options.Process = Process;
  // The peer port is bound exclusively and held until the last permit is spent.
  Options.BoundExclusively = true;
  Options.LeaseTerm = Settings.Rates.LeaseTerm;
  Options.LoanTerm = Settings.Rates.LoanTerm;
  Options.ClockSkew = Settings.Rates.ClockSkew;
  return Options;
}

absl::Status refusalStatus(const quota::refusal &Refusal) {
  if (Refusal.Reason == quota::refusal_reason::RateExceeded)
    return common::makeError(error_kind::RateExceeded,
                             "the workspace is over its rate");
  return common::makeError(error_kind::RateUnavailable,
                           "the workspace's rate cannot be reached now");
}

} // namespace

absl::StatusOr<std::unique_ptr<rate_agent>>
rate_agent::create(const settings &Settings, const std::string &PeerAddress,
                   const std::string &BootId,
                   const platform::services &Services,
                   peer_messenger &Messenger) {
  std::unique_ptr<rate_agent> Agent(new rate_agent(Messenger));
  rate_agent *const Raw = Agent.get();
  const std::string Process = common::randomHex(ProcessNameBytes);

  quota::rate_limiter_options LimiterOptions;
  LimiterOptions.Self = Settings.Identity.Name;
  LimiterOptions.Process = common::stableHash(Process);
  LimiterOptions.LoanTerm = Settings.Rates.LoanTerm;
  quota::rate_limiter_hooks LimiterHooks;
  LimiterHooks.Send = [Raw](const std::string &Peer,
                            const quota::message &Message) {
    const std::vector<uint8_t> Bytes = quota::encode(Message);
    Raw->Messenger.send(
        Peer, MessageType,
        {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
  };
  LimiterHooks.Resolved = [Raw](const quota::resolution &Resolution) {
    Raw->resolve(Resolution);
  };
  auto Limiter =
      quota::rate_limiter::create(LimiterOptions, std::move(LimiterHooks));
  if (!Limiter.ok())
    return Limiter.status();
  Agent->Limiter = std::move(*Limiter);

  quota::keeper_hooks KeeperHooks;
  KeeperHooks.SharesChanged = [Raw](const quota::share_view_ptr &View,
                                    quota::instant Now) {
    Raw->setShares(View, Now);
  };
  KeeperHooks.LeaseChanged = [Raw](quota::expiry Lease) {
    Raw->Limiter->setLease(Lease);
  };
  KeeperHooks.TimeUntilLoansEnd = [Raw](quota::instant Now) {
    return Raw->Limiter->timeUntilLoansEnd(Now);
  };
  auto Keeper = quota::share_keeper::create(
      keeperOptions(Settings, PeerAddress, BootId, Process), Services.Table,
      std::move(KeeperHooks));
  if (!Keeper.ok())
    return Keeper.status();
  Agent->Keeper = std::move(*Keeper);

  Messenger.subscribe(MessageType,
                      [Raw](const std::string &From, std::string_view Body) {
                        Raw->receive(From, Body);
                      });
  return Agent;
}

absl::StatusOr<rate_permit> rate_agent::admit(std::string_view Workspace,
                                              boot_time Deadline) {
  const quota::admission Admission =
      Limiter->admit(Workspace, instantNow(), Deadline);
  if (const auto *Ticket = std::get_if<quota::ticket>(&Admission))
    return await(Workspace, Ticket->Number, Deadline);
  return toPermit(Admission);
}

absl::StatusOr<rate_permit> rate_agent::await(std::string_view Workspace,
                                              uint64_t Ticket,
                                              boot_time Deadline) {
  std::optional<quota::admission> Admission = takeResolved(Ticket, Deadline);
  // A ticket that cannot be withdrawn is being resolved on another thread; its
  // permit would leak if it were not taken here.
  if (!Admission && !Limiter->withdraw(Workspace, Ticket, instantNow()))
    Admission = takeResolved(Ticket, boot_time::max());
  if (Admission)
    return toPermit(*Admission);
  return common::makeError(error_kind::RateUnavailable,
                           "the workspace's rate was not granted in time");
}

std::optional<quota::admission> rate_agent::takeResolved(uint64_t Ticket,
                                                         boot_time Until) {
  const absl::MutexLock Lock(&Mutex);
  while (true) {
    const auto Found = Resolved.find(Ticket);
    if (Found != Resolved.end()) {
      std::optional<quota::admission> Admission = std::move(Found->second);
      Resolved.erase(Found);
      return Admission;
    }
    const auto Remaining = Until - boot_clock::now();
    if (Remaining <= Remaining.zero())
      return std::nullopt;
    ResolvedSignal.WaitWithTimeout(&Mutex, absl::FromChrono(Remaining));
  }
}

absl::StatusOr<rate_permit>
rate_agent::toPermit(const quota::admission &Admission) {
  if (const auto *Refusal = std::get_if<quota::refusal>(&Admission))
    return refusalStatus(*Refusal);
  const auto Permit =
      std::make_shared<const quota::permit>(std::get<quota::permit>(Admission));
  return rate_permit{
      [this, Permit] { return Limiter->spend(*Permit, instantNow()); },
      [this, Permit] { Limiter->cancel(*Permit, instantNow()); }};
}

void rate_agent::resolve(const quota::resolution &Resolution) {
  const absl::MutexLock Lock(&Mutex);
  Resolved.emplace(Resolution.Ticket, Resolution.Result);
  ResolvedSignal.SignalAll();
}

void rate_agent::receive(const std::string &From, std::string_view Body) {
  const auto Message = quota::decode(
      {reinterpret_cast<const uint8_t *>(Body.data()), Body.size()});
  if (Message.ok())
    Limiter->handleMessage(From, *Message, instantNow());
}

void rate_agent::advance() { Limiter->advance(instantNow()); }

void rate_agent::setConfiguration(const contract::snapshot_ptr &Snapshot) {
  Limiter->setConfiguration(Snapshot->content().Manifest.Workspaces,
                            instantNow());
}

void rate_agent::setShares(const quota::share_view_ptr &View,
                           quota::instant Now) {
  Limiter->setShares(View, Now);
  const absl::MutexLock Lock(&Mutex);
  Shares = View;
}

absl::Status rate_agent::step(absl::Span<const quota::owner_candidate> Live) {
  return Keeper->step(instantNow(), Live);
}

absl::Status rate_agent::release() {
  Limiter->release(instantNow());
  return Keeper->release(instantNow());
}

uint64_t rate_agent::slotsHeld() {
  const absl::MutexLock Lock(&Mutex);
  uint64_t SlotsHeld = 0;
  if (Shares)
    for (const quota::partition_view &Partition : Shares->Partitions)
      SlotsHeld += Partition.Held;
  return SlotsHeld;
}

std::vector<std::string> rate_agent::owners(std::string_view Workspace) {
  const absl::MutexLock Lock(&Mutex);
  if (!Shares)
    return {};
  return quota::ownersOf(*Shares, Workspace);
}

} // namespace magnolia::daemon

#include "UnitTests/Quota/FakeFleet.h"

#include <algorithm>

namespace magnolia::quota::testing {

namespace {

constexpr true_time Tick{1000};
constexpr int KeeperTicks = 20;
constexpr double SpendQueuedChance = 0.5;
constexpr double CancelChance = 0.02;

} // namespace

fake_fleet::fake_fleet(fleet_options Options)
    : Options(Options), Random(Options.Seed) {
  Table.Fault = [this] {
    if (Instances[TableCaller]->TableDown || chance(this->Options.TableRefused))
      return table_fault::Refused;
    return chance(this->Options.ReplyLost) ? table_fault::ReplyLost
                                           : table_fault::None;
  };
  std::uniform_real_distribution<double> Drift(-Options.TrueDrift,
                                               Options.TrueDrift);
  std::uniform_int_distribution<int64_t> Skew(-Options.ClockSkew.count() / 2,
                                              Options.ClockSkew.count() / 2);
  for (size_t Index = 0; Index < Options.Instances; ++Index) {
    auto Instance = std::make_unique<fake_instance>();
    Instance->Name = "instance-" + std::to_string(Index);
    Instance->FailureDomain = "domain-" + std::to_string(Index % 3);
    Instance->Speed = 1 + Drift(Random);
    Instance->WallError = duration(Skew(Random));
    Instances.push_back(std::move(Instance));
  }
}

bool fake_fleet::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

instant fake_fleet::clockOf(size_t Index) const {
  const fake_instance &Instance = *Instances[Index];
  const auto Boot =
      static_cast<int64_t>(static_cast<double>(Now.count()) * Instance.Speed);
  return {common::boot_time(duration(Boot)),
          common::wall_time(Now + Instance.WallError)};
}

std::vector<owner_candidate> fake_fleet::live() const {
  std::vector<owner_candidate> Live;
  for (const auto &Instance : Instances)
    if (Instance->Running)
      Live.push_back({Instance->Name, Instance->FailureDomain});
  return Live;
}

void fake_fleet::setWorkspaces(std::vector<contract::workspace> Next) {
  Workspaces = std::move(Next);
  for (size_t Index = 0; Index < Instances.size(); ++Index)
    if (Instances[Index]->Running)
      Instances[Index]->Limiter->setConfiguration(Workspaces, clockOf(Index));
}

void fake_fleet::start(size_t Index) {
  fake_instance &Instance = *Instances[Index];
  rate_limiter_options LimiterOptions;
  LimiterOptions.Self = Instance.Name;
  LimiterOptions.Process = Random() | 1;
  LimiterOptions.LoanTerm = Options.LoanTerm;
  LimiterOptions.ClockDrift = Options.ClockDrift;
  rate_limiter_hooks LimiterHooks;
  LimiterHooks.Send = [this, Index](const std::string &Peer,
                                    const message &Message) {
    send(Index, Peer, Message);
  };
  LimiterHooks.Resolved = [this, Index](const resolution &Resolution) {
    if (const auto *Permit = std::get_if<permit>(&Resolution.Result))
      use(Index, *Permit);
  };
  Instance.Limiter = *rate_limiter::create(LimiterOptions, LimiterHooks);
  Instance.Limiter->setConfiguration(Workspaces, clockOf(Index));

  keeper_options KeeperOptions;
  KeeperOptions.Instance = Instance.Name;
  KeeperOptions.FailureDomain = Instance.FailureDomain;
  KeeperOptions.Address = Instance.Name;
  KeeperOptions.BootId = "boot of " + Instance.Name;
  KeeperOptions.Process =
      Instance.Name + "/" + std::to_string(++Instance.Processes);
  // Every second process binds exclusively, which proves that its predecessor
  // is dead.
  KeeperOptions.BoundExclusively = Instance.Processes % 2 == 0;
  KeeperOptions.LeaseTerm = Options.LeaseTerm;
  KeeperOptions.RenewPeriod = Options.RenewPeriod;
  KeeperOptions.RefreshPeriod = Options.RefreshPeriod;
  KeeperOptions.ClockSkew = Options.ClockSkew;
  KeeperOptions.ClockDrift = Options.ClockDrift;
  KeeperOptions.LoanTerm = Options.LoanTerm;
  KeeperOptions.ClaimDelay = milliseconds(100);
  KeeperOptions.HandoverPeriod = Options.HandoverPeriod;
  KeeperOptions.Layout = Options.Layout;
  rate_limiter *Limiter = Instance.Limiter.get();
  keeper_hooks KeeperHooks;
  Instance.Shares = nullptr;
  Instance.Lease = {};
  KeeperHooks.SharesChanged = [Limiter, &Instance](const share_view_ptr &View,
                                                   instant At) {
    Instance.Shares = View;
    Limiter->setShares(View, At);
  };
  KeeperHooks.LeaseChanged = [Limiter, &Instance](expiry Lease) {
    Instance.Lease = Lease;
    Limiter->setLease(Lease);
  };
  KeeperHooks.TimeUntilLoansEnd = [Limiter](instant At) {
    return Limiter->timeUntilLoansEnd(At);
  };
  Instance.Keeper =
      *share_keeper::create(KeeperOptions, Table.service(), KeeperHooks);
  Instance.Running = true;
  Instance.Suspended = false;
}

void fake_fleet::crash(size_t Index) {
  fake_instance &Instance = *Instances[Index];
  Instance.Running = false;
  Instance.Permits.clear();
  Instance.Keeper.reset();
  Instance.Limiter.reset();
}

void fake_fleet::stop(size_t Index) {
  fake_instance &Instance = *Instances[Index];
  TableCaller = Index;
  Instance.Limiter->release(clockOf(Index));
  Instance.Keeper->release(clockOf(Index)).IgnoreError();
  crash(Index);
}

void fake_fleet::run(duration Length, const std::function<void()> &EachTick) {
  const true_time End = Now + Length;
  while (Now < End) {
    Now += Tick;
    deliver();
    for (size_t Index = 0; Index < Instances.size(); ++Index)
      tick(Index);
    if (EachTick)
      EachTick();
  }
}

void fake_fleet::tick(size_t Index) {
  fake_instance &Instance = *Instances[Index];
  if (!Instance.Running || Instance.Suspended)
    return;
  const instant Clock = clockOf(Index);
  if ((Now / Tick + static_cast<int64_t>(Index)) % KeeperTicks == 0)
    stepKeeper(Index);
  Instance.Limiter->advance(Clock);
  spendQueued(Index);
}

void fake_fleet::stepKeeper(size_t Index) {
  TableCaller = Index;
  Instances[Index]->Keeper->step(clockOf(Index), live()).IgnoreError();
}

void fake_fleet::send(size_t From, const std::string &Peer,
                      const message &Message) {
  const auto To = std::find_if(
      Instances.begin(), Instances.end(),
      [&](const auto &Instance) { return Instance->Name == Peer; });
  const auto Receiver = static_cast<size_t>(To - Instances.begin());
  const bool Cut = std::find(Cuts.begin(), Cuts.end(),
                             std::pair(From, Receiver)) != Cuts.end();
  const int Copies = chance(Options.Duplicated) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (Cut || chance(Options.Lost))
      continue;
    // A late message may arrive after every term that it contains.
    const int64_t Longest =
        chance(Options.Late) ? 3 * Options.LoanTerm.count() : 2000;
    const true_time Delay{
        std::uniform_int_distribution<int64_t>(100, Longest)(Random)};
    Network.push({Now + Delay, NextOrder++, From, Receiver, encode(Message)});
  }
}

void fake_fleet::deliver() {
  while (!Network.empty() && Network.top().At <= Now) {
    const delivery Delivery = Network.top();
    Network.pop();
    fake_instance &Receiver = *Instances[Delivery.To];
    if (!Receiver.Running)
      continue;
    // A suspended process receives its messages when it resumes.
    if (Receiver.Suspended) {
      delivery Again = Delivery;
      Again.At = Now + Tick;
      Network.push(std::move(Again));
      continue;
    }
    Receiver.Limiter->handleMessage(Instances[Delivery.From]->Name,
                                    *decode(Delivery.Bytes),
                                    clockOf(Delivery.To));
  }
}

void fake_fleet::request(size_t Index, const std::string &Workspace) {
  fake_instance &Instance = *Instances[Index];
  if (!Instance.Running || Instance.Suspended)
    return;
  const instant Clock = clockOf(Index);
  admission Admission = Instance.Limiter->admit(
      Workspace, Clock, Clock.Boot + std::chrono::seconds(1));
  if (auto *Permit = std::get_if<permit>(&Admission))
    use(Index, std::move(*Permit));
}

void fake_fleet::use(size_t Index, permit Permit) {
  if (chance(Queued))
    Instances[Index]->Permits.push_back(std::move(Permit));
  else
    spend(Index, Permit);
}

void fake_fleet::spend(size_t Index, const permit &Permit) {
  if (chance(CancelChance)) {
    Instances[Index]->Limiter->cancel(Permit, clockOf(Index));
    return;
  }
  if (Instances[Index]->Limiter->spend(Permit, clockOf(Index)))
    Written[Permit.Workspace].push_back(Now);
}

void fake_fleet::spendQueued(size_t Index) {
  std::vector<permit> &Permits = Instances[Index]->Permits;
  while (!Permits.empty() && chance(SpendQueuedChance)) {
    const permit Permit = std::move(Permits.back());
    Permits.pop_back();
    spend(Index, Permit);
  }
}

uint32_t fake_fleet::slotsInUse(uint32_t Partition) const {
  uint32_t Sum = 0;
  for (size_t Index = 0; Index < Instances.size(); ++Index) {
    const fake_instance &Instance = *Instances[Index];
    if (Instance.Running && Instance.Shares &&
        !Instance.Lease.passed(clockOf(Index)))
      Sum += Instance.Shares->Partitions[Partition].Held;
  }
  return Sum;
}

double fake_fleet::worstExcess(const std::string &Workspace, double Rate,
                               double Burst) {
  // A window from the i-th to the j-th request contains j - i + 1 of them; a
  // running minimum over the starts finds the worst one.
  const std::vector<true_time> &Times = Written[Workspace];
  double Worst = -Burst;
  double LowestStart = 0;
  for (size_t Last = 0; Last < Times.size(); ++Last) {
    const double Seconds = std::chrono::duration<double>(Times[Last]).count();
    const double Count = static_cast<double>(Last);
    const double Start = Count - Rate * Seconds;
    LowestStart = Last == 0 ? Start : std::min(LowestStart, Start);
    Worst = std::max(Worst, Start - LowestStart + 1 - Burst);
  }
  return Worst;
}

} // namespace magnolia::quota::testing

#include "Experiment.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "Quota/RateLimiter.h"

namespace magnolia::quota::experiment {

namespace {

constexpr duration Tick = std::chrono::milliseconds(2);
constexpr duration WarmUp = std::chrono::seconds(5);
const std::string Workspace = "workspace";

struct event {
  duration At;
  uint64_t Order = 0;
  std::function<void()> Run;
  bool operator<(const event &Other) const {
    return std::pair(At, Order) > std::pair(Other.At, Other.Order);
  }
};

/// The bucket that every request is compared with.
class central_bucket {
public:
  central_bucket(double Rate, double Burst)
      : Bucket(static_cast<nano_rate>(Rate * OneToken),
               static_cast<nano_tokens>(Burst * OneToken),
               static_cast<nano_tokens>(Burst * OneToken),
               common::boot_time()) {}

  bool admit(common::boot_time Now) {
    Bucket.accrue(Now);
    if (Bucket.available() < OneToken)
      return false;
    Bucket.remove(OneToken, Now);
    return true;
  }

private:
  token_bucket Bucket;
};

class model {
public:
  explicit model(const scenario &Scenario);
  outcome run();

private:
  struct call {
    duration At;
    bool CentralAdmits = false;
  };

  void at(duration Time, std::function<void()> Run);
  instant clock() const;
  std::unique_ptr<rate_limiter> makeGate(size_t Index);
  void distributeShares();
  void arrive();
  size_t pickInstance();
  void finish(size_t Index, const call &Call, const admission &Result);
  void tickAll();
  void killHomes();
  void replaceNext();

  const scenario Scenario;
  std::mt19937_64 Random;
  central_bucket Central;
  duration Now{};
  uint64_t NextOrder = 0;
  std::priority_queue<event> Events;
  std::vector<std::unique_ptr<rate_limiter>> Gates;
  std::vector<std::map<uint64_t, call>> Waiting;
  /// The instance of each share; as many as instances where it is lost.
  std::vector<size_t> HolderOf;
  std::vector<bool> Alive;
  std::vector<partition_view> Views;
  size_t NextReplaced = 0;
  std::vector<duration> Written;
  std::vector<duration> Waits;
  outcome Outcome;
};

model::model(const scenario &Scenario)
    : Scenario(Scenario), Random(Scenario.Seed),
      Central(Scenario.Rate, Scenario.Burst), Waiting(Scenario.Instances),
      Alive(Scenario.Instances, true), Views(Scenario.Instances) {
  for (size_t Index = 0; Index < Scenario.Instances; ++Index)
    Gates.push_back(makeGate(Index));
  for (size_t Index = 0; Index < Scenario.Homes; ++Index)
    HolderOf.push_back(Index);
}

void model::at(duration Time, std::function<void()> Run) {
  Events.push({Time, NextOrder++, std::move(Run)});
}

instant model::clock() const {
  return {common::boot_time(Now), common::wall_time(Now)};
}

std::unique_ptr<rate_limiter> model::makeGate(size_t Index) {
  rate_limiter_options Options;
  Options.Self = std::to_string(Index);
  Options.Process = Index + 1;
  Options.LoanTerm = Scenario.LoanTerm;
  if (!Scenario.Lending)
    Options.LendPolicy = [](const lend_query &) { return lend_offer(); };
  else if (!Scenario.LendingRate)
    Options.LendPolicy = lendTokensOnly;
  rate_limiter_hooks Hooks;
  Hooks.Send = [this, Index](const std::string &Peer, const message &Message) {
    Outcome.Messages += Now >= WarmUp ? 1 : 0;
    const size_t To = std::stoul(Peer);
    at(Now + Scenario.Delay, [this, Index, To, Message] {
      if (Alive[To])
        Gates[To]->handleMessage(std::to_string(Index), Message, clock());
    });
  };
  Hooks.Resolved = [this, Index](const resolution &Resolution) {
    const auto Call = Waiting[Index].extract(Resolution.Ticket);
    if (!Call.empty())
      finish(Index, Call.mapped(), Resolution.Result);
  };
  auto Gate = *rate_limiter::create(Options, Hooks);
  const std::vector<contract::workspace> Workspaces{
      {Workspace, Scenario.Rate, Scenario.Burst}};
  Gate->setConfiguration(Workspaces, clock());
  Gate->setLease(expiryAfter({}, std::chrono::hours(1000)));
  return Gate;
}

void model::distributeShares() {
  std::vector<std::string> Homes;
  for (const size_t Holder : HolderOf)
    if (Holder < Scenario.Instances)
      Homes.push_back(std::to_string(Holder));
  for (size_t Index = 0; Index < Gates.size(); ++Index) {
    const auto Held = static_cast<uint32_t>(
        std::count(HolderOf.begin(), HolderOf.end(), Index));
    partition_view &View = Views[Index];
    if (Held != View.Held)
      View.Since = clock().Boot;
    if (Held < View.Held)
      View.LostAt = clock().Boot;
    View.Held = Held;
    View.Owners = Homes;
    auto Next = std::make_shared<share_view>();
    Next->SlotCount = Scenario.Homes;
    Next->Partitions.push_back(View);
    Gates[Index]->setShares(Next, clock());
  }
}

size_t model::pickInstance() {
  std::vector<size_t> Candidates;
  for (size_t Index = 0; Index < Gates.size(); ++Index) {
    const bool IsHome =
        std::find(HolderOf.begin(), HolderOf.end(), Index) != HolderOf.end();
    if (Alive[Index] && (IsHome || Scenario.Placement != placement::Homes))
      Candidates.push_back(Index);
  }
  // All callers on one instance, which is no home unless all are.
  if (Scenario.Placement == placement::OneInstance)
    return Candidates.back();
  return Candidates[Random() % Candidates.size()];
}

void model::arrive() {
  std::exponential_distribution<double> Gap(Scenario.Rate * Scenario.Load);
  at(Now + duration(static_cast<int64_t>(Gap(Random) * 1e6)),
     [this] { arrive(); });
  const size_t Index = pickInstance();
  const call Call{Now, Central.admit(clock().Boot)};
  const admission Result = Gates[Index]->admit(
      Workspace, clock(), clock().Boot + std::chrono::seconds(1));
  if (const auto *Ticket = std::get_if<ticket>(&Result))
    Waiting[Index].emplace(Ticket->Number, Call);
  else
    finish(Index, Call, Result);
}

void model::finish(size_t Index, const call &Call, const admission &Result) {
  const auto *Permit = std::get_if<permit>(&Result);
  const bool Spent = Permit && Gates[Index]->spend(*Permit, clock());
  if (Spent)
    Written.push_back(Now);
  if (Call.At < WarmUp)
    return;
  ++Outcome.Requests;
  Outcome.CentrallyAdmitted += Call.CentralAdmits ? 1 : 0;
  if (Spent) {
    ++Outcome.Admitted;
    Waits.push_back(Now - Call.At);
  } else if (Call.CentralAdmits) {
    ++Outcome.Wrongful;
  }
}

void model::tickAll() {
  at(Now + Tick, [this] { tickAll(); });
  for (size_t Index = 0; Index < Gates.size(); ++Index)
    if (Alive[Index])
      Gates[Index]->advance(clock());
}

void model::killHomes() {
  for (size_t Share = 0; Share < Scenario.DeadHomes; ++Share) {
    Alive[HolderOf[Share]] = false;
    HolderOf[Share] = Scenario.Instances;
  }
  distributeShares();
  if (Scenario.ShareLostFor == duration::max())
    return;
  at(Now + Scenario.ShareLostFor, [this] {
    for (size_t Share = 0; Share < Scenario.DeadHomes; ++Share)
      HolderOf[Share] = Scenario.Homes + Share;
    distributeShares();
  });
}

void model::replaceNext() {
  at(Now + Scenario.ReplaceEvery, [this] { replaceNext(); });
  const size_t Share = NextReplaced++ % HolderOf.size();
  const size_t Holder = HolderOf[Share];
  Gates[Holder]->release(clock());
  HolderOf[Share] = Scenario.Instances;
  distributeShares();
  Gates[Holder] = makeGate(Holder);
  Views[Holder] = {};
  at(Now + Scenario.Handover, [this, Share, Holder] {
    HolderOf[Share] = Holder;
    distributeShares();
  });
}

double worstExcess(const std::vector<duration> &Times, double Rate,
                   double Burst) {
  double Worst = -Burst;
  double Lowest = 0;
  for (size_t Last = 0; Last < Times.size(); ++Last) {
    const std::chrono::duration<double> Time = Times[Last];
    const double Start = static_cast<double>(Last) - Rate * Time.count();
    Lowest = Last == 0 ? Start : std::min(Lowest, Start);
    Worst = std::max(Worst, Start - Lowest + 1 - Burst);
  }
  return Worst;
}

outcome model::run() {
  distributeShares();
  at(Tick, [this] { tickAll(); });
  at(duration(1), [this] { arrive(); });
  if (Scenario.DeadHomes > 0)
    at(WarmUp, [this] { killHomes(); });
  if (Scenario.ReplaceEvery > duration::zero())
    at(WarmUp, [this] { replaceNext(); });
  while (Events.top().At < WarmUp + Scenario.Length) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Run();
  }
  Outcome.WorstExcess = worstExcess(Written, Scenario.Rate, Scenario.Burst);
  if (!Waits.empty()) {
    const auto Position =
        Waits.begin() + static_cast<ptrdiff_t>(Waits.size() * 99 / 100);
    std::nth_element(Waits.begin(), Position, Waits.end());
    Outcome.Wait = *Position;
  }
  return Outcome;
}

} // namespace

double outcome::wrongfulPercent() const {
  return 100.0 * static_cast<double>(Wrongful) /
         static_cast<double>(std::max<uint64_t>(1, Requests));
}

double outcome::shortfallPercent() const {
  return 100.0 -
         100.0 * static_cast<double>(Admitted) /
             static_cast<double>(std::max<uint64_t>(1, CentrallyAdmitted));
}

double outcome::messagesPerRequest() const {
  return static_cast<double>(Messages) /
         static_cast<double>(std::max<uint64_t>(1, Requests));
}

outcome run(const scenario &Scenario) { return model(Scenario).run(); }

} // namespace magnolia::quota::experiment

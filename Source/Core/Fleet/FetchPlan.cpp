#include "Fleet/FetchPlan.h"

#include <algorithm>

#include <absl/random/distributions.h>

namespace magnolia::fleet {
namespace {

/// Shortest wait between two decisions.
constexpr std::chrono::milliseconds MinWait{5};
/// Longest one, in which new sources may have appeared.
constexpr std::chrono::milliseconds MaxWait{60};
/// Bounds the pause of a source that refuses again and again.
constexpr size_t MaxDoublings = 4;

} // namespace

void fetch_plan::begin(bool MayArrive, boot_time Now, absl::BitGenRef Random) {
  if (Since)
    return;
  Since = Now;
  const auto Spread = std::chrono::duration_cast<duration>(
      Settings.Spread * absl::Uniform(Random, 0.0, 1.0));
  NotBefore = Now + Spread + (MayArrive ? Settings.FirstDelay : duration{0});
  NoneNearSince.reset();
}

void fetch_plan::end() {
  Since.reset();
  Asked.clear();
  // The sources that failed stay paused: the next content may follow soon.
  absl::erase_if(Pauses,
                 [](const auto &Entry) { return Entry.second.Refusals > 0; });
}

boot_time fetch_plan::overdueAt(const attempt &Attempt) const {
  return std::min(Attempt.LastBytes + Settings.SilentAfter,
                  Attempt.AskedAt + Settings.SlowAfter);
}

bool fetch_plan::isAsked(const std::string &Source) const {
  return std::any_of(Asked.begin(), Asked.end(), [&](const attempt &Attempt) {
    return Attempt.Source == Source;
  });
}

bool fetch_plan::isPaused(const std::string &Source, boot_time Now) const {
  const auto Found = Pauses.find(Source);
  return Found != Pauses.end() && Now < Found->second.Until;
}

bool fetch_plan::isNearOneBusy(absl::Span<const fetch_source> Sources) const {
  return std::any_of(Sources.begin(), Sources.end(),
                     [this](const fetch_source &Source) {
                       const auto Found = Pauses.find(Source.Name);
                       return Source.IsNear && Found != Pauses.end() &&
                              Found->second.Refusals > 0 &&
                              Found->second.Refusals <= Settings.MaxRefusals;
                     });
}

std::vector<std::string>
fetch_plan::usable(absl::Span<const fetch_source> Sources, bool Near,
                   boot_time Now) const {
  std::vector<std::string> Names;
  for (const fetch_source &Source : Sources)
    if (Source.IsNear == Near && !isAsked(Source.Name) &&
        !isPaused(Source.Name, Now))
      Names.push_back(Source.Name);
  return Names;
}

std::string fetch_plan::choose(absl::Span<const fetch_source> Sources,
                               size_t Rank, boot_time Now,
                               absl::BitGenRef Random) {
  const auto PickFrom = [&](const std::vector<std::string> &Names) {
    return Names[absl::Uniform<size_t>(Random, 0, Names.size())];
  };
  RemoteAt.reset();
  const std::vector<std::string> Near = usable(Sources, true, Now);
  if (!Near.empty()) {
    NoneNearSince.reset();
    return PickFrom(Near);
  }
  if (isNearOneBusy(Sources))
    return {};
  // Those that never had a near source wait from when they fell behind.
  if (!NoneNearSince)
    NoneNearSince = Asked.empty() && Pauses.empty() ? *Since : Now;
  const std::vector<std::string> Far = usable(Sources, false, Now);
  const boot_time Due =
      *NoneNearSince +
      std::min<duration>(Settings.RemoteStep * static_cast<int64_t>(Rank),
                         Settings.MaxRemoteDelay);
  if (Far.empty())
    return {};
  if (Now >= Due)
    return PickFrom(Far);
  RemoteAt = Due;
  return {};
}

std::string fetch_plan::makeRoom(boot_time Now) {
  if (Asked.size() < Settings.MaxAsked)
    return {};
  const auto Silent =
      std::min_element(Asked.begin(), Asked.end(),
                       [](const attempt &Left, const attempt &Right) {
                         return Left.LastBytes < Right.LastBytes;
                       });
  std::string Source = Silent->Source;
  onResult(Source, fetch_result::Failed, Now);
  return Source;
}

fetch_step fetch_plan::decide(absl::Span<const fetch_source> Sources,
                              size_t Rank, boot_time Now,
                              absl::BitGenRef Random) {
  fetch_step Step;
  Step.DecideAt = Now + MaxWait;
  if (!Since)
    return Step;
  if (Now < NotBefore) {
    Step.DecideAt = NotBefore;
    return Step;
  }
  const bool Waits =
      std::any_of(Asked.begin(), Asked.end(), [&](const attempt &Attempt) {
        return !isOverdue(Attempt, Now);
      });
  if (!Waits) {
    Step.Ask = choose(Sources, Rank, Now, Random);
    if (!Step.Ask.empty()) {
      Step.GiveUp = makeRoom(Now);
      Asked.push_back({Step.Ask, Now, Now});
    }
  }
  Step.DecideAt = nextDecision(Now);
  return Step;
}

boot_time fetch_plan::nextDecision(boot_time Now) const {
  boot_time Next = Now + MaxWait;
  if (RemoteAt)
    Next = std::min(Next, *RemoteAt);
  for (const attempt &Attempt : Asked)
    if (!isOverdue(Attempt, Now))
      Next = std::min(Next, overdueAt(Attempt));
  for (const auto &[Source, Pause] : Pauses)
    if (Pause.Until > Now)
      Next = std::min(Next, Pause.Until);
  return std::max<boot_time>(Next, Now + MinWait);
}

void fetch_plan::onBytes(const std::string &Source, boot_time Now) {
  for (attempt &Attempt : Asked)
    if (Attempt.Source == Source)
      Attempt.LastBytes = Now;
}

void fetch_plan::onResult(const std::string &Source, fetch_result Result,
                          boot_time Now) {
  std::erase_if(
      Asked, [&](const attempt &Attempt) { return Attempt.Source == Source; });
  if (Result == fetch_result::Received) {
    Pauses.erase(Source);
    // What is still missing is newer than what was received.
    if (Since)
      Since = Now;
    return;
  }
  pause &Pause = Pauses[Source];
  if (Result == fetch_result::Failed) {
    Pause = {Now + Settings.FailedPause, 0};
    return;
  }
  Pause.Until =
      Now + Settings.RefusedPause *
                (int64_t{1} << std::min<size_t>(Pause.Refusals, MaxDoublings));
  ++Pause.Refusals;
}

bool fetch_plan::needsStore(size_t Rank, boot_time Now) const {
  if (!Since)
    return false;
  const duration Delay = std::min<duration>(
      Settings.StoreStep * static_cast<int64_t>(Rank), Settings.MaxStoreDelay);
  if (Now < *Since + Settings.StoreAfter + Delay)
    return false;
  return std::all_of(Asked.begin(), Asked.end(), [&](const attempt &Attempt) {
    return isOverdue(Attempt, Now);
  });
}

} // namespace magnolia::fleet

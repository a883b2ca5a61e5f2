#include "Gateway/TableFollower.h"

#include <algorithm>

#include <absl/random/distributions.h>

#include "Common/Log.h"

namespace magnolia::gateway {
namespace {

/// The first long poll after enabling returns at once, to show whether the
/// store is available.
constexpr std::chrono::milliseconds FirstFollowWait{1};
constexpr std::string_view Component = "Store";

} // namespace

void table_follower::enable() {
  Enabled = true;
  if (Running)
    return;
  Running = true;
  Confirmed = false;
  if (Copy.hasContent())
    NeedsSnapshot = false;
  next();
}

void table_follower::next() {
  if (!Enabled) {
    Running = false;
    return;
  }
  if (NeedsSnapshot)
    readSnapshot("");
  else
    follow();
}

void table_follower::readSnapshot(const std::string &From) {
  if (From.empty()) {
    Pages.clear();
    PagesVersion = 0;
  }
  Table.Read(From, [this](store_reply Reply) { onPage(std::move(Reply)); });
}

void table_follower::onPage(store_reply Reply) {
  if (Reply.Result != store_result::Done) {
    onFailure(Reply);
    return;
  }
  // The feed is followed from the version of the first page, so changes between
  // two pages are seen.
  if (PagesVersion == 0)
    PagesVersion = Reply.Version;
  const bool More = Reply.Truncated && !Reply.Rows.empty();
  std::string Next;
  if (More)
    Next = Reply.Rows.back().Key + '\1';
  std::move(Reply.Rows.begin(), Reply.Rows.end(), std::back_inserter(Pages));
  if (More) {
    readSnapshot(Next);
    return;
  }
  onSuccess();
  NeedsSnapshot = false;
  common::log(common::log_level::Info, Component, "table read",
              {{"table", Name},
               {"era", Reply.Era},
               {"version", PagesVersion},
               {"known_version", Copy.status().Version},
               {"rows", Pages.size()}});
  Copy.applySnapshot(Pages, PagesVersion);
  Pages.clear();
  Hooks.OnSnapshot();
  next();
}

void table_follower::follow() {
  const duration Wait = Confirmed ? Settings.Wait : FirstFollowWait;
  Table.Follow(Copy.status().Version, Wait, [this](const store_reply &Reply) {
    if (Reply.Result == store_result::Done)
      onChanges(Reply);
    else
      onFailure(Reply);
  });
}

void table_follower::onChanges(const store_reply &Reply) {
  onSuccess();
  const std::vector<stored_row> NewRows =
      Copy.applyChanges(Reply.Rows, Reply.Version);
  if (!NewRows.empty())
    Hooks.OnChanges(NewRows);
  // Changes in quick succession are read together.
  if (Reply.Rows.empty() || Settings.BatchDelay == duration::zero())
    next();
  else
    continueAfter(Settings.BatchDelay);
}

void table_follower::onSuccess() {
  if (!Confirmed)
    ConfirmedSince = Loop.now();
  Confirmed = true;
  RetryDelay = duration::zero();
  if (!Unavailable)
    return;
  Unavailable = false;
  AvailableSince = Loop.now();
  Hooks.OnAvailability(false);
}

fleet::reading_state table_follower::state() const {
  if (!Running || !Enabled)
    return fleet::reading_state::NotReading;
  const bool RecentlyUnavailable =
      EverUnavailable && Loop.now() - AvailableSince < Settings.ExpiryGrace;
  if (Unavailable || RecentlyUnavailable)
    return fleet::reading_state::Failing;
  if (!Confirmed)
    return fleet::reading_state::NotReading;
  const bool Long = Loop.now() - std::max(ConfirmedSince, AvailableSince) >=
                    Settings.ExpiryGrace;
  return Long ? fleet::reading_state::LongSteady : fleet::reading_state::Steady;
}

void table_follower::onFailure(const store_reply &Reply) {
  if (Reply.Result == store_result::HistoryLost) {
    common::log(common::log_level::Info, Component,
                "store has no changes after the known version",
                {{"table", Name},
                 {"era", Reply.Era},
                 {"known_version", Copy.status().Version}});
    NeedsSnapshot = true;
    next();
    return;
  }
  EverUnavailable = true;
  if (!Unavailable) {
    Unavailable = true;
    Hooks.OnAvailability(true);
  }
  const duration Longest =
      Backup ? Settings.MaxBackupRetryDelay : Settings.MaxRetryDelay;
  RetryDelay = std::clamp(RetryDelay * 2, Settings.InitialRetryDelay, Longest);
  const double Jitter = absl::Uniform(Random, 0.5, 1.0);
  continueAfter(std::chrono::duration_cast<duration>(RetryDelay * Jitter));
}

void table_follower::continueAfter(duration Delay) {
  Loop.callAfter(Delay, [this] { next(); });
}

} // namespace magnolia::gateway

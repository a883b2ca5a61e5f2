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
  HistoryLost = false;
  next();
}

bool table_follower::needsSnapshot() const {
  return HistoryLost || !Copy.hasContent() ||
         Copy.status().Position.Era < NewestEra;
}

void table_follower::next() {
  if (!Enabled) {
    Running = false;
    return;
  }
  if (needsSnapshot())
    readSnapshot("");
  else
    follow();
}

void table_follower::readSnapshot(const std::string &From) {
  if (From.empty())
    Pages.clear();
  Table.Read(From, [this](store_reply Reply) { onPage(std::move(Reply)); });
}

void table_follower::onPage(store_reply Reply) {
  noteEra(Reply);
  if (Reply.Result != store_result::Done) {
    onFailure();
    return;
  }
  const uint64_t Era = Reply.Era.value_or(Copy.status().Position.Era);
  if (Era < NewestEra) {
    continueAfter(nextRetryDelay());
    return;
  }
  // The feed is followed from the version of the first page, so changes between
  // two pages are seen.
  if (Pages.empty())
    PagesPosition = {Era, Reply.Version};
  if (Era != PagesPosition.Era) {
    readSnapshot("");
    return;
  }
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
  HistoryLost = false;
  SnapshotUnconfirmed = true;
  const fleet::store_position Known = Copy.status().Position;
  common::log(common::log_level::Info, Component, "table read",
              {{"table", Name},
               {"era", PagesPosition.Era},
               {"version", PagesPosition.Version},
               {"known_era", Known.Era},
               {"known_version", Known.Version},
               {"rows", Pages.size()}});
  Copy.applySnapshot(Pages, PagesPosition);
  Pages.clear();
  Hooks.OnSnapshot();
  next();
}

void table_follower::follow() {
  const duration Wait = Confirmed ? Settings.Wait : FirstFollowWait;
  const fleet::store_position Asked = Copy.status().Position;
  Table.Follow(Asked.Version, Wait, [this, Asked](const store_reply &Reply) {
    onFeedReply(Reply, Asked);
  });
}

void table_follower::noteEra(const store_reply &Reply) {
  if (!Reply.Era || *Reply.Era <= NewestEra)
    return;
  NewestEra = *Reply.Era;
  const fleet::store_position Known = Copy.status().Position;
  if (!Copy.hasContent() || Known.Era >= NewestEra)
    return;
  common::log(common::log_level::Warning, Component,
              "store was restored from an older copy",
              {{"table", Name},
               {"era", NewestEra},
               {"known_era", Known.Era},
               {"known_version", Known.Version}});
  Hooks.OnRestored(NewestEra);
}

void table_follower::onFeedReply(const store_reply &Reply,
                                 fleet::store_position Asked) {
  noteEra(Reply);
  const bool Answered = Reply.Result == store_result::Done ||
                        Reply.Result == store_result::HistoryLost;
  const uint64_t Era = Reply.Era.value_or(Asked.Era);
  if (!Answered)
    onFailure();
  else if (Era > Asked.Era)
    onRestored();
  else if (Era < Asked.Era)
    // It was on its way since before the restore.
    continueAfter(Settings.InitialRetryDelay);
  else if (Reply.Result == store_result::HistoryLost)
    onHistoryLost(Reply);
  else
    onChanges(Reply, Asked);
}

void table_follower::onRestored() {
  onSuccess();
  // Entries that the copy lacks may come back within the grace time.
  ConfirmedSince = Loop.now();
  // The instances that others rely on read the table; the others fetch it from
  // them, if they can.
  if (Backup)
    continueAfter(Settings.BackupSnapshotDelay);
  else
    next();
}

void table_follower::onChanges(const store_reply &Reply,
                               fleet::store_position Asked) {
  onSuccess();
  SnapshotUnconfirmed = false;
  RetryDelay = duration::zero();
  const std::vector<stored_row> NewRows =
      Copy.applyChanges(Reply.Rows, {Asked.Era, Reply.Version});
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

void table_follower::onHistoryLost(const store_reply &Reply) {
  common::log(common::log_level::Info, Component,
              "store has no changes after the known version",
              {{"table", Name},
               {"era", Reply.Era.value_or(0)},
               {"known_version", Copy.status().Position.Version}});
  HistoryLost = true;
  // A store that keeps no history is not read in a loop without pauses.
  if (SnapshotUnconfirmed)
    continueAfter(nextRetryDelay());
  else
    next();
}

void table_follower::onFailure() {
  EverUnavailable = true;
  if (!Unavailable) {
    Unavailable = true;
    Hooks.OnAvailability(true);
  }
  continueAfter(nextRetryDelay());
}

duration table_follower::nextRetryDelay() {
  const duration Longest =
      Backup ? Settings.MaxBackupRetryDelay : Settings.MaxRetryDelay;
  RetryDelay = std::clamp(RetryDelay * 2, Settings.InitialRetryDelay, Longest);
  const double Jitter = absl::Uniform(Random, 0.5, 1.0);
  return std::chrono::duration_cast<duration>(RetryDelay * Jitter);
}

void table_follower::continueAfter(duration Delay) {
  Loop.callAfter(Delay, [this] { next(); });
}

} // namespace magnolia::gateway

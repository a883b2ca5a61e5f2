#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/random/random.h>

#include "Fleet/SharedTable.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Net/Event/EventLoop.h"

namespace magnolia::gateway {

/// Notifications of a follower.
struct follower_hooks {
  /// The store returned changes that are new to this instance.
  std::function<void(const std::vector<stored_row> &Rows)> OnChanges;
  /// A complete snapshot was read from the store.
  std::function<void()> OnSnapshot;
  /// The store was found to be restored from an older copy.
  std::function<void(uint64_t Era)> OnRestored;
  /// The store became unavailable or available.
  std::function<void(bool Unavailable)> OnAvailability;
};

/// Keeps an instance's replica of one table up to date from the store while
/// enabled: reads a snapshot, then follows the changes, and reads a new
/// snapshot when the store no longer has them or was restored from a copy.
/// Keeps the replica while the store is unavailable.
class table_follower {
public:
  /// \p Name: of the table, for the log.
  table_follower(event::event_loop &Loop, std::string_view Name,
                 store_table Table, const follow_settings &Settings,
                 fleet::shared_table &Copy, follower_hooks Hooks)
      : Loop(Loop), Name(Name), Table(std::move(Table)), Settings(Settings),
        Copy(Copy), Hooks(std::move(Hooks)) {}

  /// Starts reading unless it already does.
  void enable();

  /// Stops reading after the running call.
  void disable() { Enabled = false; }

  /// The state of reading, on which others decide whether to rely on this
  /// instance.
  fleet::reading_state state() const;

  /// A backup retries failed calls with longer delays, since others read as
  /// well.
  void setBackup(bool Changed) { Backup = Changed; }

private:
  void next();
  void readSnapshot(const std::string &From);
  void onPage(store_reply Reply);
  bool needsSnapshot() const;
  void follow();
  /// \p Asked: the position after which the changes were requested.
  void onFeedReply(const store_reply &Reply, fleet::store_position Asked);
  void onChanges(const store_reply &Reply, fleet::store_position Asked);
  /// Takes notice of the era that a reply names.
  void noteEra(const store_reply &Reply);
  void onRestored();
  void onHistoryLost(const store_reply &Reply);
  void onFailure();
  void onSuccess();
  duration nextRetryDelay();
  void continueAfter(duration Delay);

  event::event_loop &Loop;
  const std::string Name;
  const store_table Table;
  const follow_settings Settings;
  fleet::shared_table &Copy;
  const follower_hooks Hooks;
  absl::InsecureBitGen Random;
  std::vector<stored_row> Pages;
  /// Of the first page.
  fleet::store_position PagesPosition;
  /// The newest era that a reply named.
  uint64_t NewestEra = 0;
  boot_time AvailableSince;
  boot_time ConfirmedSince;
  duration RetryDelay{0};
  bool Enabled = false;
  bool Running = false;
  /// Whether a call has succeeded since it was enabled.
  bool Confirmed = false;
  bool HistoryLost = false;
  /// No call for changes has succeeded since the last snapshot.
  bool SnapshotUnconfirmed = false;
  bool EverUnavailable = false;
  bool Unavailable = false;
  bool Backup = false;
};

} // namespace magnolia::gateway

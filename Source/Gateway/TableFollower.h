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
  /// The store became unavailable or available.
  std::function<void(bool Unavailable)> OnAvailability;
};

/// Keeps an instance's replica of one table up to date from the store while
/// enabled: reads a snapshot, then follows the changes, and reads a new
/// snapshot when the store no longer has them. Keeps the replica while the
/// store is unavailable.
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
  void follow();
  void onChanges(const store_reply &Reply);
  void onFailure(const store_reply &Reply);
  void onSuccess();
  void continueAfter(duration Delay);

  event::event_loop &Loop;
  const std::string Name;
  const store_table Table;
  const follow_settings Settings;
  fleet::shared_table &Copy;
  const follower_hooks Hooks;
  absl::InsecureBitGen Random;
  std::vector<stored_row> Pages;
  uint64_t PagesVersion = 0;
  boot_time AvailableSince;
  boot_time ConfirmedSince;
  duration RetryDelay{0};
  bool Enabled = false;
  bool Running = false;
  /// Whether a call has succeeded since it was enabled.
  bool Confirmed = false;
  bool NeedsSnapshot = true;
  bool EverUnavailable = false;
  bool Unavailable = false;
  bool Backup = false;
};

} // namespace magnolia::gateway

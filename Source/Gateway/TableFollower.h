#pragma once

#include <functional>
#include <vector>

#include <absl/random/random.h>

#include "Fleet/SharedTable.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Net/Event/EventLoop.h"

namespace magnolia::gateway {

/// What a follower tells.
struct follower_hooks {
  /// Changes that are new to this instance came from the store; \p After is the
  /// change before them.
  std::function<void(uint64_t After, const std::vector<stored_row> &Rows)>
      OnChanges;
  /// The whole table came from the store.
  std::function<void()> OnSnapshot;
  /// The store stopped or began to answer.
  std::function<void(bool Unavailable)> OnAvailability;
};

/// Keeps an instance's copy of one table up to date from the store while it is
/// switched on: reads it whole, then follows its changes, and reads it whole
/// again when the store no longer has them. Goes on with what it has while the
/// store is away.
class table_follower {
public:
  table_follower(event::event_loop &Loop, store_table Table,
                 const follow_settings &Settings, fleet::shared_table &Copy,
                 follower_hooks Hooks)
      : Loop(Loop), Table(std::move(Table)), Settings(Settings), Copy(Copy),
        Hooks(std::move(Hooks)) {}

  /// Begins to read, unless it does so already.
  void enable();

  /// Ends reading when the call that is under way has ended.
  void disable() { Enabled = false; }

  /// Whether others should rely on this instance, and what it saw of the store.
  fleet::reading_state state() const;

  /// Waits longer between failed calls: others try, too.
  void setBackup(bool Changed) { Backup = Changed; }

private:
  void next();
  void readSnapshot(const std::string &From);
  void onPage(store_reply Reply);
  void follow();
  void onChanges(const store_reply &Reply);
  void onFailure(store_result Result);
  void onSuccess();
  void continueAfter(duration Delay);

  event::event_loop &Loop;
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
  /// Whether a call has succeeded since reading was switched on.
  bool Confirmed = false;
  bool NeedsSnapshot = true;
  bool EverUnavailable = false;
  bool Unavailable = false;
  bool Backup = false;
};

} // namespace magnolia::gateway

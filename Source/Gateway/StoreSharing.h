#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "Fleet/PeerView.h"
#include "Fleet/ReaderDecision.h"
#include "Fleet/SharedTable.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Gateway/TableFollower.h"
#include "Net/Message/HttpClient.h"
#include "Net/Message/ServerConnection.h"

namespace magnolia::gateway {

/// An instance's replicas of the store's tables. A few instances read the store
/// and relay changes to the others; these fetch what they missed from any peer
/// that has it, and read the store themselves when too few others do.
class store_sharing {
public:
  struct hooks {
    fleet::table_hooks Configuration;
    fleet::table_hooks Targets;
    /// Sends changed rows to all peers.
    std::function<void(const fleet::rows_message &Rows)> Send;
    /// Sends a status update to all peers within milliseconds.
    std::function<void()> Announce;
  };

  store_sharing(event::event_loop &Loop, const settings &Settings,
                const fleet::peer_view &Peers, store_table Configuration,
                store_table Targets, hooks Hooks);

  /// Starts reading, and the periodic decision whether to read.
  void start();

  /// Applies changes that a peer relayed.
  void applyRelayed(const fleet::rows_message &Rows);

  /// Schedules a fetch if the update of a peer shows newer changes.
  void onUpdate(const fleet::peer &Peer, const fleet::update_message &Update);

  /// Serves a snapshot of a table to a peer.
  void serveTable(message::server_call &Call) const;

  /// Fills in the status of the tables and of reading the store.
  void fillTableStatus(fleet::update_message &Update) const;

  /// Whether this instance reads the store itself.
  bool isReading() const {
    return reading() != fleet::reading_state::NotReading;
  }

  /// Whether rows that are missing now have been removed. Otherwise the store
  /// may have been unavailable to all instances, and targets unable to renew
  /// their rows.
  bool storeSteady() const;

private:
  /// The replica of one table and its follower.
  struct replica {
    std::unique_ptr<fleet::shared_table> Copy;
    std::unique_ptr<table_follower> Follower;
    /// The connection of a running fetch from a peer.
    std::shared_ptr<message::client_connection> Fetch;
    event::event_loop::timer_id FetchTimer = 0;
    /// A fetch is scheduled.
    bool FetchScheduled = false;
  };

  void addTable(fleet::table_id Id, store_table Table,
                fleet::table_hooks TableHooks);
  void updateReading();
  void relay(fleet::table_id Id, uint64_t After,
             const std::vector<stored_row> &Rows);
  void scheduleFetch(fleet::table_id Id, const fleet::peer &Peer,
                     uint64_t Change);
  void fetch(fleet::table_id Id, const std::string &PeerAddress);
  void endFetch(fleet::table_id Id);
  fleet::reading_state reading() const;
  replica &table(fleet::table_id Id) {
    return Tables.at(static_cast<size_t>(Id));
  }
  const replica &table(fleet::table_id Id) const {
    return Tables.at(static_cast<size_t>(Id));
  }

  event::event_loop &Loop;
  const settings &Settings;
  const fleet::peer_view &Peers;
  const hooks Hooks;
  std::array<replica, static_cast<size_t>(fleet::table_id::Count)> Tables;
  absl::InsecureBitGen Random;
  /// Time since which too few others read the store.
  std::optional<boot_time> UncoveredSince;
  fleet::reading_state AnnouncedState = fleet::reading_state::NotReading;
};

} // namespace magnolia::gateway

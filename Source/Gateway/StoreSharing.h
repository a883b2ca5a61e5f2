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

/// An instance's copies of the store's tables. A few instances read the store
/// and pass on what changes; the others take it from them, fetch what they
/// missed from any peer that has it, and read the store themselves as soon as
/// too few others do.
class store_sharing {
public:
  struct hooks {
    fleet::table_hooks Configuration;
    fleet::table_hooks Targets;
    /// Sends a message to all peers.
    std::function<void(const fleet::rows_message &Rows)> Send;
    /// Tells peers at once what this instance knows by now.
    std::function<void()> Announce;
  };

  store_sharing(event::event_loop &Loop, const settings &Settings,
                const fleet::peer_view &Peers, store_table Configuration,
                store_table Targets, hooks Hooks);

  /// Begins to read and to judge who reads.
  void start();

  /// Changes that a peer passed on.
  void applyRelayed(const fleet::rows_message &Rows);

  /// A peer tells what it knows.
  void onUpdate(const fleet::peer &Peer, const fleet::update_message &Update);

  /// Answers a peer that fetches a table.
  void serveTable(message::server_call &Call) const;

  /// Fills in what this instance tells of itself.
  void fillTableStatus(fleet::update_message &Update) const;

  /// Whether this instance reads the store itself.
  bool isReading() const {
    return reading() != fleet::reading_state::NotReading;
  }

  /// Whether rows that are missing now are gone for good.
  bool storeSteady() const;

private:
  /// One table with its reader.
  struct replica {
    std::unique_ptr<fleet::shared_table> Copy;
    std::unique_ptr<table_follower> Follower;
    /// A fetch from a peer is under way.
    std::shared_ptr<message::client_connection> Fetch;
    event::event_loop::timer_id FetchTimer = 0;
    /// A fetch is about to begin.
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
  /// Since when too few others read the store.
  std::optional<boot_time> UncoveredSince;
  fleet::reading_state AnnouncedState = fleet::reading_state::NotReading;
};

} // namespace magnolia::gateway

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
  void take(const fleet::rows_message &Rows);

  /// A peer tells what it knows.
  void onNews(const fleet::peer &Peer, const fleet::update_message &News);

  /// Answers a peer that fetches a table.
  void answer(message::server_call &Call) const;

  /// Fills in what this instance tells of itself.
  void describe(fleet::update_message &News) const;

  /// Whether this instance reads the store itself.
  bool isReading() const {
    return reading() != fleet::reading_state::NotReading;
  }

  /// Whether rows that are missing now are gone for good.
  bool storeSteady() const;

private:
  /// One table with its reader.
  struct shared {
    std::unique_ptr<fleet::shared_table> Copy;
    std::unique_ptr<table_follower> Follower;
    /// A fetch from a peer is under way.
    std::shared_ptr<message::client_connection> Fetch;
    event::event_loop::timer_id FetchTimer = 0;
    /// A fetch is about to begin.
    bool FetchPlanned = false;
  };

  void addTable(fleet::table_id Id, store_table Table,
                fleet::table_hooks TableHooks);
  void judge();
  void passOn(fleet::table_id Id, uint64_t After,
              const std::vector<stored_row> &Rows);
  void planFetch(fleet::table_id Id, const fleet::peer &Peer, uint64_t Change);
  void fetch(fleet::table_id Id, const std::string &PeerAddress);
  void endFetch(fleet::table_id Id);
  fleet::reading_state reading() const;
  shared &table(fleet::table_id Id) {
    return Tables.at(static_cast<size_t>(Id));
  }
  const shared &table(fleet::table_id Id) const {
    return Tables.at(static_cast<size_t>(Id));
  }

  event::event_loop &Loop;
  const settings &Settings;
  const fleet::peer_view &Peers;
  const hooks Hooks;
  std::array<shared, static_cast<size_t>(fleet::table_id::Count)> Tables;
  absl::InsecureBitGen Random;
  /// Since when too few others read the store.
  std::optional<boot_time> UncoveredSince;
  fleet::reading_state Told = fleet::reading_state::NotReading;
};

} // namespace magnolia::gateway

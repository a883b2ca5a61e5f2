#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "Fleet/PeerView.h"
#include "Fleet/ReaderDecision.h"
#include "Fleet/SharedTable.h"
#include "Gateway/ContentFetch.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Gateway/TableFollower.h"
#include "Net/Message/ServerConnection.h"

namespace magnolia::gateway {

/// An instance's replicas of the store's tables. A few instances read the store
/// and forward changes to the others; these fetch what they missed from a peer
/// that has it, in their own failure domain if there is one, and read the store
/// themselves when too few others do. After a start the first instances of each
/// domain read it, in an order that all compute alike, and the others fetch
/// from them.
class store_sharing {
public:
  struct hooks {
    fleet::table_hooks Configuration;
    fleet::table_hooks Targets;
    /// Forwards changed rows to all peers.
    std::function<void(const fleet::rows_message &Rows)> Send;
    /// Sends a status update to all peers within milliseconds.
    std::function<void()> Announce;
    /// The same to those of the own failure domain.
    std::function<void()> AnnounceInDomain;
    /// This instance found that the store was restored from an older copy.
    std::function<void()> OnRestored;
  };

  store_sharing(event::event_loop &Loop, const settings &Settings,
                const fleet::peer_view &Peers, store_table Configuration,
                store_table Targets, hooks Hooks);

  /// Starts reading, and the periodic decision whether to read.
  void start();

  /// Applies changes that a peer forwarded.
  void applyForwarded(const fleet::rows_message &Rows);

  /// Schedules a fetch if the update of a peer shows that changes are missing.
  void onUpdate(const fleet::peer &Peer, const fleet::update_message &Update);

  /// Serves a table to a peer, or the changes that it lacks.
  void serveTable(message::server_call &Call);

  /// Fills in the status of the tables and of reading the store.
  void fillTableStatus(fleet::update_message &Update) const;

  /// Whether this instance reads the store itself.
  bool isReading() const {
    return reading() != fleet::reading_state::NotReading;
  }

  /// Whether this instance was on a strong machine among those it could reach
  /// when it last decided whether to read.
  bool onStrongMachine() const { return OnStrongMachine; }

  /// Whether rows that are missing now have been removed. Otherwise the store
  /// may have been unavailable to all instances, and targets unable to renew
  /// their rows.
  bool storeSteady() const;

  /// The era of the content of a table.
  uint64_t eraOf(fleet::table_id Id) const {
    return table(Id).Copy->status().Position.Era;
  }

private:
  /// The replica of one table and its follower.
  struct replica {
    std::unique_ptr<fleet::shared_table> Copy;
    std::unique_ptr<table_follower> Follower;
    std::unique_ptr<content_fetch> Fetch;
    /// The latest content of a peer that the replica may lack.
    fleet::table_status Behind;
    /// When a peer was last served the full table.
    boot_time FullServedAt;
  };

  void addTable(fleet::table_id Id, store_table Table,
                fleet::table_hooks TableHooks);
  /// Takes notice of a restored store, once for all tables.
  void onRestored(uint64_t Era);
  void updateReading();
  void scheduleReadingUpdate();
  bool allLoaded() const;
  /// How long to wait before reading while too few others read.
  duration readingDelay(const fleet::reader_decision &Decision) const;
  void forward(fleet::table_id Id, const std::vector<stored_row> &Rows);
  void compare(fleet::table_id Id, const fleet::table_status &Status);
  content_fetch::hooks fetchHooks(fleet::table_id Id);
  /// Whether the peer has content that the replica of the table lacks.
  bool isAhead(const fleet::peer &Peer, fleet::table_id Id) const;
  bool hasNearSource(fleet::table_id Id) const;
  /// Whether a table that no peer has sent is to be read from the store.
  bool needsStore() const;
  /// False if the content is not usable or brings nothing new.
  bool onContent(fleet::table_id Id, std::string_view Body, bool FromNear);
  bool isNear(const fleet::peer &Peer) const {
    return Peer.Identity.FailureDomain == Settings.Identity.FailureDomain;
  }
  /// The decision among the instances of the own failure domain alone.
  fleet::reader_decision decideInDomain() const;
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
  const boot_time Started;
  std::array<replica, fleet::TableCount> Tables;
  /// When a table was last replaced by that of a restored store.
  std::optional<boot_time> ReplacedAt;
  /// The era of the last restore that this instance found.
  uint64_t NoticedEra = 0;
  /// Time since which too few others read the store.
  std::optional<boot_time> UncoveredSince;
  bool OnStrongMachine = true;
  fleet::reading_state AnnouncedState = fleet::reading_state::NotReading;
};

} // namespace magnolia::gateway

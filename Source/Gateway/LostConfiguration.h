#pragma once

#include <functional>
#include <string>

#include "Fleet/AcceptedConfiguration.h"
#include "Fleet/FleetMessage.h"
#include "Fleet/PeerView.h"
#include "Gateway/ContentFetch.h"
#include "Gateway/Store.h"
#include "Net/Message/ServerConnection.h"

namespace magnolia::gateway {

/// Passes the configuration in force on to instances that start after the store
/// was restored from an older copy, which holds an earlier one. Instances that
/// have it name it in their updates; those that would accept it fetch it.
class lost_configuration {
public:
  /// Offers a row with a configuration that a peer has in force.
  using offer_hook =
      std::function<void(const stored_row &Row, fleet::store_position)>;

  lost_configuration(event::event_loop &Loop, const settings &Settings,
                     const fleet::peer_view &Peers,
                     const fleet::accepted_configuration &Accepted,
                     offer_hook Offer);

  /// \p Row holds the configuration that has just come into force.
  void setInForce(const stored_row &Row) { InForce = Row; }

  /// Fetches what \p Peer has in force, if it is to come into force here, from
  /// it or from another peer that named it.
  void onUpdate(const fleet::peer &Peer, const fleet::update_message &Update);

  /// Responds if the request is for the configuration in force; false if it is
  /// for something else.
  bool serve(message::server_call &Call) const;

private:
  content_fetch::hooks fetchHooks();
  /// Whether what \p Peer named is to come into force here.
  bool isWanted(const fleet::peer &Peer) const;
  /// Offers the rows that a peer sent; false if they are not valid.
  bool apply(std::string_view Body);

  event::event_loop &Loop;
  const fleet::peer_view &Peers;
  const fleet::accepted_configuration &Accepted;
  const offer_hook Offer;
  stored_row InForce;
  /// What peers last said that they have in force and the store has not.
  absl::flat_hash_map<std::string, fleet::configuration_offer> Named;
  content_fetch Fetch;
};

} // namespace magnolia::gateway

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/random/random.h>

#include "Fleet/FetchPlan.h"
#include "Fleet/PeerView.h"
#include "Fleet/ReaderDecision.h"
#include "Gateway/PeerFetch.h"
#include "Gateway/Settings.h"

namespace magnolia::gateway {

/// Gets content that this instance lacks from the peers that have it, as its
/// fetch_plan decides. The loop must not run after it is destroyed.
class content_fetch {
public:
  struct hooks {
    /// Whether a peer has content that this instance lacks.
    std::function<bool(const fleet::peer &Peer)> Has;
    /// Whether this instance still lacks content.
    std::function<bool()> IsMissing;
    /// The path of the request for it.
    std::function<std::string()> Path;
    /// Applies the content that a peer sent; false if it is not usable.
    std::function<bool(std::string_view Body, bool FromNear)> Apply;
    /// What this instance has, and the newest that it heard of.
    std::function<fleet::store_position()> Known;
    std::function<fleet::store_position()> Newest;
  };

  /// \p Name: of the content, for the log.
  content_fetch(event::event_loop &Loop, const settings &Settings,
                const fleet::peer_view &Peers, std::string_view Name,
                hooks Hooks)
      : Loop(Loop), Settings(Settings), Peers(Peers), Name(Name),
        Hooks(std::move(Hooks)), Plan(Settings.Fetch) {}

  /// This instance learned that it lacks content. \p MayArrive: it may arrive
  /// without being asked for.
  void request(bool MayArrive);

  /// The content changed otherwise: nothing more is asked if it is complete.
  void onChange();

  /// Whether the store is the last resort.
  bool needsStore() const;

private:
  void decide();
  void decideAt(boot_time When);
  std::vector<fleet::fetch_source> sources() const;
  /// The number of reachable instances before this one in its domain.
  size_t rank() const;
  void ask(const std::string &Peer);
  void giveUp(const std::string &Peer);
  void onEnd(const std::string &Peer, fetch_end End, std::string_view Body,
             boot_time AskedAt);
  void logEnd(const std::string &Peer, std::string_view Outcome,
              boot_time AskedAt) const;
  bool isNear(const fleet::peer &Peer) const {
    return Peer.Identity.FailureDomain == Settings.Identity.FailureDomain;
  }

  event::event_loop &Loop;
  const settings &Settings;
  const fleet::peer_view &Peers;
  const std::string Name;
  const hooks Hooks;
  fleet::fetch_plan Plan;
  absl::InsecureBitGen Random;
  /// The fetches that have not ended, by peer.
  std::map<std::string, std::unique_ptr<peer_fetch>> Fetches;
  event::event_loop::timer_id Timer = 0;
  bool TimerSet = false;
};

} // namespace magnolia::gateway

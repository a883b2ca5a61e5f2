#include "Gateway/LostConfiguration.h"

#include <algorithm>

#include "Common/Log.h"

namespace magnolia::gateway {
namespace {

constexpr std::string_view Path = "/configuration-in-force";
constexpr int Ok = 200;
constexpr int NotFound = 404;

} // namespace

lost_configuration::lost_configuration(
    event::event_loop &Loop, const settings &Settings,
    const fleet::peer_view &Peers,
    const fleet::accepted_configuration &Accepted, offer_hook Offer)
    : Loop(Loop), Peers(Peers), Accepted(Accepted), Offer(std::move(Offer)),
      Fetch(Loop, Settings, Peers, Path, fetchHooks()) {}

void lost_configuration::onUpdate(const fleet::peer &Peer,
                                  const fleet::update_message &Update) {
  if (!Update.LostConfiguration) {
    Named.erase(Peer.Identity.Name);
    return;
  }
  Named[Peer.Identity.Name] = *Update.LostConfiguration;
  if (isWanted(Peer))
    Fetch.request(/*MayArrive=*/false);
}

bool lost_configuration::isWanted(const fleet::peer &Peer) const {
  const auto Found = Named.find(Peer.Identity.Name);
  return Found != Named.end() &&
         Accepted.decide(Found->second) == fleet::offer_decision::Accepted;
}

content_fetch::hooks lost_configuration::fetchHooks() {
  content_fetch::hooks Hooks;
  Hooks.Has = [this](const fleet::peer &Peer) { return isWanted(Peer); };
  Hooks.IsMissing = [this] {
    const auto &All = Peers.peers();
    return std::any_of(All.begin(), All.end(), [this](const auto &Entry) {
      return Peers.isReachable(Entry.second, Loop.now()) &&
             isWanted(Entry.second);
    });
  };
  Hooks.Path = [] { return std::string(Path); };
  Hooks.Apply = [this](std::string_view Body, bool) { return apply(Body); };
  Hooks.Known = [this] {
    return Accepted.inForce() ? Accepted.inForce()->Position
                              : fleet::store_position();
  };
  Hooks.Newest = [this] {
    fleet::store_position Newest;
    for (const auto &[Peer, Offered] : Named)
      Newest = std::max(Newest, Offered.Position);
    return Newest;
  };
  return Hooks;
}

bool lost_configuration::apply(std::string_view Body) {
  const auto Content = fleet::decodeContent(Body);
  if (!Content.ok()) {
    common::log(common::log_level::Warning, "Store",
                "invalid configuration of a peer",
                {{"detail", std::string(Content.status().message())}});
    return false;
  }
  const auto Before = Accepted.inForce();
  for (const stored_row &Row : Content->Rows)
    Offer(Row, Content->Position);
  return Accepted.inForce() != Before;
}

bool lost_configuration::serve(message::server_call &Call) const {
  if (Call.Request.path() != Path)
    return false;
  message::response Response;
  Response.Status = NotFound;
  if (Accepted.inForce()) {
    Response.Status = Ok;
    Response.Body = fleet::encodeContent(
        {Accepted.inForce()->Position, /*ChangesOnly=*/true, {InForce}});
  }
  Call.respond(std::move(Response));
  return true;
}

} // namespace magnolia::gateway

#include "Gateway/LostConfiguration.h"

#include "Common/Log.h"

namespace magnolia::gateway {
namespace {

constexpr std::string_view Path = "/configuration-in-force";
constexpr int Ok = 200;
constexpr int NotFound = 404;

} // namespace

void lost_configuration::onUpdate(const fleet::peer &Peer,
                                  const fleet::update_message &Update) {
  const auto &Lost = Update.LostConfiguration;
  if (!Lost || Accepted.decide(*Lost) != fleet::offer_decision::Accepted)
    return;
  Fetch.start(Peer.Identity.PeerAddress, std::string(Path),
              [this](fetch_end End, const std::string &Body) {
                if (End != fetch_end::Received)
                  return;
                const auto Content = fleet::decodeContent(Body);
                if (!Content.ok()) {
                  common::log(
                      common::log_level::Warning, "Store",
                      "invalid configuration of a peer",
                      {{"detail", std::string(Content.status().message())}});
                  return;
                }
                for (const stored_row &Row : Content->Rows)
                  Offer(Row, Content->Position);
              });
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

#include "Magnoliad/AdminPages.h"

#include "Common/ErrorKind.h"
#include "Magnoliad/ErrorResponse.h"

namespace magnolia::daemon {
namespace {

constexpr int ServiceUnavailable = 503;
constexpr size_t AdminThreads = 8;

http::buffered_response page(int Status, std::string_view Type,
                             std::string Body) {
  http::buffered_response Response;
  Response.Status = Status;
  Response.Headers.push_back({"Content-Type", std::string(Type)});
  Response.Body = std::move(Body);
  return Response;
}

} // namespace

absl::StatusOr<std::unique_ptr<admin_pages>>
admin_pages::create(const std::string &Address, common::metrics &Metrics,
                    admin_hooks Hooks) {
  std::unique_ptr<admin_pages> Pages(
      new admin_pages(Metrics, std::move(Hooks)));
  http::http_server_options Options;
  Options.Address = Address;
  Options.MaxThreads = AdminThreads;
  auto Server = http::http_server::create(
      Options,
      [Raw = Pages.get()](http::http_exchange &Exchange) {
        Exchange.respond(Raw->respond(Exchange.request().Path));
      },
      [](const absl::Status &Status) { return makeErrorResponse(Status, ""); });
  if (!Server.ok())
    return Server.status();
  Pages->Server = std::move(*Server);
  Pages->Server->start();
  return Pages;
}

http::buffered_response admin_pages::respond(const std::string &Path) {
  if (Path == "/healthz")
    return page(200, "text/plain", "ok\n");
  if (Path == "/metrics")
    return page(200, "text/plain; version=0.0.4", Metrics.write());
  if (Path == "/status")
    return page(200, "application/json", Hooks.Status());
  if (Path != "/readyz")
    return makeErrorResponse(
        common::makeError(common::error_kind::RouteNotFound, "no such page"),
        "");
  const std::string Reason = Hooks.NotReady();
  if (Reason.empty())
    return page(200, "text/plain", "ready\n");
  return page(ServiceUnavailable, "text/plain", Reason + "\n");
}

} // namespace magnolia::daemon

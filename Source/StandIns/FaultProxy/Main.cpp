#include <memory>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/StringView.h"
#include "Program/Daemon.h"
#include "Program/PortFile.h"
#include "StandIns/FaultProxy/Relay.h"
#include "StandIns/Server/HttpServer.h"

namespace {

using namespace magnolia;
using stand_ins::http_server;
using stand_ins::link_settings;
using stand_ins::relay;

struct settings {
  std::string Admin;
  std::vector<link_settings> Links;
};

settings readSettings(common::yaml_section &Root) {
  settings Settings;
  Settings.Admin = Root.address("admin", "127.0.0.1:0");
  for (common::yaml_section &Section : Root.sections("links")) {
    link_settings Link;
    Link.Name = Section.text("name");
    Link.Listen = Section.address("listen", "127.0.0.1:0");
    Link.Forward = Section.address("forward");
    Link.Faults.DelayUp =
        Section.duration("delay_up", std::chrono::microseconds(0));
    Link.Faults.DelayDown =
        Section.duration("delay_down", std::chrono::microseconds(0));
    Section.finish();
    Settings.Links.push_back(std::move(Link));
  }
  return Settings;
}

void answer(httplib::Response &Response, const absl::Status &Status) {
  if (Status.ok()) {
    Response.set_content("{}", "application/json");
    return;
  }
  Response.status = absl::IsNotFound(Status) ? 404 : 400;
  const nlohmann::json Body = {{"error", std::string(Status.message())}};
  Response.set_content(Body.dump(), "application/json");
}

void addRoutes(http_server &Server, relay &Relay) {
  Server.Get("/admin/links", [&](const httplib::Request &,
                                 httplib::Response &Response) {
    auto Body = nlohmann::json::array();
    for (const relay::link_state &Link : Relay.links())
      Body.push_back({{"name", Link.Name},
                      {"port", Link.Port},
                      {"connections", Link.Connections},
                      {"faults", nlohmann::json::parse(toJson(Link.Faults))}});
    Response.set_content(Body.dump(), "application/json");
  });
  Server.Post("/admin/links/([^/]+)", [&](const httplib::Request &Request,
                                          httplib::Response &Response) {
    answer(Response, Relay.change(Request.matches[1], Request.body));
  });
}

std::string portLines(relay &Relay, int AdminPort) {
  std::string Lines;
  for (const relay::link_state &Link : Relay.links())
    absl::StrAppend(&Lines, Link.Name, " ", Link.Port, "\n");
  absl::StrAppend(&Lines, "admin ", AdminPort, "\n");
  return Lines;
}

} // namespace

int main(int Argc, char **Argv) {
  settings Settings;
  std::unique_ptr<relay> Relay;
  http_server Server;
  program::daemon Daemon;
  Daemon.Name = "magnolia-faultproxy";
  Daemon.Description = "A TCP proxy that makes the network fail";
  Daemon.Read = [&](common::yaml_section &Root) {
    Settings = readSettings(Root);
  };
  Daemon.Start = [&](const std::string &PortFile) -> absl::Status {
    auto Started = relay::start(Settings.Links);
    if (!Started.ok())
      return Started.status();
    Relay = *std::move(Started);
    addRoutes(Server, *Relay);
    const auto Port = Server.start(Settings.Admin);
    if (!Port.ok())
      return Port.status();
    common::log(common::log_level::Info, "FaultProxy", "listening",
                {{"admin_port", absl::StrCat(*Port)},
                 {"links", absl::StrCat(Settings.Links.size())}});
    return program::writePortFile(PortFile, portLines(*Relay, *Port));
  };
  Daemon.Stop = [&] {
    Server.finish();
    Relay.reset();
  };
  return program::runDaemon(Argc, Argv, Daemon);
}

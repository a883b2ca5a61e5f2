#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

#include "Common/Log.h"
#include "Program/Daemon.h"
#include "Program/PortFile.h"
#include "StandIns/Platform/PlatformServer.h"

using namespace magnolia;

namespace {

struct settings {
  std::string Listen;
  std::vector<std::string> Instances;
  std::chrono::microseconds ListLag{0};
};

struct process {
  settings Settings;
  platform::memory_platform Platform;
  std::unique_ptr<stand_ins::platform_server> Server;

  void read(common::yaml_section &Root) {
    Settings.Listen = Root.address("listen");
    Settings.Instances = Root.texts("instances");
    Settings.ListLag =
        Root.duration("list_lag", std::chrono::microseconds::zero());
  }

  absl::Status start(const std::string &PortFile) {
    std::vector<platform::listed_instance> Instances;
    for (const std::string &Name : Settings.Instances)
      Instances.push_back({Name, false});
    Platform.setInstances(std::move(Instances));
    Platform.setListLag(Settings.ListLag);
    auto Created =
        stand_ins::platform_server::create(Settings.Listen, Platform);
    if (!Created.ok())
      return Created.status();
    Server = *std::move(Created);
    common::log(common::log_level::Info, "Platform", "serving",
                {{"port", absl::StrCat(Server->port())}});
    return program::writePortFile(
        PortFile, absl::StrCat("platform ", Server->port(), "\n"));
  }
};

} // namespace

int main(int Argc, char **Argv) {
  process Process;
  program::daemon Daemon;
  Daemon.Name = "magnolia-platform";
  Daemon.Description =
      "Stand-in for the platform: table, object store and instance list.";
  Daemon.Read = [&](common::yaml_section &Root) { Process.read(Root); };
  Daemon.Start = [&](const std::string &PortFile) {
    return Process.start(PortFile);
  };
  Daemon.Stop = [&] { Process.Server.reset(); };
  return program::runDaemon(Argc, Argv, Daemon);
}

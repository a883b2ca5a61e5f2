#include <memory>

#include "Magnoliad/Node.h"
#include "Program/Daemon.h"
#include "Program/PortFile.h"

namespace {

using namespace magnolia;

/// State of the instance daemon for the hooks of the program.
struct instance_program {
  /// As last read; a reload applies only the settings of the Program component.
  daemon::settings Settings;
  std::unique_ptr<daemon::node> Node;

  absl::Status start(const std::string &PortFile) {
    auto Created = daemon::node::create(Settings);
    if (!Created.ok())
      return Created.status();
    Node = std::move(*Created);
    return program::writePortFile(PortFile, Node->portLines());
  }
};

} // namespace

int main(int Argc, char **Argv) {
  instance_program Program;
  program::daemon Daemon;
  Daemon.Name = "magnoliad";
  Daemon.Description = "Entry instance: serves callers, forwards to targets";
  Daemon.Read = [&](common::yaml_section &Root) {
    Program.Settings = daemon::readSettings(Root);
  };
  Daemon.Start = [&](const std::string &PortFile) {
    return Program.start(PortFile);
  };
  Daemon.Stop = [&] { Program.Node->stop(); };
  return program::runDaemon(Argc, Argv, Daemon);
}

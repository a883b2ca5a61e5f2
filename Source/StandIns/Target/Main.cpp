#include <memory>

#include <absl/strings/str_cat.h>

#include "Common/Log.h"
#include "Program/Daemon.h"
#include "Program/PortFile.h"
#include "StandIns/Target/Application.h"

namespace {

using namespace magnolia;
using stand_ins::application;
using stand_ins::application_settings;

constexpr int64_t MostSlots = 100'000;

uint32_t readCount(common::yaml_section &Root, std::string_view Key,
                   int64_t Default, int64_t Least) {
  const int64_t Value = Root.integer(Key, Default);
  if (Value >= Least && Value <= MostSlots)
    return static_cast<uint32_t>(Value);
  Root.fail(Key, absl::StrCat("must lie between ", Least, " and ", MostSlots));
  return static_cast<uint32_t>(Default);
}

application_settings readSettings(common::yaml_section &Root) {
  const application_settings Default;
  application_settings Settings;
  Settings.Listen = Root.address("listen", "127.0.0.1:0");
  Settings.Name = Root.text("name");
  Settings.Slots = readCount(Root, "slots", Default.Slots, 1);
  Settings.QueueLimit = readCount(Root, "queue_limit", Default.QueueLimit, 0);
  Settings.WorkTime = Root.duration("work_time", Default.WorkTime);
  Settings.RunLogFile = Root.text("run_log", "");
  return Settings;
}

} // namespace

int main(int Argc, char **Argv) {
  application_settings Settings;
  std::unique_ptr<application> Application;
  program::daemon Daemon;
  Daemon.Name = "magnolia-target";
  Daemon.Description = "A stand-in for a target, which can be made to fail";
  Daemon.Read = [&](common::yaml_section &Root) {
    Settings = readSettings(Root);
  };
  Daemon.Start = [&](const std::string &PortFile) -> absl::Status {
    Application = std::make_unique<application>(Settings);
    const auto Port = Application->start();
    if (!Port.ok())
      return Port.status();
    common::log(common::log_level::Info, "Target", "listening",
                {{"port", absl::StrCat(*Port)}, {"name", Settings.Name}});
    return program::writePortFile(PortFile,
                                  absl::StrCat("target ", *Port, "\n"));
  };
  Daemon.Stop = [&] { Application->finish(); };
  return program::runDaemon(Argc, Argv, Daemon);
}

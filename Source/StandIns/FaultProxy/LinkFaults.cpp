#include "StandIns/FaultProxy/LinkFaults.h"

#include <nlohmann/json.hpp>

#include "Common/StringView.h"

namespace magnolia::stand_ins {
namespace {

using nlohmann::json;
using milliseconds = std::chrono::duration<double, std::milli>;

double toMilliseconds(std::chrono::microseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

std::chrono::microseconds fromMilliseconds(double Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      milliseconds(Time));
}

absl::Status applyField(const std::string &Name, const json &Value,
                        link_command &Command) {
  link_faults &Faults = Command.Faults;
  if (Name == "delay_up_ms")
    Faults.DelayUp = fromMilliseconds(Value.get<double>());
  else if (Name == "delay_down_ms")
    Faults.DelayDown = fromMilliseconds(Value.get<double>());
  else if (Name == "cut_up")
    Faults.CutUp = Value.get<bool>();
  else if (Name == "cut_down")
    Faults.CutDown = Value.get<bool>();
  else if (Name == "freeze")
    Faults.Freeze = Value.get<bool>();
  else if (Name == "refuse")
    Faults.Refuse = Value.get<bool>();
  else if (Name == "drop_replies")
    Faults.DropReplies = Value.get<bool>();
  else if (Name == "reset")
    Command.Reset = Value.get<bool>();
  else if (Name == "forward")
    Command.Forward = Value.get<std::string>();
  else if (Name != "clear")
    return absl::InvalidArgumentError("no such field: " + Name);
  return absl::OkStatus();
}

} // namespace

absl::Status applyJson(std::string_view Json, link_command &Command) {
  try {
    const json Root = json::parse(Json);
    if (Root.value("clear", false))
      Command.Faults = {};
    for (const auto &[Name, Value] : Root.items()) {
      absl::Status Status = applyField(Name, Value, Command);
      if (!Status.ok())
        return Status;
    }
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return absl::OkStatus();
}

std::string toJson(const link_faults &Faults) {
  return json{{"delay_up_ms", toMilliseconds(Faults.DelayUp)},
              {"delay_down_ms", toMilliseconds(Faults.DelayDown)},
              {"cut_up", Faults.CutUp},
              {"cut_down", Faults.CutDown},
              {"freeze", Faults.Freeze},
              {"refuse", Faults.Refuse},
              {"drop_replies", Faults.DropReplies}}
      .dump();
}

} // namespace magnolia::stand_ins

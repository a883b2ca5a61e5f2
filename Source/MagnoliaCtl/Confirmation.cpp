#include "MagnoliaCtl/Confirmation.h"

#include <algorithm>
#include <map>
#include <ostream>

#include <absl/strings/str_join.h>

#include "MagnoliaCtl/Output.h"

namespace magnolia::ctl {
namespace {

using program::exit_code;

constexpr std::chrono::milliseconds PollInterval(200);

struct confirmations {
  /// Number of instances that must confirm.
  size_t Expected = 0;
  /// Descriptions of the instances that have not confirmed.
  std::vector<std::string> Missing;
};

std::string describeMissing(const instance_view &Instance) {
  if (!Instance.HasRow)
    return absl::StrCat(Instance.Name, " (never reported)");
  return absl::StrCat(Instance.Name, " (version ", Instance.Row.Version, " at ",
                      formatTime(Instance.Row.Updated), ")");
}

absl::StatusOr<confirmations> readConfirmations(const command_context &Context,
                                                uint64_t Version) {
  const auto Instances = readInstances(Context);
  if (!Instances.ok())
    return Instances.status();
  confirmations Outcome;
  for (const instance_view &Instance : *Instances) {
    if (!mustConfirm(Instance))
      continue;
    ++Outcome.Expected;
    if (!Instance.HasRow || Instance.Row.Version < Version)
      Outcome.Missing.push_back(describeMissing(Instance));
  }
  return Outcome;
}

exit_code printConfirmations(const command_context &Context, uint64_t Version,
                             const absl::StatusOr<confirmations> &Outcome) {
  if (!Outcome.ok())
    return fail(Context, Outcome.status());
  if (Outcome->Expected == 0) {
    *Context.Out << "there is no instance to confirm the version\n";
    return exit_code::Success;
  }
  if (Outcome->Missing.empty()) {
    *Context.Out << "version " << Version << " is in force on all "
                 << Outcome->Expected << " instances\n";
    return exit_code::Success;
  }
  *Context.Error << "version " << Version << " is accepted, but "
                 << Outcome->Missing.size() << " of " << Outcome->Expected
                 << " instances have not confirmed it: "
                 << absl::StrJoin(Outcome->Missing, ", ") << "\n";
  return exit_code::Unavailable;
}

} // namespace

absl::StatusOr<std::vector<instance_view>>
readInstances(const command_context &Context) {
  const auto List = Context.Services.Instances.Read();
  if (!List.ok())
    return List.status();
  const auto Rows = platform::readInstanceRows(Context.Services.Table);
  if (!Rows.ok())
    return Rows.status();
  std::map<std::string, instance_view> ByName;
  for (const platform::listed_instance &Listed : *List) {
    instance_view &View = ByName[Listed.Name];
    View.Listed = true;
    View.Draining = Listed.Draining;
  }
  const common::wall_time Oldest = Context.Now() - MaxFreshRowAge;
  for (const platform::instance_row &Row : *Rows) {
    instance_view &View = ByName[Row.Name];
    View.HasRow = true;
    View.Fresh = Row.Updated >= Oldest;
    View.Row = Row;
  }
  std::vector<instance_view> Instances;
  for (auto &[Name, View] : ByName) {
    View.Name = Name;
    Instances.push_back(std::move(View));
  }
  return Instances;
}

bool mustConfirm(const instance_view &Instance) {
  return (Instance.Listed && !Instance.Draining) || Instance.Fresh;
}

exit_code awaitConfirmations(const command_context &Context, uint64_t Version) {
  if (!Context.Wait)
    return exit_code::Success;
  std::chrono::milliseconds Remaining = *Context.Wait;
  while (true) {
    const auto Outcome = readConfirmations(Context, Version);
    if ((Outcome.ok() && Outcome->Missing.empty()) || Remaining.count() <= 0)
      return printConfirmations(Context, Version, Outcome);
    const auto Pause = std::min(Remaining, PollInterval);
    Context.Sleep(Pause);
    Remaining -= Pause;
  }
}

} // namespace magnolia::ctl

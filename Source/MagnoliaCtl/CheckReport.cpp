#include "MagnoliaCtl/CheckReport.h"

#include <algorithm>
#include <ostream>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include "Common/StringView.h"

namespace magnolia::ctl {
namespace {

using nlohmann::json;
using routing::entry_place;
using routing::finding;
using routing::severity;

std::string_view nameOf(severity Severity) {
  return Severity == severity::Error ? "error" : "warning";
}

/// Control characters, which a name may contain, would confuse a terminal.
std::string printable(std::string Text) {
  std::replace_if(
      Text.begin(), Text.end(),
      [](unsigned char Letter) { return absl::ascii_iscntrl(Letter); }, '?');
  return Text;
}

/// Such as "line 3, routes, row 2 'r-2', host".
std::string describe(const entry_place &Place) {
  std::vector<std::string> Parts;
  if (Place.Line > 0)
    Parts.push_back(absl::StrCat("line ", Place.Line));
  if (!Place.Table.empty())
    Parts.push_back(Place.Table);
  if (Place.Row > 0)
    Parts.push_back(absl::StrCat(
        "row ", Place.Row,
        Place.Name.empty() ? "" : absl::StrCat(" '", Place.Name, "'")));
  if (!Place.Column.empty())
    Parts.push_back(Place.Column);
  return Parts.empty() ? "file" : absl::StrJoin(Parts, ", ");
}

std::string toText(const finding &Finding) {
  return absl::StrCat(common::toAbsl(nameOf(Finding.Severity)), ": ",
                      describe(Finding.Place), ": ", Finding.Message, "; ",
                      common::toAbsl(Finding.Remedy), " [",
                      common::toAbsl(Finding.Check), "]");
}

std::string versionText(const comparison &Comparison) {
  return Comparison.Version ? absl::StrCat(" version ", *Comparison.Version)
                            : "";
}

void printText(const comparison &Comparison, std::ostream &Out) {
  Out << "against " << Comparison.With;
  if (!Comparison.Status.ok()) {
    Out << ": not compared: "
        << printable(std::string(Comparison.Status.message())) << "\n";
    return;
  }
  Out << versionText(Comparison) << ": " << Comparison.Changes.size()
      << " changes\n";
  for (const common::entry_change &Change : Comparison.Changes)
    Out << printable(common::toText(Change)) << "\n";
}

json toJson(const finding &Finding) {
  return {{"severity", nameOf(Finding.Severity)},
          {"check", Finding.Check},
          {"line", Finding.Place.Line},
          {"table", Finding.Place.Table},
          {"row", Finding.Place.Row},
          {"name", Finding.Place.Name},
          {"column", Finding.Place.Column},
          {"message", Finding.Message},
          {"remedy", Finding.Remedy}};
}

json toJson(const comparison &Comparison) {
  json Object = {{"with", Comparison.With}};
  if (!Comparison.Status.ok()) {
    Object["error"] = std::string(Comparison.Status.message());
    return Object;
  }
  if (Comparison.Version)
    Object["version"] = *Comparison.Version;
  Object["changes"] = json::array();
  for (const common::entry_change &Change : Comparison.Changes)
    Object["changes"].push_back({{"change", common::nameOf(Change.Kind)},
                                 {"kind", Change.Entity},
                                 {"name", Change.Name},
                                 {"detail", Change.Detail}});
  return Object;
}

} // namespace

size_t check_result::count(severity Severity) const {
  return static_cast<size_t>(std::count_if(
      Findings.begin(), Findings.end(), [Severity](const finding &Finding) {
        return Finding.Severity == Severity;
      }));
}

void printText(const check_result &Result, std::ostream &Out) {
  for (const finding &Finding : Result.Findings)
    Out << printable(toText(Finding)) << "\n";
  Out << Result.File << ": " << Result.count(severity::Error) << " errors, "
      << Result.count(severity::Warning) << " warnings (" << Result.Format
      << ")\n";
  if (Result.Comparison)
    printText(*Result.Comparison, Out);
}

void printJson(const check_result &Result, std::ostream &Out) {
  json Object = {{"file", Result.File},
                 {"format", Result.Format},
                 {"errors", Result.count(severity::Error)},
                 {"warnings", Result.count(severity::Warning)},
                 {"findings", json::array()}};
  for (const finding &Finding : Result.Findings)
    Object["findings"].push_back(toJson(Finding));
  if (Result.Comparison)
    Object["against"] = toJson(*Result.Comparison);
  Out << Object.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
}

} // namespace magnolia::ctl

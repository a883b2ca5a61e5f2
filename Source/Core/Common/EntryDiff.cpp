#include "Common/EntryDiff.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "Common/StringView.h"

namespace magnolia::common {
namespace {

std::string joinFields(const entry_fields &Fields) {
  std::vector<std::string> Parts;
  for (const auto &[Field, Value] : Fields)
    Parts.push_back(absl::StrCat(toAbsl(Field), " ", Value));
  return absl::StrJoin(Parts, ", ");
}

std::string joinChangedFields(const entry_fields &Old,
                              const entry_fields &New) {
  std::vector<std::string> Parts;
  for (const auto &[Field, Value] : New)
    if (const std::string &Before = Old.at(Field); Before != Value)
      Parts.push_back(absl::StrCat(toAbsl(Field), " ", Before, " -> ", Value));
  return absl::StrJoin(Parts, ", ");
}

void compare(const entry_group &Old, const entry_group &New,
             std::vector<entry_change> &Changes) {
  absl::btree_map<std::string, entry_change> ByName;
  for (const auto &[Name, Fields] : Old.Entries)
    if (!New.Entries.contains(Name))
      ByName[Name] = {New.Kind, change_kind::Removed, Name, joinFields(Fields)};
  for (const auto &[Name, Fields] : New.Entries) {
    const auto Before = Old.Entries.find(Name);
    if (Before == Old.Entries.end())
      ByName[Name] = {New.Kind, change_kind::Added, Name, joinFields(Fields)};
    else if (Before->second != Fields)
      ByName[Name] = {New.Kind, change_kind::Changed, Name,
                      joinChangedFields(Before->second, Fields)};
  }
  for (auto &[Name, Change] : ByName)
    Changes.push_back(std::move(Change));
}

std::string_view symbolOf(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return "+";
  case change_kind::Removed:
    return "-";
  case change_kind::Changed:
    return "~";
  }
  return "";
}

} // namespace

std::vector<entry_change> diffEntries(const std::vector<entry_group> &Old,
                                      const std::vector<entry_group> &New) {
  std::vector<entry_change> Changes;
  for (size_t Index = 0; Index < New.size(); ++Index)
    compare(Old.at(Index), New[Index], Changes);
  return Changes;
}

std::string_view nameOf(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return "added";
  case change_kind::Removed:
    return "removed";
  case change_kind::Changed:
    return "changed";
  }
  return "";
}

std::string yesNo(bool Flag) { return Flag ? "yes" : "no"; }

std::string toText(const entry_change &Change) {
  return absl::StrCat(toAbsl(symbolOf(Change.Kind)), " ", toAbsl(Change.Entity),
                      " ", Change.Name, ": ", Change.Detail);
}

} // namespace magnolia::common

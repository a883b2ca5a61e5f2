#include "Platform/ConfigStore.h"

#include <algorithm>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "Common/Digest.h"
#include "Common/StringView.h"
#include "Contract/Codec.h"
#include "Contract/Diff.h"

namespace magnolia::platform {
namespace {

using contract::configuration;
using nlohmann::json;

constexpr size_t ChangeIdBytes = 8;
/// Attempts per commit while the outcome is unknown because replies were lost.
constexpr int CommitAttempts = 6;
constexpr std::chrono::milliseconds InitialRetryDelay(50);
/// Attempts per change while concurrent changes are committed first.
constexpr int ConflictAttempts = 10;
constexpr size_t MaxAuditLines = 100;

std::string auditKey(uint64_t Version) {
  return absl::StrFormat("audit/%020u", Version);
}

std::string encodeHead(const config_head &Head) {
  const json Json = {{"version", Head.Version},
                     {"change_id", Head.ChangeId},
                     {"digest", Head.Digest},
                     {"actor", Head.Actor}};
  return Json.dump();
}

std::string encodeAudit(const audit_entry &Entry) {
  const json Json = {{"version", Entry.Version},
                     {"replaced", Entry.Replaced},
                     {"change_id", Entry.ChangeId},
                     {"actor", Entry.Actor},
                     {"when_unix_us", common::toUnixMicros(Entry.When)},
                     {"action", Entry.Action},
                     {"digest", Entry.Digest},
                     {"changes", Entry.Changes}};
  return Json.dump();
}

absl::StatusOr<audit_entry> decodeAudit(const row &Row) {
  try {
    const json Json = json::parse(Row.Value);
    audit_entry Entry;
    Json.at("version").get_to(Entry.Version);
    // Entries of program versions before this field do not have it.
    Entry.Replaced = Json.value("replaced", Entry.Version - 1);
    Json.at("change_id").get_to(Entry.ChangeId);
    Json.at("actor").get_to(Entry.Actor);
    Entry.When = common::fromUnixMicros(Json.at("when_unix_us").get<int64_t>());
    Json.at("action").get_to(Entry.Action);
    Json.at("digest").get_to(Entry.Digest);
    Json.at("changes").get_to(Entry.Changes);
    return Entry;
  } catch (const json::exception &Exception) {
    return absl::DataLossError(
        absl::StrCat("row ", Row.Key, ": ", Exception.what()));
  }
}

std::vector<std::string> auditLines(const configuration &Old,
                                    const configuration &New) {
  std::vector<std::string> Lines;
  const std::vector<common::entry_change> Changes = contract::diff(Old, New);
  for (const common::entry_change &Change : Changes) {
    if (Lines.size() == MaxAuditLines) {
      Lines.push_back(
          absl::StrCat("and ", Changes.size() - MaxAuditLines, " more"));
      break;
    }
    Lines.push_back(common::toText(Change));
  }
  return Lines;
}

/// The version of the change that follows \p Head. The first change of an era
/// gets a higher version than any of earlier eras, since instances may have one
/// of those in force that the table has lost.
uint64_t nextVersion(const config_head &Head) {
  constexpr uint64_t VersionsInEra = uint64_t{1} << 32;
  return std::max(Head.Version + 1, Head.Era * VersionsInEra);
}

config_store_hooks withDefaults(config_store_hooks Hooks) {
  if (!Hooks.NewChangeId)
    Hooks.NewChangeId = [] { return common::randomHex(ChangeIdBytes); };
  if (!Hooks.Sleep)
    Hooks.Sleep = [](std::chrono::milliseconds Delay) {
      std::this_thread::sleep_for(Delay);
    };
  return Hooks;
}

} // namespace

/// A prepared change. It can be committed repeatedly: its conditions let it
/// take effect at most once.
struct config_store::transaction {
  std::vector<condition> Conditions;
  std::vector<write> Writes;
  accepted_change Outcome;
};

absl::StatusOr<config_head> decodeHead(const row &Row) {
  config_head Head;
  Head.RowVersion = Row.Version;
  Head.Era = Row.Era;
  if (Row.Version == 0)
    return Head;
  try {
    const json Json = json::parse(Row.Value);
    Json.at("version").get_to(Head.Version);
    Json.at("change_id").get_to(Head.ChangeId);
    Json.at("digest").get_to(Head.Digest);
    Json.at("actor").get_to(Head.Actor);
    return Head;
  } catch (const json::exception &Exception) {
    return absl::DataLossError(
        absl::StrCat("row ", Row.Key, ": ", Exception.what()));
  }
}

config_store::config_store(services Services, config_store_hooks Hooks)
    : Services(std::move(Services)), Hooks(withDefaults(std::move(Hooks))) {}

absl::StatusOr<config_head> config_store::readHead() const {
  const auto Row = Services.Table.Get(ConfigHeadKey);
  if (!Row.ok())
    return Row.status();
  return decodeHead(*Row);
}

absl::StatusOr<configuration>
config_store::load(const config_head &Head) const {
  if (Head.Version == 0)
    return configuration{};
  const auto Bytes = Services.Objects.Get(Head.Digest);
  if (!Bytes.ok())
    return Bytes.status();
  if (common::sha256Hex(*Bytes) != Head.Digest)
    return absl::DataLossError(absl::StrCat("content of object ", Head.Digest,
                                            " does not match its digest"));
  auto Configuration = contract::decode(*Bytes);
  if (Configuration.ok() && Configuration->Version != Head.Version)
    return absl::DataLossError(
        absl::StrCat("object ", Head.Digest, " has an unexpected version"));
  return Configuration;
}

absl::StatusOr<accepted_change>
config_store::change(const change_request &Request) {
  auto Outcome = tryChange(Request);
  const int Attempts = Request.RetryOnConflict ? ConflictAttempts : 1;
  for (int Attempt = 1; Attempt < Attempts && absl::IsAborted(Outcome.status());
       ++Attempt) {
    Hooks.Sleep(InitialRetryDelay);
    Outcome = tryChange(Request);
  }
  return Outcome;
}

absl::StatusOr<accepted_change>
config_store::tryChange(const change_request &Request) {
  const auto Head = readHead();
  if (!Head.ok())
    return Head.status();
  if (Request.BasedOn && *Request.BasedOn != Head->Version)
    return conflict(Head->Version);
  auto Old = load(*Head);
  if (!Old.ok())
    return Old.status();
  configuration New = *Old;
  if (absl::Status Status = Request.Edit(New); !Status.ok())
    return Status;
  if (contract::encode(New) == contract::encode(*Old) && Head->Version > 0)
    return accepted_change{Head->Version, Head->ChangeId, false};
  const auto Transaction = prepare(*Head, Request, *Old, std::move(New));
  if (!Transaction.ok())
    return Transaction.status();
  return commit(*Transaction);
}

absl::StatusOr<config_store::transaction>
config_store::prepare(const config_head &Head, const change_request &Request,
                      const configuration &Old, configuration New) {
  New.Version = nextVersion(Head);
  const std::string Bytes = contract::encode(New);
  config_head Next;
  Next.Version = New.Version;
  Next.ChangeId = Hooks.NewChangeId();
  Next.Digest = common::sha256Hex(Bytes);
  Next.Actor = Request.Actor;
  // The object is written first: the head must never name a missing object.
  if (absl::Status Status = Services.Objects.Put(Next.Digest, Bytes);
      !Status.ok())
    return absl::UnavailableError(absl::StrCat(
        "cannot write the snapshot to the object store: ", Status.message()));
  const audit_entry Entry{Next.Version, Head.Version,        Next.ChangeId,
                          Next.Actor,   Hooks.Now(),         Request.Action,
                          Next.Digest,  auditLines(Old, New)};
  transaction Transaction;
  Transaction.Conditions = {{std::string(ConfigHeadKey), Head.RowVersion},
                            {auditKey(Next.Version), 0}};
  Transaction.Writes = {{std::string(ConfigHeadKey), encodeHead(Next)},
                        {auditKey(Next.Version), encodeAudit(Entry)}};
  Transaction.Outcome = {Next.Version, Next.ChangeId, true};
  return Transaction;
}

absl::StatusOr<accepted_change>
config_store::commit(const transaction &Transaction) {
  const accepted_change &Outcome = Transaction.Outcome;
  bool MayHaveTakenEffect = false;
  std::chrono::milliseconds Delay = InitialRetryDelay;
  for (int Attempt = 0; Attempt < CommitAttempts; ++Attempt) {
    const absl::Status Status =
        Services.Table.Commit(Transaction.Conditions, Transaction.Writes);
    if (Status.ok())
      return Outcome;
    if (!absl::IsAborted(Status) && !absl::IsUnknown(Status) &&
        !MayHaveTakenEffect)
      return Status;
    if (absl::IsUnknown(Status))
      MayHaveTakenEffect = true;
    // The audit row of a version never changes and names the change that
    // created the version. While it is absent, a delayed call may still arrive,
    // so the same commit is sent again: its conditions let only one take
    // effect.
    const auto Entry = findAudit(Outcome.Version);
    if (Entry.ok() && *Entry)
      return (*Entry)->ChangeId == Outcome.ChangeId
                 ? absl::StatusOr<accepted_change>(Outcome)
                 : conflict(Outcome.Version);
    if (absl::IsAborted(Status) && !MayHaveTakenEffect)
      return absl::AbortedError("another change was committed first");
    Hooks.Sleep(Delay);
    Delay *= 2;
  }
  return absl::UnknownError(
      absl::StrCat("no reply received: change ", Outcome.ChangeId,
                   " may have been accepted as version ", Outcome.Version,
                   "; check the audit trail"));
}

absl::StatusOr<std::optional<audit_entry>>
config_store::findAudit(uint64_t Version) const {
  const auto Row = Services.Table.Get(auditKey(Version));
  if (!Row.ok())
    return Row.status();
  if (Row->Version == 0)
    return std::nullopt;
  auto Entry = decodeAudit(*Row);
  if (!Entry.ok())
    return Entry.status();
  return *std::move(Entry);
}

absl::Status config_store::conflict(uint64_t Version) const {
  const auto Entry = findAudit(Version);
  if (!Entry.ok() || !*Entry)
    return absl::AbortedError(
        absl::StrCat("version ", Version, " is in force instead"));
  return absl::AbortedError(absl::StrCat(
      "version ", Version, " is in force instead: change ", (*Entry)->ChangeId,
      " (", (*Entry)->Action, ") by ", (*Entry)->Actor));
}

absl::StatusOr<std::vector<audit_entry>>
config_store::readAudit(size_t Limit) const {
  const auto Head = readHead();
  if (!Head.ok())
    return Head.status();
  std::vector<audit_entry> Entries;
  uint64_t Version = Head->Version;
  while (Version > 0 && Entries.size() < Limit) {
    auto Entry = findAudit(Version);
    if (!Entry.ok())
      return Entry.status();
    if (!*Entry)
      break;
    Version = (*Entry)->Replaced;
    Entries.push_back(**std::move(Entry));
  }
  return Entries;
}

} // namespace magnolia::platform

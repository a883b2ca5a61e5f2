#include "MagnoliaCtl/Check.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "Common/YamlReader.h"
#include "MagnoliaCtl/CheckReport.h"
#include "MagnoliaCtl/Output.h"

namespace magnolia::ctl {
namespace {

using program::exit_code;
using routing::configuration_format;
using routing::finding;
using routing::read_configuration;
using routing::severity;

/// A file and the format that recognized it.
struct opened_file {
  const configuration_format *Format = nullptr;
  read_configuration Content;
};

absl::StatusOr<opened_file>
openFile(const std::string &File,
         std::span<const configuration_format> Formats) {
  const auto Text = common::readFile(File);
  if (!Text.ok())
    return Text.status();
  const auto Format = std::find_if(
      Formats.begin(), Formats.end(),
      [&](const configuration_format &Each) { return Each.Recognizes(*Text); });
  if (Format == Formats.end())
    return absl::InvalidArgumentError(
        absl::StrCat(File, ": no known format of a configuration"));
  return opened_file{&*Format, Format->Read(*Text, File)};
}

void translate(std::string &Word, const configuration_format &Format) {
  if (const auto Found = Format.Terms.find(Word); Found != Format.Terms.end())
    Word = Found->second;
}

/// The version to compare with; none if none was asked for.
using other_version = std::optional<absl::StatusOr<read_configuration>>;

other_version readOther(const check_request &Request,
                        const configuration_format &Format,
                        std::span<const configuration_format> Formats) {
  if (!Request.Store.empty())
    return Format.ReadInForce(Request.Store);
  if (Request.Against.empty())
    return std::nullopt;
  auto Other = openFile(Request.Against, Formats);
  if (!Other.ok())
    return Other.status();
  if (Other->Format != &Format)
    return absl::InvalidArgumentError(
        absl::StrCat(Request.Against, " has another format"));
  return std::move(Other->Content);
}

/// What the reader and the named checks found.
std::vector<finding> findingsIn(opened_file &File, const check_request &Request,
                                const other_version &Other) {
  routing::check_options Options;
  Options.FleetRate = Request.FleetRate;
  if (Request.InstanceMemoryMb && File.Format->MessageBytes)
    Options.MessageBytes = File.Format->MessageBytes(*Request.InstanceMemoryMb);
  if (Other && Other->ok())
    Options.ServicesWithTargets = (*Other)->ServicesWithTargets;
  std::vector<finding> Findings = std::move(File.Content.Findings);
  for (finding &Finding :
       routing::checkConfiguration(File.Content.Readable, Options)) {
    translate(Finding.Place.Table, *File.Format);
    translate(Finding.Place.Column, *File.Format);
    Findings.push_back(std::move(Finding));
  }
  return Findings;
}

comparison compare(const read_configuration &Content,
                   const check_request &Request,
                   const absl::StatusOr<read_configuration> &Other) {
  comparison Comparison;
  Comparison.With = Request.Store.empty() ? Request.Against : Request.Store;
  if (!Other.ok()) {
    Comparison.Status = Other.status();
    return Comparison;
  }
  Comparison.Version = Other->Version;
  if (!Content.Readable.Whole || !Other->Readable.Whole)
    Comparison.Status = absl::InvalidArgumentError(
        absl::StrCat(Content.Readable.Whole ? Comparison.With : Request.File,
                     " has values that cannot be read"));
  else
    Comparison.Changes = common::diffEntries(Other->Entries, Content.Entries);
  return Comparison;
}

/// Whether a fleet with the version in force would take the new one.
void checkVersion(const read_configuration &Content, check_result &Result) {
  const comparison &Comparison = *Result.Comparison;
  if (!Comparison.Status.ok() || !Comparison.Version ||
      Comparison.Changes.empty())
    return;
  if (Content.Version && *Content.Version <= *Comparison.Version)
    Result.Findings.push_back(
        {severity::Error,
         "old-version",
         {0, "", 0, "", "version"},
         absl::StrCat("version ", *Content.Version, " is ignored: version ",
                      *Comparison.Version, " is in force"),
         "raise the version"});
  if (Content.BasedOn && *Content.BasedOn != *Comparison.Version)
    Result.Findings.push_back(
        {severity::Error,
         "old-version",
         {0, "", 0, "", "based_on"},
         absl::StrCat("based on version ", *Content.BasedOn, ", but version ",
                      *Comparison.Version, " is in force"),
         "generate the manifest from the version in force"});
}

exit_code exitCodeFor(const check_result &Result, bool Strict) {
  if (Result.count(severity::Error) > 0)
    return exit_code::InvalidInput;
  if (Result.Comparison && !Result.Comparison->Status.ok())
    return exitCodeOf(Result.Comparison->Status);
  return Strict && !Result.Findings.empty() ? exit_code::InvalidInput
                                            : exit_code::Success;
}

} // namespace

exit_code check(const command_context &Context, const check_request &Request,
                std::span<const configuration_format> Formats) {
  auto File = openFile(Request.File, Formats);
  if (!File.ok())
    return fail(Context, File.status());
  const other_version Other = readOther(Request, *File->Format, Formats);
  check_result Result{Request.File, File->Format->Name,
                      findingsIn(*File, Request, Other), std::nullopt};
  if (Other) {
    Result.Comparison = compare(File->Content, Request, *Other);
    checkVersion(File->Content, Result);
  }
  if (Request.Json)
    printJson(Result, *Context.Out);
  else
    printText(Result, *Context.Out);
  return exitCodeFor(Result, Request.Strict);
}

} // namespace magnolia::ctl

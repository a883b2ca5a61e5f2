#include "MagnoliaLoad/Directory.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace magnolia::load {
namespace {

constexpr const char *DirectoryPath = "/.magnolia/directory";
constexpr std::chrono::seconds AskTimeout{1};
constexpr std::chrono::milliseconds RetryDelay{500};
/// Part of the time to keep after which a caller asks again.
constexpr double RefreshPart = 0.8;
constexpr int64_t DefaultKeepMs = 10000;

} // namespace

directory::directory(const experiment &Experiment)
    : Experiment(Experiment), Client(AskTimeout), Random(Experiment.Seed) {
  const absl::MutexLock Lock(&Mutex);
  for (const workspace_load &Workspace : Experiment.Workspaces)
    Answers.emplace_back(Workspace.Entry.empty() ? Workspace.Callers : 0);
}

void directory::refresh(clock::time_point Now) {
  std::vector<std::pair<size_t, size_t>> Due;
  {
    const absl::MutexLock Lock(&Mutex);
    for (size_t Workspace = 0; Workspace < Answers.size(); ++Workspace)
      for (size_t Caller = 0; Caller < Answers[Workspace].size(); ++Caller)
        if (Answers[Workspace][Caller].RefreshAt <= Now)
          Due.emplace_back(Workspace, Caller);
  }
  for (const auto &[Workspace, Caller] : Due)
    askAny(Workspace, Caller, Now);
}

std::vector<std::string> directory::addressesFor(size_t Workspace,
                                                 uint32_t Caller) const {
  const std::string &Entry = Experiment.Workspaces[Workspace].Entry;
  if (!Entry.empty())
    return {Entry};
  const absl::MutexLock Lock(&Mutex);
  return Answers[Workspace][Caller].Addresses;
}

uint64_t directory::failures() const {
  const absl::MutexLock Lock(&Mutex);
  return Failures;
}

/// Asks the instances in a random order until one answers.
void directory::askAny(size_t Workspace, size_t Caller, clock::time_point Now) {
  std::vector<std::string> Entries = Experiment.Entries;
  std::shuffle(Entries.begin(), Entries.end(), Random);
  kept_answer Answer;
  const bool Answered = std::any_of(
      Entries.begin(), Entries.end(), [&](const std::string &Entry) {
        return ask(Entry, Experiment.Workspaces[Workspace].Key, Now, Answer);
      });
  const absl::MutexLock Lock(&Mutex);
  kept_answer &Kept = Answers[Workspace][Caller];
  if (Answered) {
    Kept = std::move(Answer);
    return;
  }
  ++Failures;
  Kept.RefreshAt = Now + RetryDelay;
}

bool directory::ask(const std::string &Entry, const std::string &Key,
                    clock::time_point Now, kept_answer &Answer) {
  const page Page = Client.get(Entry, DirectoryPath, Key);
  const auto Json = nlohmann::json::parse(Page.Body, nullptr, false);
  if (!Page.Arrived || !Json.is_object() || !Json.contains("instances"))
    return false;
  for (const auto &Instance : Json["instances"])
    Answer.Addresses.push_back(Instance.value("address", ""));
  const auto Keep =
      static_cast<double>(Json.value("keep_ms", DefaultKeepMs)) * RefreshPart;
  Answer.RefreshAt =
      Now + std::chrono::milliseconds(static_cast<int64_t>(Keep));
  return !Answer.Addresses.empty();
}

} // namespace magnolia::load

#include "Gateway/TableFollower.h"

#include <algorithm>

#include <absl/random/distributions.h>

namespace magnolia::gateway {
namespace {

/// The first read after a switch shows at once whether the store answers.
constexpr std::chrono::milliseconds ProofWait{1};

} // namespace

void table_follower::switchOn() {
  Wanted = true;
  if (Running)
    return;
  Running = true;
  Proven = false;
  if (Copy.hasContent())
    NeedsWhole = false;
  next();
}

void table_follower::next() {
  if (!Wanted) {
    Running = false;
    return;
  }
  if (NeedsWhole)
    readWhole("");
  else
    follow();
}

void table_follower::readWhole(const std::string &From) {
  if (From.empty()) {
    Pages.clear();
    PagesVersion = 0;
  }
  Table.Read(From, [this](store_reply Reply) { onPage(std::move(Reply)); });
}

void table_follower::onPage(store_reply Reply) {
  if (Reply.Result != store_result::Done) {
    onFailure(Reply.Result);
    return;
  }
  // Changes between two pages are seen again in the feed from the first one.
  if (PagesVersion == 0)
    PagesVersion = Reply.Version;
  const bool More = Reply.Truncated && !Reply.Rows.empty();
  std::string Next;
  if (More)
    Next = Reply.Rows.back().Key + '\1';
  std::move(Reply.Rows.begin(), Reply.Rows.end(), std::back_inserter(Pages));
  if (More) {
    readWhole(Next);
    return;
  }
  onSuccess();
  NeedsWhole = false;
  Copy.applySnapshot(Pages, PagesVersion);
  Pages.clear();
  Hooks.OnWhole();
  next();
}

void table_follower::follow() {
  const duration Wait = Proven ? Settings.Wait : ProofWait;
  Table.Follow(Copy.knownThrough(), Wait, [this](const store_reply &Reply) {
    if (Reply.Result == store_result::Done)
      onChanges(Reply);
    else
      onFailure(Reply.Result);
  });
}

void table_follower::onChanges(const store_reply &Reply) {
  onSuccess();
  const uint64_t Before = Copy.lastChange();
  const std::vector<stored_row> News =
      Copy.applyChanges(Reply.Rows, Reply.Version);
  if (!News.empty())
    Hooks.OnNews(Before, News);
  // Changes that come in quick succession are read together.
  if (Reply.Rows.empty() || Settings.Gather == duration::zero())
    next();
  else
    pauseThen(Settings.Gather);
}

void table_follower::onSuccess() {
  if (!Proven)
    ProvenSince = Loop.now();
  Proven = true;
  RetryDelay = duration::zero();
  if (!Away)
    return;
  Away = false;
  BackSince = Loop.now();
  Hooks.OnReachability(false);
}

fleet::reading_state table_follower::state() const {
  if (!Running || !Wanted)
    return fleet::reading_state::NotReading;
  const bool LatelyAway =
      EverAway && Loop.now() - BackSince < Settings.LapseGrace;
  if (Away || LatelyAway)
    return fleet::reading_state::Failing;
  if (!Proven)
    return fleet::reading_state::NotReading;
  const bool Long =
      Loop.now() - std::max(ProvenSince, BackSince) >= Settings.LapseGrace;
  return Long ? fleet::reading_state::LongSteady : fleet::reading_state::Steady;
}

void table_follower::onFailure(store_result Result) {
  if (Result == store_result::HistoryLost) {
    NeedsWhole = true;
    next();
    return;
  }
  EverAway = true;
  if (!Away) {
    Away = true;
    Hooks.OnReachability(true);
  }
  const duration Longest =
      Patient ? Settings.LongestPatientRetry : Settings.LongestRetry;
  RetryDelay = std::clamp(RetryDelay * 2, Settings.FirstRetry, Longest);
  const double Jitter = absl::Uniform(Random, 0.5, 1.0);
  pauseThen(std::chrono::duration_cast<duration>(RetryDelay * Jitter));
}

void table_follower::pauseThen(duration Delay) {
  Loop.callAfter(Delay, [this] { next(); });
}

} // namespace magnolia::gateway

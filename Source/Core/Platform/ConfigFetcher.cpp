#include "Platform/ConfigFetcher.h"

#include <algorithm>
#include <utility>

#include "Common/Digest.h"

namespace magnolia::platform {

using common::boot_time;

void config_fetcher::want(boot_time Now, uint64_t Version,
                          const std::string &Digest,
                          const std::string &Holder) {
  if (Wanted && Wanted->Version > Version)
    return;
  if (!Wanted || Wanted->Version < Version) {
    Wanted = target{Version, Digest, {}};
    Running = false;
    PreferPeer = !Holder.empty();
    Due = Now;
  }
  std::vector<std::string> &Holders = Wanted->Holders;
  if (!Holder.empty() &&
      std::find(Holders.begin(), Holders.end(), Holder) == Holders.end())
    Holders.push_back(Holder);
  advance(Now);
}

void config_fetcher::forget(uint64_t Version) {
  if (!Wanted || Wanted->Version > Version)
    return;
  Wanted.reset();
  Running = false;
}

void config_fetcher::advance(boot_time Now) {
  if (!Wanted || Now < Due)
    return;
  if (Running)
    fail(Now);
  else
    begin(Now);
}

void config_fetcher::begin(boot_time Now) {
  Running = true;
  ++Attempt;
  Received.clear();
  Due = Now + Settings.Timeout;
  const std::vector<std::string> &Holders = Wanted->Holders;
  if (PreferPeer && !Holders.empty()) {
    Source = Holders[Hooks.Random() % Holders.size()];
    Hooks.Send(Source, config_fetch{Wanted->Digest, 0});
    return;
  }
  Source.clear();
  // The hook may answer at once, which can end this fetch.
  const std::string Digest = Wanted->Digest;
  Hooks.FetchObject(Attempt, Digest);
}

void config_fetcher::fail(boot_time Now) {
  ++Failures;
  Running = false;
  PreferPeer = !PreferPeer;
  Due = Now + Settings.RetryDelay;
}

void config_fetcher::take(boot_time Now, const std::string &Bytes) {
  if (common::sha256Hex(Bytes) != Wanted->Digest) {
    fail(Now);
    return;
  }
  const uint64_t Version = Wanted->Version;
  Wanted.reset();
  Running = false;
  Hooks.Done(Version, Bytes);
}

void config_fetcher::onObject(boot_time Now, uint64_t Id,
                              const absl::StatusOr<std::string> &Bytes) {
  if (!Wanted || !Running || Id != Attempt || !Source.empty())
    return;
  if (Bytes.ok())
    take(Now, *Bytes);
  else
    fail(Now);
}

void config_fetcher::onPiece(boot_time Now, const std::string &Peer,
                             const config_piece &Piece) {
  if (!Wanted || !Running || Peer != Source || Source.empty() ||
      Piece.Digest != Wanted->Digest || Piece.Offset != Received.size())
    return;
  if (Piece.Bytes.empty() || Piece.Total > Settings.MaxBytes ||
      Piece.Offset + Piece.Bytes.size() > Piece.Total) {
    fail(Now);
    return;
  }
  Received += Piece.Bytes;
  if (Received.size() == Piece.Total) {
    const std::string Whole = std::exchange(Received, {});
    take(Now, Whole);
    return;
  }
  Due = Now + Settings.Timeout;
  Hooks.Send(Source, config_fetch{Wanted->Digest, Received.size()});
}

} // namespace magnolia::platform

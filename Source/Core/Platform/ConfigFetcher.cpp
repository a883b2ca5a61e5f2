#include "Platform/ConfigFetcher.h"

#include <algorithm>
#include <utility>

#include "Common/Digest.h"

namespace magnolia::platform {

using common::boot_time;

void config_fetcher::request(boot_time Now, uint64_t Version,
                             const std::string &Digest,
                             const std::string &Holder) {
  if (Wanted && Wanted->Version > Version)
    return;
  if (!Wanted || Wanted->Version < Version) {
    Wanted = wanted_version{Version, Digest, {}};
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

void config_fetcher::cancelUpTo(uint64_t Version) {
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
    startAttempt(Now);
}

void config_fetcher::startAttempt(boot_time Now) {
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
  // The hook may call onObject synchronously, which can reset Wanted.
  const std::string Digest = Wanted->Digest;
  Hooks.FetchObject(Attempt, Digest);
}

void config_fetcher::fail(boot_time Now) {
  ++Failures;
  Running = false;
  PreferPeer = !PreferPeer;
  Due = Now + Settings.RetryDelay;
}

void config_fetcher::complete(boot_time Now, const std::string &Bytes) {
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
    complete(Now, *Bytes);
  else
    fail(Now);
}

void config_fetcher::onChunk(boot_time Now, const std::string &Peer,
                             const config_chunk &Chunk) {
  if (!Wanted || !Running || Peer != Source || Source.empty() ||
      Chunk.Digest != Wanted->Digest || Chunk.Offset != Received.size())
    return;
  if (Chunk.Bytes.empty() || Chunk.Total > Settings.MaxBytes ||
      Chunk.Offset + Chunk.Bytes.size() > Chunk.Total) {
    fail(Now);
    return;
  }
  Received += Chunk.Bytes;
  if (Received.size() == Chunk.Total) {
    const std::string Complete = std::exchange(Received, {});
    complete(Now, Complete);
    return;
  }
  Due = Now + Settings.Timeout;
  Hooks.Send(Source, config_fetch{Wanted->Digest, Received.size()});
}

} // namespace magnolia::platform

#include "Admission/MemoryShares.h"

#include <algorithm>
#include <utility>

namespace magnolia::admission {

std::unique_ptr<memory_shares::holding>
memory_shares::open(const memory_owner &Owner) {
  return std::unique_ptr<holding>(new holding(shared_from_this(), Owner));
}

void memory_shares::resumeWaiting() {
  for (const auto &Resume : std::exchange(Waiting, {}))
    Resume();
}

void memory_shares::eraseIfUnused(const std::string &Service) {
  const auto Found = Services.find(Service);
  if (Found != Services.end() && Found->second.Targets.empty() &&
      Found->second.Unfetched == 0)
    Services.erase(Found);
}

size_t memory_shares::missingBytes() const {
  size_t Missing = Used > nearlyAll() ? Used - nearlyAll() : 0;
  for (const auto &[Name, Service] : Services)
    for (const auto &[Key, Target] : Service.Targets)
      for (const holding *Message : Target.Messages) {
        if (Message->Wanted <= Message->Bytes)
          continue;
        const size_t Lacks = Message->missingFor(Message->Wanted);
        if (Lacks > Unfetched + Service.Unfetched)
          continue;
        // Bytes of the own service count twice.
        const size_t Own = std::min(Service.Unfetched, (Lacks + 1) / 2);
        Missing += Own + (Lacks > 2 * Own ? Lacks - 2 * Own : 0);
      }
  return std::min(Missing, Unfetched);
}

memory_shares::holding::holding(std::shared_ptr<memory_shares> Given,
                                memory_owner Owner)
    : Shares(std::move(Given)), Owner(std::move(Owner)) {
  Shares->Services[this->Owner.Service]
      .Targets[this->Owner.Target]
      .Messages.push_back(this);
}

memory_shares::holding::~holding() {
  if (IsComplete)
    Shares->Complete -= Bytes;
  else
    leaveTarget();
  if (IsUnfetched) {
    Shares->Unfetched -= Bytes;
    Shares->Services[Owner.Service].Unfetched -= Bytes;
    Shares->eraseIfUnused(Owner.Service);
  }
  Shares->Used -= Bytes;
  if (Bytes > 0 && !Shares->Waiting.empty() && Shares->OnRoom)
    Shares->OnRoom();
}

void memory_shares::holding::leaveTarget() {
  const auto Service = Shares->Services.find(Owner.Service);
  auto &Targets = Service->second.Targets;
  const auto Target = Targets.find(Owner.Target);
  Service->second.Held -= Bytes;
  Target->second.Held -= Bytes;
  std::erase(Target->second.Messages, this);
  if (Target->second.Messages.empty())
    Targets.erase(Target);
  Shares->eraseIfUnused(Owner.Service);
}

size_t memory_shares::holding::missingFor(size_t Size) const {
  const service_use &Service = Shares->Services.at(Owner.Service);
  const size_t More = Size - Bytes;
  // What the target holds then may be as much as its service leaves free.
  const size_t Needed = Service.Targets.at(Owner.Target).Held + More +
                        Service.Held + Service.Unfetched + More + Shares->Used +
                        More;
  return Needed > Shares->Limit ? Needed - Shares->Limit : 0;
}

bool memory_shares::holding::tryGrowTo(size_t Size) {
  Wanted = Size;
  if (Size <= Bytes)
    return true;
  if (Size > SmallBytes && missingFor(Size) > 0)
    return false;
  const size_t More = Size - Bytes;
  service_use &Service = Shares->Services[Owner.Service];
  Shares->Used += More;
  Service.Held += More;
  Service.Targets[Owner.Target].Held += More;
  Bytes = Size;
  return true;
}

void memory_shares::holding::wait(std::function<void()> Resume) {
  Shares->Waiting.push_back(std::move(Resume));
}

void memory_shares::holding::setComplete() {
  if (IsComplete)
    return;
  leaveTarget();
  IsComplete = true;
  Shares->Complete += Bytes;
}

void memory_shares::holding::setUnfetched() {
  setComplete();
  if (std::exchange(IsUnfetched, true))
    return;
  Shares->Unfetched += Bytes;
  Shares->Services[Owner.Service].Unfetched += Bytes;
}

bool memory_shares::holding::isLargest() const {
  if (IsComplete)
    return false;
  const auto &Targets = Shares->Services.at(Owner.Service).Targets;
  const target_use &Own = Targets.at(Owner.Target);
  const bool LargestTarget =
      std::all_of(Targets.begin(), Targets.end(), [&](const auto &Entry) {
        return Entry.second.Held <= Own.Held;
      });
  return LargestTarget && std::all_of(Own.Messages.begin(), Own.Messages.end(),
                                      [&](const holding *Other) {
                                        return Other->Bytes <= Bytes;
                                      });
}

} // namespace magnolia::admission

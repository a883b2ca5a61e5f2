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
  if (Targets.empty())
    Shares->Services.erase(Service);
}

bool memory_shares::holding::tryGrowTo(size_t Wanted) {
  if (Wanted <= Bytes)
    return true;
  const size_t More = Wanted - Bytes;
  service_use &Service = Shares->Services[Owner.Service];
  target_use &Target = Service.Targets[Owner.Target];
  const size_t Taken = Shares->Used + More + Service.Held + More;
  const size_t Free = Shares->Limit > Taken ? Shares->Limit - Taken : 0;
  if (Wanted > SmallBytes && Target.Held + More > Free)
    return false;
  Shares->Used += More;
  Service.Held += More;
  Target.Held += More;
  Bytes = Wanted;
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

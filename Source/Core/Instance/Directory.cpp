#include "Instance/Directory.h"

#include <algorithm>
#include <map>

#include "Common/Digest.h"

namespace magnolia::instance {
namespace {

using members = std::vector<const member *>;

members withPresence(absl::Span<const member> All, presence Presence) {
  members Found;
  for (const member &Each : All)
    if (Each.Presence == Presence)
      Found.push_back(&Each);
  return Found;
}

/// Puts \p Group in an order of the caller's own that takes one instance of
/// each failure domain in turn, the caller's own domain first.
members spread(const members &Group, const directory_query &Question) {
  std::map<uint64_t, members> Domains;
  for (const member *Each : Group) {
    const std::string &Domain = Each->Info.FailureDomain;
    const bool Near = Domain == Question.FailureDomain;
    // Zero comes first; other domains follow in the caller's order.
    const uint64_t Rank =
        Near ? 0 : common::stableHash(Domain, Question.CallerSeed) | 1;
    Domains[Rank].push_back(Each);
  }
  size_t Longest = 0;
  for (auto &[Rank, Domain] : Domains) {
    std::sort(Domain.begin(), Domain.end(),
              [&](const member *A, const member *B) {
                return common::stableHash(A->Info.Name, Question.CallerSeed) <
                       common::stableHash(B->Info.Name, Question.CallerSeed);
              });
    Longest = std::max(Longest, Domain.size());
  }
  members Order;
  for (size_t Turn = 0; Turn < Longest; ++Turn)
    for (const auto &[Rank, Domain] : Domains)
      if (Turn < Domain.size())
        Order.push_back(Domain[Turn]);
  return Order;
}

} // namespace

directory_response queryDirectory(absl::Span<const member> All,
                                 const directory_query &Question,
                                 const directory_settings &Settings) {
  if (All.empty())
    return {};
  members Usable = withPresence(All, presence::Alive);
  const members Suspect = withPresence(All, presence::Suspect);
  // Who hears few others may be cut off itself.
  const bool Doubtful = Usable.size() <= Suspect.size();
  for (const presence Next :
       {presence::Leaving, presence::Suspect, presence::Gone})
    if (Usable.empty())
      Usable = withPresence(All, Next);

  const auto IsHome = [&](const member *Each) {
    return std::find(Question.Owners.begin(), Question.Owners.end(),
                     Each->Info.Name) != Question.Owners.end();
  };
  const auto Split =
      std::stable_partition(Usable.begin(), Usable.end(), IsHome);
  members Order = spread({Usable.begin(), Split}, Question);
  for (const member *Each : spread({Split, Usable.end()}, Question))
    Order.push_back(Each);

  if (Doubtful && Usable.front()->Presence == presence::Alive)
    for (const member *Each : spread(Suspect, Question))
      Order.push_back(Each);

  directory_response Answer;
  Answer.KeepFor = Doubtful ? Settings.KeepDoubtfulFor : Settings.KeepFor;
  for (const member *Each : Order) {
    if (Answer.Instances.size() == Settings.Entries)
      break;
    Answer.Instances.push_back(
        {Each->Info.CallerAddress, Each->Info.FailureDomain});
  }
  return Answer;
}

} // namespace magnolia::instance

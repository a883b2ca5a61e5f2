#include "Fleet/ColdTargets.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

/// The distance between requests of which there are \p PerSecond.
duration gapOf(double PerSecond) {
  constexpr std::chrono::hours Longest{24};
  const std::chrono::duration<double> Gap(1 / PerSecond);
  return Gap < Longest ? std::chrono::duration_cast<duration>(Gap) : Longest;
}

struct candidate {
  bool InOtherDomain = false;
  uint64_t Position = 0;
  std::string_view Name;
  size_t Index = 0;

  friend bool operator<(const candidate &Left, const candidate &Right) {
    return std::tie(Left.InOtherDomain, Left.Position, Left.Name) <
           std::tie(Right.InOtherDomain, Right.Position, Right.Name);
  }
};

/// The indices of the members that may send to a target, the preferred ones
/// first.
std::vector<size_t> orderOf(absl::Span<const fleet_member> Members,
                            placement::target_key Target,
                            std::string_view FailureDomain) {
  std::vector<candidate> Candidates;
  for (size_t Index = 0; Index < Members.size(); ++Index) {
    const fleet_member &Member = Members[Index];
    if (Member.State != member_state::Inactive)
      Candidates.push_back({Member.FailureDomain != FailureDomain,
                            common::stableHash(Member.Name, Target),
                            Member.Name, Index});
  }
  std::sort(Candidates.begin(), Candidates.end());
  std::vector<size_t> Order;
  Order.reserve(Candidates.size());
  for (const candidate &Candidate : Candidates)
    Order.push_back(Candidate.Index);
  return Order;
}

/// Whether more than half of the fleet is known to be alive.
bool hearsMost(absl::Span<const fleet_member> Members) {
  const auto Silent =
      std::count_if(Members.begin(), Members.end(), [](const auto &Member) {
        return Member.State == member_state::Silent;
      });
  return static_cast<size_t>(Silent) * 2 < Members.size();
}

} // namespace

cold_senders chooseColdSenders(absl::Span<const fleet_member> Members,
                               placement::target_key Target,
                               std::string_view FailureDomain, double PerSecond,
                               const cold_settings &Settings) {
  std::vector<size_t> Order = orderOf(Members, Target, FailureDomain);
  const double Wanted = std::floor(static_cast<double>(Settings.MinSenders) +
                                   PerSecond / Settings.PerSender);
  const auto Count =
      static_cast<size_t>(std::min(Wanted, static_cast<double>(Order.size())));
  const auto IsSilent = [&](size_t Index) {
    return Members[Index].State == member_state::Silent;
  };
  const auto End = Order.begin() + static_cast<ptrdiff_t>(Count);
  const bool HearsMost = hearsMost(Members);
  const bool MayBeDoubled =
      !HearsMost || std::any_of(Order.begin(), End, IsSilent);
  if (HearsMost)
    std::erase_if(Order, IsSilent);
  Order.resize(std::min(Count, Order.size()));
  if (Order.empty())
    return {};
  const double Each = PerSecond / static_cast<double>(Order.size());
  return {std::move(Order), MayBeDoubled ? Each / 2 : Each};
}

void cold_targets::setMembers(std::vector<fleet_member> Known, boot_time Now) {
  Members = std::move(Known);
  if (!Members.empty() && !MembersSince)
    MembersSince = Now;
}

bool cold_targets::put(const cold_target &Target, boot_time Now) {
  const cold_senders Senders = chooseColdSenders(
      Members, Target.Key, Target.FailureDomain, Target.PerSecond, Settings);
  const auto Own = std::find_if(
      Senders.Members.begin(), Senders.Members.end(),
      [&](size_t Index) { return Members[Index].Name == OwnName; });
  const bool IsSender = Own != Senders.Members.end();
  const auto [Found, IsNew] = Targets.try_emplace(Target.Key);
  share &Share = Found->second;
  if (IsSender && Share.PerSecond == 0) {
    // What was sent in the last moments by others, or by this instance before
    // it started, is unknown to it.
    const bool KnowsLast = IsNew && Now - *MembersSince >= Settings.Handover;
    const auto Position = Own - Senders.Members.begin();
    Share.UsableFrom = (KnowsLast ? Now : Now + Settings.Handover) +
                       gapOf(Target.PerSecond) * Position;
  }
  Share.PerSecond = IsSender ? Senders.PerSecond : 0;
  Share.SenderFraction = Members.empty()
                             ? 1
                             : static_cast<double>(Senders.Members.size()) /
                                   static_cast<double>(Members.size());
  return IsNew;
}

bool cold_targets::remove(placement::target_key Target) {
  return Targets.erase(Target) > 0;
}

void cold_targets::keepOnly(
    const absl::flat_hash_set<placement::target_key> &Keys) {
  absl::erase_if(
      Targets, [&](const auto &Entry) { return !Keys.contains(Entry.first); });
}

std::optional<boot_time> cold_targets::nextUse(placement::target_key Target,
                                               boot_time Now) const {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return Now;
  const share &Share = Found->second;
  if (Share.PerSecond <= 0)
    return std::nullopt;
  if (Share.LastUse == boot_time())
    return Share.UsableFrom;
  return std::max(Share.UsableFrom, Share.LastUse + gapOf(Share.PerSecond));
}

void cold_targets::countUse(placement::target_key Target, boot_time Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.LastUse = std::max(Found->second.LastUse, Now);
}

double cold_targets::senderFraction(placement::target_key Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? 1 : Found->second.SenderFraction;
}

} // namespace magnolia::fleet

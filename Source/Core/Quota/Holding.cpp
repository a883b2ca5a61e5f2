#include "Quota/Holding.h"

#include <algorithm>

namespace magnolia::quota {

holding::holding(nano_rate Rate, nano_tokens Capacity, uint64_t Epoch,
                 common::boot_time Since)
    : FullRate(Rate), FullCapacity(Capacity), Bucket(Rate, Capacity, 0, Since),
      Epoch(Epoch) {}

void holding::resize(nano_rate Rate, nano_tokens Capacity,
                     common::boot_time Now) {
  advance(Now);
  FullRate = Rate;
  FullCapacity = Capacity;
  updateLimits(Now);
}

void holding::forfeit(uint64_t NewEpoch, common::boot_time Now) {
  FullRate = 0;
  FullCapacity = 0;
  Epoch = NewEpoch;
  updateLimits(Now);
  Bucket.clear(Now);
}

void holding::advance(common::boot_time Now) {
  Bucket.accrue(Now);
  if (Now < NextEnd)
    return;
  absl::erase_if(Loans,
                 [&](const auto &Entry) { return Now >= Entry.second.Ends; });
  updateLimits(Now);
}

void holding::reserve(nano_tokens Amount, common::boot_time Now) {
  Bucket.reserve(Amount, Now);
}

void holding::settle(nano_tokens Amount, common::boot_time Now) {
  Bucket.settle(Amount, Now);
}

void holding::cancel(nano_tokens Amount, common::boot_time Now) {
  Bucket.cancel(Amount, Now);
}

lend_query holding::query(const loan_request &Request,
                          nano_rate OwnDemand) const {
  lend_query Query;
  Query.Rate = Bucket.rate();
  Query.Capacity =
      std::max<nano_tokens>(0, Bucket.capacity() - Bucket.reserved());
  Query.Available = Bucket.available();
  Query.OwnDemand = OwnDemand;
  Query.Wanted = Request.Wanted;
  Query.WantedRate = Request.WantedRate;
  return Query;
}

std::optional<loan_grant>
holding::findGrant(std::string_view Peer, const loan_request &Request) const {
  for (const auto &[Id, Loan] : Loans)
    if (Loan.Peer == Peer && Loan.Grant.Request == Request.Request)
      return Loan.Grant;
  return std::nullopt;
}

loan_grant holding::lend(std::string_view Peer, const loan_request &Request,
                         const lend_offer &Offer, transfer_id Loan,
                         duration Term, common::boot_time Now) {
  loan_grant Grant;
  Grant.Request = Request.Request;
  Grant.Loan = Loan;
  Grant.Workspace = Request.Workspace;
  Grant.Rate = Offer.Rate;
  Grant.Capacity = Offer.Capacity;
  Grant.Tokens = Offer.Tokens;
  Grant.Term = Term;
  Bucket.remove(Offer.Tokens, Now);
  Loans.emplace(Loan.Number, lent_loan{std::string(Peer), Grant, Now + Term});
  updateLimits(Now);
  return Grant;
}

void holding::acceptReturn(std::string_view Peer, const loan_return &Return,
                           common::boot_time Now) {
  advance(Now);
  const auto Found = Loans.find(Return.Loan.Number);
  if (Found == Loans.end() || Found->second.Peer != Peer ||
      !(Found->second.Grant.Loan == Return.Loan))
    return;
  const nano_tokens Tokens =
      std::min(Return.Tokens, Found->second.Grant.Capacity);
  Loans.erase(Found);
  updateLimits(Now);
  Bucket.add(Tokens, Now);
}

common::boot_time holding::lastLoanEnd(common::boot_time Now) const {
  common::boot_time Last = Now;
  for (const auto &[Id, Loan] : Loans)
    Last = std::max(Last, Loan.Ends);
  return Last;
}

void holding::updateLimits(common::boot_time Now) {
  nano_rate Rate = FullRate;
  nano_tokens Capacity = FullCapacity;
  NextEnd = common::boot_time::max();
  for (const auto &[Id, Loan] : Loans) {
    Rate -= Loan.Grant.Rate;
    Capacity -= Loan.Grant.Capacity;
    NextEnd = std::min(NextEnd, Loan.Ends);
  }
  // Negative after the rate was lowered, until enough loans have ended.
  Bucket.resize(std::max<nano_rate>(0, Rate),
                std::max<nano_tokens>(0, Capacity), Now);
}

} // namespace magnolia::quota

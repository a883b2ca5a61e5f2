#include "Quota/Borrowings.h"

#include <algorithm>

namespace magnolia::quota {

void borrowings::accept(std::string_view Lender, const loan_grant &Grant,
                        expiry Ends, instant Now) {
  if (Ends.passed(Now) || find(Grant.Loan))
    return;
  loan Loan{Grant.Loan, std::string(Lender),
            token_bucket(Grant.Rate, Grant.Capacity, Grant.Tokens, Now.Boot),
            Ends, Now.Boot};
  const auto After =
      std::upper_bound(Loans.begin(), Loans.end(), Ends.Boot,
                       [](common::boot_time Boot, const loan &Other) {
                         return Boot < Other.Ends.Boot;
                       });
  Loans.insert(After, std::move(Loan));
}

void borrowings::advance(instant Now) {
  std::erase_if(Loans, [&](const loan &Loan) { return Loan.Ends.passed(Now); });
  for (loan &Loan : Loans)
    Loan.Bucket.accrue(Now.Boot);
}

nano_tokens borrowings::available() const {
  nano_tokens Sum = 0;
  for (const loan &Loan : Loans)
    Sum += Loan.Bucket.available();
  return Sum;
}

nano_rate borrowings::rate() const {
  nano_rate Sum = 0;
  for (const loan &Loan : Loans)
    Sum += Loan.Bucket.rate();
  return Sum;
}

nano_tokens borrowings::reserve(nano_tokens Amount, permit_pieces &Pieces,
                                instant Now) {
  nano_tokens Left = Amount;
  for (loan &Loan : Loans) {
    const nano_tokens Part = std::min(Left, Loan.Bucket.available());
    if (Part <= 0)
      continue;
    Loan.Bucket.reserve(Part, Now.Boot);
    Loan.LastUse = Now.Boot;
    Pieces.push_back({Loan.Id, Part});
    Left -= Part;
  }
  return Amount - Left;
}

bool borrowings::runs(const permit_piece &Piece) const {
  return find(Piece.Loan) != nullptr;
}

void borrowings::settle(const permit_piece &Piece, instant Now) {
  if (loan *Loan = find(Piece.Loan))
    Loan->Bucket.settle(Piece.Amount, Now.Boot);
}

void borrowings::cancel(const permit_piece &Piece, instant Now) {
  if (loan *Loan = find(Piece.Loan))
    Loan->Bucket.cancel(Piece.Amount, Now.Boot);
}

template <typename Predicate>
void borrowings::returnWhere(const std::string &Workspace, instant Now,
                             std::vector<outgoing> &Out, Predicate Matches) {
  std::erase_if(Loans, [&](loan &Loan) {
    if (Loan.Bucket.reserved() > 0 || !Matches(Loan))
      return false;
    Loan.Bucket.accrue(Now.Boot);
    Out.push_back({Loan.Lender,
                   loan_return{Loan.Id, Workspace, Loan.Bucket.available()}});
    return true;
  });
}

void borrowings::returnWithoutRate(const std::string &Workspace, instant Now,
                                   std::vector<outgoing> &Out) {
  returnWhere(Workspace, Now, Out,
              [](const loan &Loan) { return Loan.Bucket.rate() == 0; });
}

void borrowings::returnEnding(const std::string &Workspace, duration Lead,
                              instant Now, std::vector<outgoing> &Out) {
  returnWhere(Workspace, Now, Out,
              [&](const loan &Loan) { return Loan.Ends.left(Now) <= Lead; });
}

void borrowings::returnUnused(const std::string &Workspace, duration Idle,
                              instant Now, std::vector<outgoing> &Out) {
  returnWhere(Workspace, Now, Out, [&](const loan &Loan) {
    return Now.Boot - Loan.LastUse >= Idle;
  });
}

void borrowings::returnAll(const std::string &Workspace, instant Now,
                           std::vector<outgoing> &Out) {
  returnWhere(Workspace, Now, Out, [](const loan &) { return true; });
}

const borrowings::loan *borrowings::find(transfer_id Id) const {
  for (const loan &Loan : Loans)
    if (Loan.Id == Id)
      return &Loan;
  return nullptr;
}

borrowings::loan *borrowings::find(transfer_id Id) {
  for (loan &Loan : Loans)
    if (Loan.Id == Id)
      return &Loan;
  return nullptr;
}

} // namespace magnolia::quota

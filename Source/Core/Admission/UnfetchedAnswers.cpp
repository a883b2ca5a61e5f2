#include "Admission/UnfetchedAnswers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnolia::admission {

std::shared_ptr<unfetched_answers>
unfetched_answers::create(std::shared_ptr<memory_shares> Shares,
                          duration FetchWithin) {
  return std::shared_ptr<unfetched_answers>(
      new unfetched_answers(std::move(Shares), FetchWithin));
}

std::unique_ptr<unfetched_answers::answer>
unfetched_answers::open(hooks Hooks, common::boot_time Now) {
  return std::unique_ptr<answer>(
      new answer(shared_from_this(), std::move(Hooks), Now));
}

size_t unfetched_answers::giveUpOverdue(common::boot_time Now) {
  size_t Missing = Shares->missingBytes();
  if (Missing == 0)
    return 0;
  struct candidate {
    answer *Answer;
    size_t Unsent;
  };
  std::vector<candidate> Overdue;
  for (answer *Answer : Answers)
    if (Now - Answer->Since >= FetchWithin)
      Overdue.push_back({Answer, Answer->Hooks.Unsent()});
  std::sort(Overdue.begin(), Overdue.end(),
            [](const candidate &Left, const candidate &Right) {
              return Left.Unsent > Right.Unsent;
            });
  size_t Count = 0;
  for (const candidate &Each : Overdue) {
    if (Missing == 0)
      break;
    if (!Answers.contains(Each.Answer))
      continue;
    Missing -= std::min(Missing, Each.Answer->Bytes);
    ++Count;
    // A copy, since it destroys the answer.
    const auto GiveUp = Each.Answer->Hooks.GiveUp;
    GiveUp();
  }
  return Count;
}

unfetched_answers::answer::answer(std::shared_ptr<unfetched_answers> Given,
                                  hooks Hooks, common::boot_time Now)
    : Owner(std::move(Given)), Hooks(std::move(Hooks)), Since(Now) {
  Owner->Answers.insert(this);
}

unfetched_answers::answer::~answer() { Owner->Answers.erase(this); }

void unfetched_answers::answer::add(
    std::shared_ptr<memory_shares::holding> Response) {
  Response->setUnfetched();
  Bytes += Response->bytes();
  Responses.push_back(std::move(Response));
}

} // namespace magnolia::admission

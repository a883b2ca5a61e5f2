#include "Request/RetryBudget.h"

#include <algorithm>
#include <utility>

namespace magnolia::request {

void retry_budget::earn() {
  Tokens = std::min(Settings.Limit, Tokens + Settings.Ratio);
}

bool retry_budget::trySpend() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

template <typename Function>
auto retry_budgets::withBudget(std::string_view Service, Function &&Fn) {
  const std::string Name(Service);
  return Budgets.withShardOf(Name, [&](auto &Map) {
    const auto Found = Map.try_emplace(Name, Settings).first;
    return std::forward<Function>(Fn)(Found->second);
  });
}

void retry_budgets::earn(std::string_view Service) {
  withBudget(Service, [](retry_budget &Budget) { Budget.earn(); });
}

bool retry_budgets::trySpend(std::string_view Service) {
  return withBudget(Service,
                    [](retry_budget &Budget) { return Budget.trySpend(); });
}

} // namespace magnolia::request

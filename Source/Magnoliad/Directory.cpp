#include "Magnoliad/Directory.h"

#include <nlohmann/json.hpp>

namespace magnolia::daemon {

http::whole_answer makeDirectoryAnswer(absl::Span<const directory_entry> Entries,
                                       std::chrono::milliseconds Keep) {
  nlohmann::json Instances = nlohmann::json::array();
  for (const directory_entry &Entry : Entries)
    Instances.push_back({{"name", Entry.Name},
                         {"address", Entry.Address},
                         {"failure_domain", Entry.FailureDomain}});
  http::whole_answer Answer;
  Answer.Headers.emplace_back("Content-Type", "application/json");
  Answer.Body = nlohmann::json{{"instances", Instances},
                               {"keep_ms", Keep.count()}}
                    .dump();
  return Answer;
}

} // namespace magnolia::daemon

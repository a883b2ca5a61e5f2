#include "Gateway/RequestFingerprint.h"

#include "Common/Digest.h"

namespace magnolia::gateway {

uint64_t fingerprintOf(const message::request &Request,
                       std::string_view Workspace) {
  uint64_t Hash = 0;
  for (const std::string_view Part :
       {Workspace, std::string_view(Request.Method),
        Request.Headers.find("host").value_or(""),
        std::string_view(Request.Target), std::string_view(Request.Body)})
    Hash = common::stableHash(Part, Hash);
  return Hash;
}

} // namespace magnolia::gateway

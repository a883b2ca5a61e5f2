#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Admission/MemoryShares.h"

/// HTTP/1.1 messages and their serialization.
namespace magnolia::message {

struct header {
  std::string Name;
  std::string Value;
};

/// Header fields in the order sent; names are case-insensitive.
class header_list {
public:
  void add(std::string_view Name, std::string_view Value) {
    Entries.push_back({std::string(Name), std::string(Value)});
  }

  /// The value of the first header \p Name.
  std::optional<std::string_view> find(std::string_view Name) const;

  /// How many headers are named \p Name.
  size_t count(std::string_view Name) const;

  /// Whether a header \p Name has \p Token in its comma-separated list.
  bool hasToken(std::string_view Name, std::string_view Token) const;

  void remove(std::string_view Name);

  std::vector<header> Entries;
};

struct request {
  std::string Method;
  /// Path and query as they were sent.
  std::string Target;
  header_list Headers;
  std::string Body;

  /// The target without its query.
  std::string_view path() const;
};

struct response {
  int Status = 0;
  header_list Headers;
  std::string Body;
  /// Releases the memory that the response is accounted for with, if it is.
  std::shared_ptr<admission::memory_shares::holding> Memory = {};
};

/// Compares \p Left and \p Right, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Whether the header is hop-by-hop and not forwarded. Headers that are listed
/// in a message's Connection header are not covered.
bool isHopByHopHeader(std::string_view Name);

/// Removes the hop-by-hop headers, also those listed in the Connection header,
/// and Content-Length, which serialize() adds.
void removeHopByHopHeaders(header_list &Headers);

/// Serializes \p Request and adds its length.
std::string serialize(const request &Request);

/// The head of \p Request with a body of \p BodyBytes.
std::string serializeHead(const request &Request, size_t BodyBytes);

/// How a response is serialized.
struct response_framing {
  /// Whether the connection is closed after this response.
  bool Close = false;
  /// Leaves out the body, as in a response to HEAD.
  bool OmitBody = false;
};

/// Serializes \p Response and adds its length.
std::string serialize(const response &Response,
                      const response_framing &Framing);

/// Whether a body follows the head.
bool sendsBody(const response &Response, const response_framing &Framing);

/// The same up to the body.
std::string serializeHead(const response &Response,
                          const response_framing &Framing);

/// The percent-decoded value of the query parameter \p Name in \p Target.
std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name);

/// \p Text with everything but unreserved characters percent-encoded.
std::string percentEncode(std::string_view Text);

} // namespace magnolia::message

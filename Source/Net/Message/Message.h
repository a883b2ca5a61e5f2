#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages as values.
namespace magnolia::message {

struct header {
  std::string Name;
  std::string Value;
};

/// Headers in the order in which they were sent; names compare without case.
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

  /// The part of the target before a question mark.
  std::string_view path() const;
};

struct response {
  int Status = 0;
  header_list Headers;
  std::string Body;
};

/// Whether \p Left and \p Right are equal but for the case of letters.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Whether the header concerns one connection only and is not passed on. Those
/// that a message's own Connection header names are not covered.
bool isConnectionHeader(std::string_view Name);

/// Removes the headers that concern one connection only, also those that the
/// Connection header names, and the length, which is written anew.
void removeConnectionHeaders(header_list &Headers);

/// The bytes of \p Request with its length.
std::string serialize(const request &Request);

/// How an answer is written.
struct response_framing {
  /// Whether the connection ends after this answer.
  bool Close = false;
  /// An answer to HEAD has no body.
  bool OmitBody = false;
};

/// The bytes of \p Response with its length.
std::string serialize(const response &Response,
                      const response_framing &Framing);

/// The value of the query parameter \p Name in \p Target, percent signs
/// decoded.
std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name);

/// \p Text with everything but unreserved characters percent-encoded.
std::string percentEncode(std::string_view Text);

} // namespace magnolia::message

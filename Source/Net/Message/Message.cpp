#include "Net/Message/Message.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "Common/StringView.h"

namespace magnolia::message {
namespace {

using common::toAbsl;
using common::toStd;

constexpr std::array<std::string_view, 10> HopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "proxy-authorization",
    "proxy-authenticate"};

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

bool statusHasBody(int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status >= 200 && Status != NoContent && Status != NotModified;
}

void appendHeaders(std::string &Text, const header_list &Headers) {
  for (const header &Header : Headers.Entries)
    absl::StrAppend(&Text, Header.Name, ": ", Header.Value, "\r\n");
}

bool isHexDigit(char Byte) {
  return absl::ascii_isxdigit(static_cast<unsigned char>(Byte));
}

std::string percentDecode(std::string_view Text) {
  std::string Decoded;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    const bool Escaped = Text[Index] == '%' && Index + 2 < Text.size() &&
                         isHexDigit(Text[Index + 1]) &&
                         isHexDigit(Text[Index + 2]);
    if (!Escaped) {
      Decoded += Text[Index];
      continue;
    }
    Decoded += absl::HexStringToBytes(toAbsl(Text.substr(Index + 1, 2)));
    Index += 2;
  }
  return Decoded;
}

} // namespace

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return absl::EqualsIgnoreCase(toAbsl(Left), toAbsl(Right));
}

std::optional<std::string_view> header_list::find(std::string_view Name) const {
  for (const header &Header : Entries)
    if (equalsIgnoringCase(Header.Name, Name))
      return Header.Value;
  return std::nullopt;
}

size_t header_list::count(std::string_view Name) const {
  return static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const header &Header) {
        return equalsIgnoringCase(Header.Name, Name);
      }));
}

bool header_list::hasToken(std::string_view Name,
                           std::string_view Token) const {
  for (const header &Header : Entries) {
    if (!equalsIgnoringCase(Header.Name, Name))
      continue;
    for (const absl::string_view Part : absl::StrSplit(Header.Value, ','))
      if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(Part),
                                 toAbsl(Token)))
        return true;
  }
  return false;
}

void header_list::remove(std::string_view Name) {
  std::erase_if(Entries, [&](const header &Header) {
    return equalsIgnoringCase(Header.Name, Name);
  });
}

std::string_view request::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

bool isHopByHopHeader(std::string_view Name) {
  return std::any_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [&](std::string_view Known) { return equalsIgnoringCase(Known, Name); });
}

void removeHopByHopHeaders(header_list &Headers) {
  std::vector<std::string> ListedNames;
  for (const header &Header : Headers.Entries) {
    if (!equalsIgnoringCase(Header.Name, "connection"))
      continue;
    for (const absl::string_view Part : absl::StrSplit(Header.Value, ','))
      ListedNames.emplace_back(absl::StripAsciiWhitespace(Part));
  }
  std::erase_if(Headers.Entries, [&](const header &Header) {
    if (isHopByHopHeader(Header.Name) ||
        equalsIgnoringCase(Header.Name, "content-length"))
      return true;
    return std::any_of(ListedNames.begin(), ListedNames.end(),
                       [&](const std::string &Name) {
                         return equalsIgnoringCase(Name, Header.Name);
                       });
  });
}

std::string serializeHead(const request &Request, size_t BodyBytes) {
  std::string Text =
      absl::StrCat(Request.Method, " ", Request.Target, " HTTP/1.1\r\n");
  appendHeaders(Text, Request.Headers);
  const bool BodyExpected = Request.Method == "POST" ||
                            Request.Method == "PUT" ||
                            Request.Method == "PATCH";
  if (BodyExpected || BodyBytes > 0)
    absl::StrAppend(&Text, "Content-Length: ", BodyBytes, "\r\n");
  absl::StrAppend(&Text, "\r\n");
  return Text;
}

std::string serialize(const request &Request) {
  return serializeHead(Request, Request.Body.size()) + Request.Body;
}

std::string serializeHead(const response &Response,
                          const response_framing &Framing) {
  std::string Text =
      absl::StrCat("HTTP/1.1 ", Response.Status, " ",
                   toAbsl(reasonPhrase(Response.Status)), "\r\n");
  appendHeaders(Text, Response.Headers);
  if (statusHasBody(Response.Status))
    absl::StrAppend(&Text, "Content-Length: ", Response.Body.size(), "\r\n");
  if (Framing.Close)
    absl::StrAppend(&Text, "Connection: close\r\n");
  absl::StrAppend(&Text, "\r\n");
  return Text;
}

bool sendsBody(const response &Response, const response_framing &Framing) {
  return statusHasBody(Response.Status) && !Framing.OmitBody;
}

std::string serialize(const response &Response,
                      const response_framing &Framing) {
  std::string Text = serializeHead(Response, Framing);
  if (sendsBody(Response, Framing))
    absl::StrAppend(&Text, Response.Body);
  return Text;
}

std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name) {
  const size_t QueryStart = Target.find('?');
  if (QueryStart == std::string_view::npos)
    return std::nullopt;
  for (const absl::string_view Pair :
       absl::StrSplit(toAbsl(Target.substr(QueryStart + 1)), '&')) {
    const std::pair<absl::string_view, absl::string_view> Parts =
        absl::StrSplit(Pair, absl::MaxSplits('=', 1));
    if (toStd(Parts.first) == Name)
      return percentDecode(toStd(Parts.second));
  }
  return std::nullopt;
}

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  for (const char Byte : Text) {
    const auto Unsigned = static_cast<unsigned char>(Byte);
    if (absl::ascii_isalnum(Unsigned) || Byte == '-' || Byte == '_' ||
        Byte == '.' || Byte == '~') {
      Encoded += Byte;
      continue;
    }
    absl::StrAppend(&Encoded, "%", absl::Hex(Unsigned, absl::kZeroPad2));
  }
  return Encoded;
}

} // namespace magnolia::message

#include "Net/Upstream/HeaderRules.h"

#include <algorithm>
#include <array>
#include <optional>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "Common/ErrorKind.h"
#include "Common/StringView.h"

namespace magnolia::net {
namespace {

using common::toAbsl;

constexpr std::array<std::string_view, 10> HopByHopNames = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect"};

constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

bool isHopByHop(std::string_view Name) {
  return std::any_of(
      HopByHopNames.begin(), HopByHopNames.end(),
      [Name](std::string_view Other) { return sameHeader(Name, Other); });
}

std::vector<std::string> connectionTokens(const header_list &Headers) {
  std::vector<std::string> Tokens;
  for (const header_field &Field : Headers) {
    if (!sameHeader(Field.Name, "Connection"))
      continue;
    for (const absl::string_view Part : absl::StrSplit(Field.Value, ','))
      Tokens.emplace_back(absl::StripAsciiWhitespace(Part));
  }
  return Tokens;
}

bool isControlCharacter(char Byte) {
  const auto Code = static_cast<unsigned char>(Byte);
  return (Code < 0x20 && Byte != '\t') || Code == 0x7f;
}

bool isTokenCharacter(char Byte) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
         Symbols.find(Byte) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

bool isValidPath(std::string_view Path) {
  if (Path.empty() || Path.front() != '/')
    return false;
  return std::none_of(Path.begin(), Path.end(), [](char Byte) {
    return Byte == ' ' || Byte == '\t' || isControlCharacter(Byte);
  });
}

std::optional<uint64_t> parseLength(std::string_view Text) {
  const bool Digits =
      !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Byte) {
        return Byte >= '0' && Byte <= '9';
      });
  uint64_t Length = 0;
  if (!Digits || !absl::SimpleAtoi(toAbsl(Text), &Length))
    return std::nullopt;
  return Length;
}

} // namespace

header_list withoutHopByHop(const header_list &Headers) {
  const std::vector<std::string> Listed = connectionTokens(Headers);
  const auto IsListed = [&](const std::string &Name) {
    return std::any_of(Listed.begin(), Listed.end(), [&](const auto &Token) {
      return sameHeader(Token, Name);
    });
  };
  header_list Kept;
  for (const header_field &Field : Headers)
    if (!isHopByHop(Field.Name) && !IsListed(Field.Name))
      Kept.push_back(Field);
  return Kept;
}

bool asksToClose(const header_list &Headers) {
  const std::vector<std::string> Tokens = connectionTokens(Headers);
  return std::any_of(Tokens.begin(), Tokens.end(), [](const auto &Token) {
    return sameHeader(Token, "close");
  });
}

bool areHeadersValid(const header_list &Headers) {
  return std::all_of(
      Headers.begin(), Headers.end(), [](const header_field &Field) {
        return isToken(Field.Name) &&
               std::none_of(Field.Value.begin(), Field.Value.end(),
                            isControlCharacter);
      });
}

absl::Status checkRequestHead(const upstream_request &Request) {
  using common::error_kind;
  if (!isToken(Request.Method))
    return common::makeError(error_kind::BadRequest, "the method is no token");
  if (!isValidPath(Request.Path))
    return common::makeError(error_kind::BadRequest,
                             "the path holds a space or control character");
  if (!areHeadersValid(Request.Headers))
    return common::makeError(error_kind::BadRequest,
                             "a header holds a control character");
  return absl::OkStatus();
}

framing framingOf(std::string_view Method, int Status,
                  const header_list &Headers, uint64_t &Length) {
  if (Method == "HEAD" || Status == StatusNoContent ||
      Status == StatusNotModified)
    return framing::None;
  const std::string *Coding = nullptr;
  std::optional<uint64_t> Found;
  for (const header_field &Field : Headers) {
    if (sameHeader(Field.Name, "Transfer-Encoding")) {
      if (Coding != nullptr || !sameHeader(Field.Value, "chunked"))
        return framing::Ambiguous;
      Coding = &Field.Value;
    }
    if (!sameHeader(Field.Name, "Content-Length"))
      continue;
    const auto Parsed = parseLength(Field.Value);
    if (!Parsed || Found)
      return framing::Ambiguous;
    Found = Parsed;
  }
  if (Coding != nullptr)
    return Found ? framing::Ambiguous : framing::Chunked;
  if (!Found)
    return framing::Ambiguous;
  Length = *Found;
  return framing::Length;
}

} // namespace magnolia::net

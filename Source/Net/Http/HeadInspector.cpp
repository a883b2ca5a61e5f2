#include "Net/Http/HeadInspector.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "Common/ErrorKind.h"
#include "Common/StringView.h"
#include "Net/Http/Message.h"

namespace magnolia::http {
namespace {

using common::toAbsl;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

absl::Status badRequest(std::string_view Detail) {
  return common::makeError(common::error_kind::BadRequest, Detail);
}

bool isTokenByte(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool isDigits(std::string_view Text) {
  // Every number of this many digits fits into 64 bits, signed or not.
  constexpr size_t MaxDigits = 18;
  return !Text.empty() && Text.size() <= MaxDigits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return absl::ascii_isdigit(static_cast<unsigned char>(C));
         });
}

bool hasControlByte(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return (Byte < 0x20 && C != '\t') || Byte == 0x7f;
  });
}

/// What the headers declare about the body.
struct framing {
  int LengthCount = 0;
  int CodingCount = 0;
  bool DeclaresBody = false;
};

std::string_view valueOf(std::string_view Line, size_t Colon) {
  return common::toStd(
      absl::StripAsciiWhitespace(toAbsl(Line.substr(Colon + 1))));
}

/// Calls \p Fn with each header line of \p Head until it returns false.
template <typename Function>
void forEachField(std::string_view Head, Function &&Fn) {
  std::string_view Rest = Head.substr(Head.find(LineEnd) + LineEnd.size());
  while (true) {
    const size_t End = Rest.find(LineEnd);
    const std::string_view Line = Rest.substr(0, End);
    if (Line.empty() || !Fn(Line))
      return;
    Rest.remove_prefix(End + LineEnd.size());
  }
}

absl::Status inspectField(std::string_view Line, framing &Framing) {
  const size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return badRequest("a header line without a colon");
  const std::string_view Name = Line.substr(0, Colon);
  if (!isToken(Name))
    return badRequest("a header name with bytes that are not allowed");
  const std::string_view Value = valueOf(Line, Colon);
  if (hasControlByte(Value))
    return badRequest("a header value with control bytes");
  if (sameHeader(Name, "Content-Length")) {
    ++Framing.LengthCount;
    Framing.DeclaresBody = Framing.DeclaresBody || Value != "0";
    if (!isDigits(Value))
      return badRequest("a Content-Length that is not a number");
  }
  if (sameHeader(Name, "Transfer-Encoding")) {
    ++Framing.CodingCount;
    Framing.DeclaresBody = true;
    if (!absl::EqualsIgnoreCase(toAbsl(Value), "chunked"))
      return badRequest("a Transfer-Encoding other than chunked");
  }
  return absl::OkStatus();
}

absl::Status inspectFraming(std::string_view Method, const framing &Framing) {
  if (Framing.LengthCount > 1)
    return badRequest("two Content-Length headers");
  if (Framing.CodingCount > 1)
    return badRequest("two Transfer-Encoding headers");
  if (Framing.LengthCount + Framing.CodingCount > 1)
    return badRequest("Content-Length together with Transfer-Encoding");
  const bool BodyAllowed =
      Method == "POST" || Method == "PUT" || Method == "PATCH";
  if (Framing.DeclaresBody && !BodyAllowed)
    return badRequest("a body on a method that has none here");
  return absl::OkStatus();
}

} // namespace

std::optional<size_t> findHeadEnd(std::string_view Bytes) {
  const size_t Position = Bytes.find(HeadEnd);
  if (Position == std::string_view::npos)
    return std::nullopt;
  return Position + HeadEnd.size();
}

header_list readFields(std::string_view Head) {
  header_list Fields;
  forEachField(Head, [&](std::string_view Line) {
    const size_t Colon = Line.find(':');
    Fields.push_back({std::string(Line.substr(0, Colon)),
                      std::string(valueOf(Line, Colon))});
    return true;
  });
  return Fields;
}

absl::Status inspectHead(std::string_view Head) {
  const size_t FirstEnd = Head.find(LineEnd);
  const std::string_view RequestLine = Head.substr(0, FirstEnd);
  if (hasControlByte(RequestLine))
    return badRequest("control bytes in the request line");
  const std::string_view Method = RequestLine.substr(0, RequestLine.find(' '));
  if (!isToken(Method))
    return badRequest("a request line without a method");

  framing Framing;
  absl::Status Status;
  forEachField(Head, [&](std::string_view Line) {
    Status = inspectField(Line, Framing);
    return Status.ok();
  });
  return Status.ok() ? inspectFraming(Method, Framing) : Status;
}

} // namespace magnolia::http

#include "Net/Message/StatusLine.h"

#include <absl/strings/ascii.h>

namespace magnolia::message {
namespace {

/// The minor version and the status stand for themselves.
constexpr std::string_view Pattern = "HTTP/1.n sss";
constexpr size_t StatusAt = Pattern.find('s');

constexpr int SwitchingProtocols = 101;
constexpr int DigitBase = 10;

bool isLineEnd(char Byte) { return Byte == '\r' || Byte == '\n'; }

} // namespace

bool status_line_check::fits(size_t Position, char Byte) {
  if (Position == Pattern.size())
    return Byte == ' ' || isLineEnd(Byte);
  if (Position == StatusAt)
    return Byte >= '1' && Byte <= '5';
  if (Pattern[Position] == 'n' || Position > StatusAt)
    return absl::ascii_isdigit(static_cast<unsigned char>(Byte));
  return Byte == Pattern[Position];
}

status_line_check::result status_line_check::feed(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (Result != result::Incomplete)
      return Result;
    if (Position == 0 && isLineEnd(Byte))
      continue;
    if (!fits(Position, Byte)) {
      Result = result::Invalid;
      return Result;
    }
    if (Position >= StatusAt && Position < Pattern.size())
      Status = Status * DigitBase + (Byte - '0');
    if (Position == Pattern.size())
      Result = Status == SwitchingProtocols ? result::Invalid : result::Valid;
    ++Position;
  }
  return Result;
}

} // namespace magnolia::message

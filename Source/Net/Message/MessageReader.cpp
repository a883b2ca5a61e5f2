#include "Net/Message/MessageReader.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <http_parser.h>

#include "Net/Message/StatusLine.h"

namespace magnolia::message {

namespace {

/// Bodies up to this size may grow as strings do.
constexpr size_t SmallBodyBytes = size_t{64} * 1024;

/// Makes room for \p Bytes and no more; std::string::reserve() doubles.
void reserveExactly(std::string &Text, size_t Bytes) {
  if (Bytes <= Text.capacity())
    return;
  std::string Larger;
  Larger.reserve(Bytes);
  Larger.append(Text);
  Text.swap(Larger);
}

/// Whether \p Name consists of bytes that are allowed in header names. The
/// parsing library accepts spaces, which other parsers may treat as the end of
/// the name.
bool isHeaderName(std::string_view Name) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), [&](char Byte) {
    return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
           Punctuation.find(Byte) != std::string_view::npos;
  });
}

} // namespace

struct message_reader::state {
  http_parser Parser{};
  message_kind Kind;
  reader_limits Limits;
  request Request;
  response Response;
  size_t HeadBytes = 0;
  std::optional<size_t> Announced;
  bool InValue = false;
  bool InMessage = false;
  bool HeadRead = false;
  bool Complete = false;
  bool KeepsAlive = true;
  bool NoBody = false;
  read_error Error = read_error::None;
  status_line_check StatusLine;

  header_list &headers() {
    return Kind == message_kind::Request ? Request.Headers : Response.Headers;
  }
  std::string &body() {
    return Kind == message_kind::Request ? Request.Body : Response.Body;
  }

  int addHeadBytes(size_t Count) {
    HeadBytes += Count;
    if (HeadBytes <= Limits.HeadBytes)
      return 0;
    Error = read_error::HeadTooLarge;
    return 1;
  }

  int onBegin() {
    InMessage = true;
    return 0;
  }

  int onTarget(std::string_view Bytes) {
    Request.Target.append(Bytes);
    return addHeadBytes(Bytes.size());
  }

  int onField(std::string_view Bytes) {
    // Fields after the head are trailers, which are discarded.
    if (HeadRead)
      return 0;
    if (InValue || headers().Entries.empty())
      headers().Entries.emplace_back();
    InValue = false;
    headers().Entries.back().Name.append(Bytes);
    return addHeadBytes(Bytes.size());
  }

  int onValue(std::string_view Bytes) {
    if (HeadRead)
      return 0;
    InValue = true;
    headers().Entries.back().Value.append(Bytes);
    return addHeadBytes(Bytes.size());
  }

  /// Returns 1 to make the parser skip the body, -1 for an error.
  int onHead() {
    HeadRead = true;
    const bool NamesValid = std::all_of(
        headers().Entries.begin(), headers().Entries.end(),
        [](const header &Header) { return isHeaderName(Header.Name); });
    if (!NamesValid) {
      Error = read_error::Malformed;
      return -1;
    }
    if (Kind == message_kind::Request)
      Request.Method = http_method_str(static_cast<http_method>(Parser.method));
    else
      Response.Status = static_cast<int>(Parser.status_code);
    const bool KnownLength = Parser.content_length != ULLONG_MAX;
    if (KnownLength && Parser.content_length > Limits.BodyBytes) {
      Error = read_error::BodyTooLarge;
      return -1;
    }
    if (KnownLength && !NoBody)
      Announced = HeadBytes + Parser.content_length;
    return NoBody ? 1 : 0;
  }

  int onBody(std::string_view Bytes) {
    if (body().size() + Bytes.size() > Limits.BodyBytes) {
      Error = read_error::BodyTooLarge;
      return 1;
    }
    const size_t Needed = body().size() + Bytes.size();
    // A string would grow to twice what is accounted for.
    if (Needed > SmallBodyBytes && Needed > body().capacity())
      reserveExactly(body(), std::min(Needed + Needed / 4, Limits.BodyBytes));
    body().append(Bytes);
    return 0;
  }

  int onComplete() {
    Complete = true;
    InMessage = false;
    KeepsAlive = http_should_keep_alive(&Parser) != 0;
    http_parser_pause(&Parser, 1);
    return 0;
  }

  void reset() {
    http_parser_init(&Parser, Kind == message_kind::Request ? HTTP_REQUEST
                                                            : HTTP_RESPONSE);
    Parser.data = this;
    Request = request();
    Response = response();
    HeadBytes = 0;
    Announced.reset();
    InValue = false;
    InMessage = false;
    HeadRead = false;
    Complete = false;
    StatusLine = status_line_check();
  }
};

namespace {

template <auto Member> int eventCallback(http_parser *Parser) {
  auto *State = static_cast<message_reader::state *>(Parser->data);
  return (State->*Member)();
}

template <auto Member>
int dataCallback(http_parser *Parser, const char *Bytes, size_t Count) {
  auto *State = static_cast<message_reader::state *>(Parser->data);
  return (State->*Member)({Bytes, Count});
}

} // namespace

const http_parser_settings &parserSettings() {
  using state = message_reader::state;
  static const http_parser_settings Settings = [] {
    http_parser_settings Callbacks;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_message_begin = eventCallback<&state::onBegin>;
    Callbacks.on_url = dataCallback<&state::onTarget>;
    Callbacks.on_header_field = dataCallback<&state::onField>;
    Callbacks.on_header_value = dataCallback<&state::onValue>;
    Callbacks.on_headers_complete = eventCallback<&state::onHead>;
    Callbacks.on_body = dataCallback<&state::onBody>;
    Callbacks.on_message_complete = eventCallback<&state::onComplete>;
    return Callbacks;
  }();
  return Settings;
}

message_reader::message_reader(message_kind Kind, const reader_limits &Limits)
    : State(std::make_unique<state>()) {
  State->Kind = Kind;
  State->Limits = Limits;
  State->reset();
}

message_reader::~message_reader() = default;
message_reader::message_reader(message_reader &&) noexcept = default;
message_reader &message_reader::operator=(message_reader &&) noexcept = default;

size_t message_reader::feed(std::string_view Bytes) {
  if (State->Complete || State->Error != read_error::None || Bytes.empty())
    return 0;
  if (State->Kind == message_kind::Response &&
      State->StatusLine.feed(Bytes) == status_line_check::result::Invalid) {
    State->Error = read_error::Malformed;
    return 0;
  }
  const size_t Consumed = http_parser_execute(&State->Parser, &parserSettings(),
                                              Bytes.data(), Bytes.size());
  const auto Code = HTTP_PARSER_ERRNO(&State->Parser);
  // Protocol upgrades are neither requested nor supported.
  const bool Upgraded = State->Parser.upgrade != 0 && State->Complete;
  const bool Failed = Code != HPE_OK && Code != HPE_PAUSED;
  if (State->Error == read_error::None && (Failed || Upgraded))
    State->Error = Code == HPE_HEADER_OVERFLOW ? read_error::HeadTooLarge
                                               : read_error::Malformed;
  return Consumed;
}

void message_reader::finish() {
  if (State->Complete || State->Error != read_error::None)
    return;
  if (!State->InMessage)
    return;
  http_parser_execute(&State->Parser, &parserSettings(), nullptr, 0);
  if (!State->Complete)
    State->Error = read_error::Malformed;
}

bool message_reader::complete() const {
  return State->Complete && State->Error == read_error::None;
}
read_error message_reader::error() const { return State->Error; }
bool message_reader::inMessage() const { return State->InMessage; }
bool message_reader::headRead() const { return State->HeadRead; }
size_t message_reader::heldBytes() const {
  return State->HeadBytes + State->body().size();
}
std::optional<size_t> message_reader::announcedBytes() const {
  return State->Announced;
}
size_t message_reader::bodyCapacity() const { return State->body().capacity(); }
void message_reader::reserveAnnounced() {
  if (State->Announced)
    reserveExactly(State->body(), *State->Announced - State->HeadBytes);
}
bool message_reader::keepsAlive() const { return State->KeepsAlive; }
void message_reader::expectNoBody(bool NoBody) { State->NoBody = NoBody; }

void message_reader::setLimits(const reader_limits &Limits) {
  State->Limits = Limits;
}

bool message_reader::expectsContinue() const {
  return State->HeadRead && State->InMessage &&
         State->Request.Headers.hasToken("expect", "100-continue");
}

request message_reader::takeRequest() {
  request Result = std::move(State->Request);
  State->reset();
  return Result;
}

response message_reader::takeResponse() {
  response Result = std::move(State->Response);
  State->reset();
  return Result;
}

} // namespace magnolia::message

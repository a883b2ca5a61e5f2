#include "Quota/Message.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace magnolia::quota {

namespace {

using json = nlohmann::json;

/// The kind of a message, the first element of its CBOR array; its fields
/// follow in a fixed order.
enum class kind : uint8_t { Request, Grant, Refusal, Return };

json toJson(const loan_request &M) {
  return {kind::Request, M.Request.Process, M.Request.Number,
          M.Workspace,   M.Wanted,          M.WantedRate};
}

json toJson(const loan_grant &M) {
  return {kind::Grant,    M.Request.Process, M.Request.Number, M.Workspace,
          M.Loan.Process, M.Loan.Number,     M.Rate,           M.Capacity,
          M.Tokens,       M.Term.count()};
}

json toJson(const loan_refusal &M) {
  return {kind::Refusal, M.Request.Process,    M.Request.Number,
          M.Workspace,   M.RetryAfter.count(), M.NotOwner};
}

json toJson(const loan_return &M) {
  return {kind::Return, M.Loan.Process, M.Loan.Number, M.Workspace, M.Tokens};
}

/// Reads the elements of an array in order; any error clears Good.
class reader {
public:
  explicit reader(const json &Array) : Array(Array) {}

  uint64_t identifier() {
    const json *Element = next();
    if (!Element || !Element->is_number_unsigned())
      return fail<uint64_t>();
    return Element->get<uint64_t>();
  }

  int64_t amount() {
    const uint64_t Value = identifier();
    if (Value > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
      return fail<int64_t>();
    return static_cast<int64_t>(Value);
  }

  bool flag() {
    const json *Element = next();
    if (!Element || !Element->is_boolean())
      return fail<bool>();
    return Element->get<bool>();
  }

  std::string text() {
    const json *Element = next();
    if (!Element || !Element->is_string())
      return fail<std::string>();
    return Element->get<std::string>();
  }

  transfer_id transfer() {
    transfer_id Id;
    Id.Process = identifier();
    Id.Number = identifier();
    return Id;
  }

  bool finished() const { return Good && Position == Array.size(); }

private:
  const json *next() {
    if (Position >= Array.size())
      return nullptr;
    return &Array[Position++];
  }

  template <typename T> T fail() {
    Good = false;
    return T();
  }

  const json &Array;
  size_t Position = 0;
  bool Good = true;
};

message readRequest(reader &In) {
  loan_request M;
  M.Request = In.transfer();
  M.Workspace = In.text();
  M.Wanted = In.amount();
  M.WantedRate = In.amount();
  return M;
}

message readGrant(reader &In) {
  loan_grant M;
  M.Request = In.transfer();
  M.Workspace = In.text();
  M.Loan = In.transfer();
  M.Rate = In.amount();
  M.Capacity = In.amount();
  M.Tokens = In.amount();
  M.Term = duration(In.amount());
  return M;
}

message readRefusal(reader &In) {
  loan_refusal M;
  M.Request = In.transfer();
  M.Workspace = In.text();
  M.RetryAfter = duration(In.amount());
  M.NotOwner = In.flag();
  return M;
}

message readReturn(reader &In) {
  loan_return M;
  M.Loan = In.transfer();
  M.Workspace = In.text();
  M.Tokens = In.amount();
  return M;
}

message readBody(kind Kind, reader &In) {
  switch (Kind) {
  case kind::Request:
    return readRequest(In);
  case kind::Grant:
    return readGrant(In);
  case kind::Refusal:
    return readRefusal(In);
  case kind::Return:
    return readReturn(In);
  }
  return loan_request();
}

} // namespace

const std::string &workspaceOf(const message &Message) {
  return std::visit(
      [](const auto &M) -> const std::string & { return M.Workspace; },
      Message);
}

std::vector<uint8_t> encode(const message &Message) {
  return json::to_cbor(
      std::visit([](const auto &M) { return toJson(M); }, Message));
}

absl::StatusOr<message> decode(absl::Span<const uint8_t> Bytes) {
  const json Array =
      json::from_cbor(Bytes.begin(), Bytes.end(), /*strict=*/true,
                      /*allow_exceptions=*/false);
  if (!Array.is_array())
    return absl::InvalidArgumentError("loan message is not a CBOR array");
  reader In(Array);
  const uint64_t Kind = In.identifier();
  if (Kind > static_cast<uint64_t>(kind::Return))
    return absl::InvalidArgumentError("unknown kind of loan message");
  message Message = readBody(static_cast<kind>(Kind), In);
  if (!In.finished())
    return absl::InvalidArgumentError("malformed loan message");
  return Message;
}

} // namespace magnolia::quota

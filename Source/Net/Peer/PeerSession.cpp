#include "Net/Peer/PeerSession.h"

#include <algorithm>
#include <array>

#include <nghttp2/nghttp2.h>

namespace magnolia::net {
namespace {

constexpr std::string_view PathPrefix = "/magnolia/peer/";
constexpr std::string_view FromHeader = "magnolia-from";

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both and modifies neither.
  auto *NameBytes =
      reinterpret_cast<uint8_t *>(const_cast<char *>(Name.data()));
  auto *ValueBytes =
      reinterpret_cast<uint8_t *>(const_cast<char *>(Value.data()));
  return {NameBytes, ValueBytes, Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::string_view view(const uint8_t *Bytes, size_t Length) {
  return {reinterpret_cast<const char *>(Bytes), Length};
}

} // namespace

/// The C callbacks of nghttp2; they forward to the session.
struct session_callbacks {
  static peer_session &self(void *User) {
    return *static_cast<peer_session *>(User);
  }

  static int beginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                          void *User) {
    peer_session &Self = self(User);
    if (Self.IsServer && Frame->headers.cat == NGHTTP2_HCAT_REQUEST)
      Self.Streams[Frame->hd.stream_id] =
          std::make_unique<peer_session::stream>();
    return 0;
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const uint8_t *Name, size_t NameLength,
                      const uint8_t *Value, size_t ValueLength, uint8_t,
                      void *User) {
    const bool Accepted = self(User).acceptHeader(
        Frame->hd.stream_id, view(Name, NameLength), view(Value, ValueLength));
    return Accepted ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }

  static int onData(nghttp2_session *, uint8_t, int32_t Id, const uint8_t *Data,
                    size_t Length, void *User) {
    peer_session &Self = self(User);
    if (!Self.acceptBody(Id, view(Data, Length)))
      Self.reject(Id);
    return 0;
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                     void *User) {
    const bool CarriesMessage =
        Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
    const bool Ends = (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (CarriesMessage && Ends && self(User).IsServer)
      self(User).finishMessage(Frame->hd.stream_id);
    return 0;
  }

  static int onClose(nghttp2_session *, int32_t Id, uint32_t, void *User) {
    self(User).closeStream(Id);
    return 0;
  }

  static ssize_t readBody(nghttp2_session *, int32_t, uint8_t *Buffer,
                          size_t Length, uint32_t *Flags,
                          nghttp2_data_source *Source, void *) {
    auto &Stream = *static_cast<peer_session::stream *>(Source->ptr);
    const std::string &Body = Stream.Message.Body;
    const size_t Count = std::min(Length, Body.size() - Stream.BytesWritten);
    std::copy_n(Body.data() + Stream.BytesWritten, Count, Buffer);
    Stream.BytesWritten += Count;
    if (Stream.BytesWritten == Body.size())
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(Count);
  }

  static nghttp2_session_callbacks *make() {
    nghttp2_session_callbacks *Callbacks = nullptr;
    nghttp2_session_callbacks_new(&Callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(Callbacks,
                                                            beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(Callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks,
                                                              onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks, onClose);
    return Callbacks;
  }
};

peer_session::peer_session(const peer_options &Options, session_hooks Hooks)
    : Options(Options), Hooks(std::move(Hooks)) {}

peer_session::~peer_session() { nghttp2_session_del(Session); }

std::unique_ptr<peer_session>
peer_session::makeClient(const peer_options &Options, session_hooks Hooks) {
  std::unique_ptr<peer_session> Session(
      new peer_session(Options, std::move(Hooks)));
  return Session->open(/*IsServer=*/false) ? std::move(Session) : nullptr;
}

std::unique_ptr<peer_session>
peer_session::makeServer(const peer_options &Options, session_hooks Hooks) {
  std::unique_ptr<peer_session> Session(
      new peer_session(Options, std::move(Hooks)));
  return Session->open(/*IsServer=*/true) ? std::move(Session) : nullptr;
}

bool peer_session::open(bool AsServer) {
  IsServer = AsServer;
  nghttp2_session_callbacks *Callbacks = session_callbacks::make();
  const int Result =
      AsServer ? nghttp2_session_server_new(&Session, Callbacks, this)
               : nghttp2_session_client_new(&Session, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  if (Result != 0)
    return false;
  submitSettings();
  return true;
}

void peer_session::submitSettings() {
  const auto Window = static_cast<uint32_t>(Options.MaxBodyBytes);
  const std::array<nghttp2_settings_entry, 4> Settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, Options.MaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, Window},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<uint32_t>(Options.MaxHeaderBytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(
      Session, NGHTTP2_FLAG_NONE, 0,
      static_cast<int32_t>(Options.MaxPartialBytes));
}

bool peer_session::receive(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const uint8_t *>(Bytes.data());
  return nghttp2_session_mem_recv(Session, Data, Bytes.size()) >= 0;
}

bool peer_session::fill(std::string &Out, size_t Limit) {
  while (Out.size() < Limit) {
    const uint8_t *Data = nullptr;
    const ssize_t Length = nghttp2_session_mem_send(Session, &Data);
    if (Length < 0)
      return false;
    if (Length == 0)
      return true;
    Out.append(view(Data, static_cast<size_t>(Length)));
  }
  return true;
}

bool peer_session::submit(std::string_view From, std::string_view Type,
                          std::string Body, common::boot_time Now) {
  const std::string Path = std::string(PathPrefix) + std::string(Type);
  const std::array<nghttp2_nv, 5> Headers = {
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", "peer"), header(":path", Path),
      header(FromHeader, From)};
  auto Stream = std::make_unique<stream>();
  Stream->Message.Body = std::move(Body);
  Stream->Started = Now;
  nghttp2_data_provider Provider{};
  Provider.source.ptr = Stream.get();
  Provider.read_callback = session_callbacks::readBody;
  const int32_t Id = nghttp2_submit_request(Session, nullptr, Headers.data(),
                                            Headers.size(), &Provider, nullptr);
  if (Id < 0)
    return false;
  Streams[Id] = std::move(Stream);
  return true;
}

void peer_session::ping() {
  nghttp2_submit_ping(Session, NGHTTP2_FLAG_NONE, nullptr);
}

bool peer_session::finished() const {
  return nghttp2_session_want_read(Session) == 0;
}

std::optional<common::boot_time> peer_session::oldestStart() const {
  std::optional<common::boot_time> Oldest;
  for (const auto &[Id, Stream] : Streams)
    if (!Oldest || Stream->Started < *Oldest)
      Oldest = Stream->Started;
  return Oldest;
}

bool peer_session::acceptHeader(int32_t Id, std::string_view Name,
                                std::string_view Value) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return true;
  stream &Stream = *Found->second;
  if (!IsServer) {
    if (Name == ":status")
      Stream.Acknowledged = Value == "204";
    return true;
  }
  Stream.HeaderBytes += Name.size() + Value.size();
  if (Stream.HeaderBytes > Options.MaxHeaderBytes) {
    Streams.erase(Found);
    Hooks.OnRejected();
    return false;
  }
  if (Name == ":method")
    Stream.IsPost = Value == "POST";
  if (Name == ":path" && Value.substr(0, PathPrefix.size()) == PathPrefix)
    Stream.Message.Type = Value.substr(PathPrefix.size());
  if (Name == FromHeader)
    Stream.Message.From = Value;
  return true;
}

bool peer_session::acceptBody(int32_t Id, std::string_view Chunk) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end() || !IsServer)
    return true;
  std::string &Body = Found->second->Message.Body;
  if (Body.size() + Chunk.size() > Options.MaxBodyBytes ||
      PartialBytes + Chunk.size() > Options.MaxPartialBytes)
    return false;
  Body.append(Chunk);
  PartialBytes += Chunk.size();
  return true;
}

void peer_session::finishMessage(int32_t Id) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return;
  stream &Stream = *Found->second;
  if (!Stream.IsPost || Stream.Message.Type.empty() ||
      Stream.Message.From.empty()) {
    reject(Id);
    return;
  }
  PartialBytes -= Stream.Message.Body.size();
  peer_message Message = std::move(Stream.Message);
  Streams.erase(Found);
  const nghttp2_nv Status = header(":status", "204");
  nghttp2_submit_response(Session, Id, &Status, 1, nullptr);
  Hooks.OnMessage(std::move(Message));
}

void peer_session::reject(int32_t Id) {
  nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id,
                            NGHTTP2_REFUSED_STREAM);
  closeStream(Id);
  Hooks.OnRejected();
}

void peer_session::closeStream(int32_t Id) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return;
  const bool Delivered = Found->second->Acknowledged;
  if (IsServer)
    PartialBytes -= Found->second->Message.Body.size();
  Streams.erase(Found);
  if (!IsServer)
    Hooks.OnCompleted(Delivered);
}

} // namespace magnolia::net

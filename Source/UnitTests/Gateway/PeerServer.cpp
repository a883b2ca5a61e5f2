#include "PeerServer.h"

#include <absl/strings/str_cat.h>

#include "Common/StringView.h"

namespace magnolia::gateway::testing {
namespace {

constexpr std::chrono::milliseconds DripPeriod{40};

} // namespace

peer_server::peer_server(event::event_loop &Loop, peer_behavior Behavior)
    : Behavior(Behavior), Loop(Loop) {
  Listener = std::move(*event::listener::open(
      Loop, "127.0.0.1:0", [this](int Descriptor) { accept(Descriptor); }));
  Address = Listener->address();
  if (Behavior == peer_behavior::RefusesConnections)
    Listener.reset();
}

void peer_server::accept(int Descriptor) {
  const auto Stream = std::make_shared<stream_ref>();
  event::stream_hooks Hooks;
  Hooks.OnBytes = [this, Stream](std::string_view Bytes) {
    onRequest(*Stream, Bytes);
  };
  *Stream = event::tcp_stream::adopt(Loop, Descriptor, std::move(Hooks));
  Streams.push_back(*Stream);
}

void peer_server::onRequest(const stream_ref &Stream,
                            std::string_view Request) {
  ++Requests;
  const std::string_view Target = Request.substr(4, Request.find(' ', 4) - 4);
  const std::string Path(Target.substr(0, Target.find('?')));
  const auto Found = Contents.find(Path);
  respond(Stream, Found == Contents.end() ? "" : Found->second);
}

void peer_server::respond(const stream_ref &Stream,
                          const std::string &Content) {
  const auto Head = [&](std::string_view Status) {
    return absl::StrCat("HTTP/1.1 ", common::toAbsl(Status),
                        "\r\nContent-Length: ", Content.size(), "\r\n\r\n");
  };
  switch (Behavior) {
  case peer_behavior::Serves:
    Stream->write(Head("200 OK") + Content);
    return;
  case peer_behavior::Drips:
    Stream->write(Head("200 OK"));
    drip(Stream);
    return;
  case peer_behavior::SendsHalf:
    Stream->write(Head("200 OK") + Content.substr(0, Content.size() / 2));
    Stream->finishWriting();
    return;
  case peer_behavior::SendsNonsense:
    Stream->write(Head("200 OK") + std::string(Content.size(), '?'));
    return;
  case peer_behavior::HasNothing:
    Stream->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    return;
  case peer_behavior::IsBusy:
    Stream->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    return;
  case peer_behavior::Resets:
    Stream->closeWithReset();
    return;
  case peer_behavior::Silent:
  case peer_behavior::RefusesConnections:
    return;
  }
}

void peer_server::drip(const stream_ref &Stream) {
  Loop.callAfter(DripPeriod, [this, Weak = std::weak_ptr(Stream)] {
    const auto Locked = Weak.lock();
    if (!Locked || !Locked->isOpen())
      return;
    Locked->write("?");
    drip(Locked);
  });
}

} // namespace magnolia::gateway::testing

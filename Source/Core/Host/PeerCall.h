#pragma once

#include "Common/Codec/Text.h"
#include "Host/PeerMessages.h"
#include "Host/Ports.h"
#include "Net/Http/Body.h"

#include <optional>
#include <string>

namespace sff::host {

constexpr milliseconds PeerConnectTimeout{400};
constexpr std::uint64_t MaxPeerAnswerBytes = 1024 * 1024;

/// Sends a message to another host and decodes the response. Returns nothing
/// when the call fails or the response cannot be decoded.
/// Thread safety: use from the client's executor only.
template <typename Answer, typename Message>
Task<std::optional<Answer>> callPeer(http::Client &Peers, std::string Remote,
                                     std::string_view Path, Message Request,
                                     milliseconds Timeout) {
  const auto Address = http::Address::parse(Remote);
  if (!Address)
    co_return std::nullopt;
  http::Request Outgoing;
  Outgoing.m_Method = "POST";
  Outgoing.m_Target = std::string(Path);
  Outgoing.m_Body = codec::toJsonText(Request);
  http::ClientOptions Options;
  Options.m_ConnectTimeout = PeerConnectTimeout;
  Options.m_ReadTimeout = Timeout;
  Options.m_MaxBodyBytes = MaxPeerAnswerBytes;
  const http::SendResult Result =
      co_await Peers.send(*Address, std::move(Outgoing), Options);
  const auto *Received = std::get_if<http::Response>(&Result);
  if (!Received || Received->m_Status != 200) {
    const auto *Failure = std::get_if<http::TransportFailure>(&Result);
    log::warning(log::Category::Peer, "peer.call_failed",
                 {{"peer", Remote},
                  {"path", Path},
                  {"detail", Failure ? Failure->m_Detail : "status"}});
    co_return std::nullopt;
  }
  co_return http::parseBody<Answer>(Received->m_Body, log::Category::Peer);
}

} // namespace sff::host

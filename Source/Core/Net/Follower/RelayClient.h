#pragma once

#include "Core/Messages/RelayMessages.h"
#include "Net/Peer/Dispatcher.h"

#include <memory>
#include <string>
#include <vector>

namespace sff::follower {

/// Sends calls to one of several relays. Starts with the relay on this host and
/// fails over to the next relay when a call fails.
/// Thread safety: all calls from the loop's thread.
class RelayClient {
public:
  /// Precondition: \p Addresses is not empty and lists the local relay first.
  RelayClient(timers::EventLoop &Loop, std::vector<std::string> Addresses);

  /// Calls the current relay. \p Done receives nullopt on timeout.
  template <peer::Message Request, typename Callback>
  void call(const Request &Body, milliseconds Timeout, Callback Done) {
    const std::size_t RelayIndex = m_CurrentRelay;
    m_PeerClients[RelayIndex]->call(Body, Timeout,
                                    [this, RelayIndex, Done](auto Reply) {
                                      if (!Reply)
                                        failOver(RelayIndex);
                                      Done(std::move(Reply));
                                    });
  }

  /// Appends a record through the current relay. The calling code may repeat
  /// the append if the reply proves that the record did not reach the log. If
  /// the outcome is unknown, it must search the stream for the record's id
  /// instead.
  template <typename Callback>
  void append(std::string Stream, nlohmann::json Record, milliseconds Timeout,
              Callback Done) {
    call(messages::Append{std::move(Stream), std::move(Record), 0}, Timeout,
         [Done](std::optional<messages::AppendReply> Reply) {
           Done(Reply.value_or(messages::AppendReply{}));
         });
  }

private:
  void failOver(std::size_t RelayIndex);

  std::vector<std::unique_ptr<peer::PeerClient>> m_PeerClients;
  std::size_t m_CurrentRelay = 0;
};

} // namespace sff::follower

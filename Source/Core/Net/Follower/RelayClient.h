#pragma once

#include "Core/Messages/RelayMessages.h"
#include "Net/Peer/Dispatcher.h"

#include <memory>
#include <string>
#include <vector>

namespace sff::follower {

/// Calls one of several relays: the one of this host first, another one after
/// a call has failed.
/// Thread safety: all calls from the loop's thread.
class RelayClient {
public:
  /// Precondition: \p Addresses is not empty, the local relay comes first.
  RelayClient(timers::DutyLoop &Loop, std::vector<std::string> Addresses);

  /// Calls the current relay; \p Done receives nothing on time-out.
  template <peer::Message Request, typename Callback>
  void call(const Request &Body, milliseconds Timeout, Callback Done) {
    const std::size_t Used = m_Current;
    m_Callers[Used]->call(Body, Timeout, [this, Used, Done](auto Reply) {
      if (!Reply)
        onFailure(Used);
      Done(std::move(Reply));
    });
  }

  /// Appends a record through the current relay. A record that provably did
  /// not reach the log may be appended again by the caller; after an unknown
  /// outcome the caller looks for the record's id in the stream instead.
  template <typename Callback>
  void append(std::string Stream, nlohmann::json Record, milliseconds Timeout,
              Callback Done) {
    call(messages::Append{std::move(Stream), std::move(Record), 0}, Timeout,
         [Done](std::optional<messages::AppendReply> Reply) {
           Done(Reply.value_or(messages::AppendReply{}));
         });
  }

private:
  void onFailure(std::size_t Used);

  std::vector<std::unique_ptr<peer::Caller>> m_Callers;
  std::size_t m_Current = 0;
};

} // namespace sff::follower

#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/RelayMessages.h"
#include "Net/Peer/Dispatcher.h"

#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sff::ctl {

/// Blocking calls to relays and other peers, for command-line tools.
/// Thread safety: none; use from one thread.
class RelaySession {
public:
  /// Precondition: \p Addresses is not empty.
  RelaySession(std::vector<std::string> Addresses, milliseconds Timeout);
  ~RelaySession();

  /// Calls the peer at one address. Returns nothing on timeout.
  template <peer::Message Request>
  std::optional<typename Request::Reply> callAddress(const std::string &Address,
                                                     const Request &Body) {
    using Result = std::optional<typename Request::Reply>;
    auto Done = std::make_shared<std::promise<Result>>();
    auto Answer = Done->get_future();
    connection(Address).call(Body, m_Timeout, [Done](Result Reply) {
      Done->set_value(std::move(Reply));
    });
    return Answer.get();
  }

  /// Calls the relays in turn and returns the first reply that satisfies
  /// \p IsUsable, or nothing. Only for idempotent messages.
  template <peer::Message Request, typename Predicate>
  std::optional<typename Request::Reply> callAny(const Request &Body,
                                                 Predicate IsUsable) {
    for (const std::string &Address : m_Addresses)
      if (auto Reply = callAddress(Address, Body); Reply && IsUsable(*Reply))
        return Reply;
    return std::nullopt;
  }

  /// Fetches the current state from the first relay that is ready; nothing when
  /// none is.
  std::optional<fold::ClusterState> fetchState();

  /// Appends a record to the control stream. Tries the next relay only after
  /// one has replied that it did not append the record; without a reply the
  /// outcome is unknown.
  messages::AppendReply append(const fold::Record &Record);

  const std::vector<std::string> &addresses() const { return m_Addresses; }

private:
  peer::PeerClient &connection(const std::string &Address);

  std::vector<std::string> m_Addresses;
  milliseconds m_Timeout;
  timers::EventLoop m_Loop;
  std::map<std::string, std::unique_ptr<peer::PeerClient>> m_PeerClients;
};

} // namespace sff::ctl

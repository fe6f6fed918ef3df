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

/// Blocking calls to relays, for tools.
/// Thread safety: none; use from one thread.
class RelaySession {
public:
  /// Precondition: \p Addresses is not empty.
  RelaySession(std::vector<std::string> Addresses, milliseconds Timeout);
  ~RelaySession();

  /// Calls one address. Returns nothing on time-out.
  template <peer::Message Request>
  std::optional<typename Request::Reply> callAt(const std::string &Address,
                                                const Request &Body) {
    using Result = std::optional<typename Request::Reply>;
    auto Done = std::make_shared<std::promise<Result>>();
    auto Answer = Done->get_future();
    connection(Address).call(Body, m_Timeout, [Done](Result Reply) {
      Done->set_value(std::move(Reply));
    });
    return Answer.get();
  }

  /// Calls the relays in turn until \p IsUsable holds for an answer. Only for
  /// messages that may be repeated.
  template <peer::Message Request, typename Predicate>
  std::optional<typename Request::Reply> callAny(const Request &Body,
                                                 Predicate IsUsable) {
    for (const std::string &Address : m_Addresses)
      if (auto Reply = callAt(Address, Body); Reply && IsUsable(*Reply))
        return Reply;
    return std::nullopt;
  }

  /// The newest state that a relay hands out; nothing when none is ready.
  std::optional<fold::ClusterState> fetchState();

  /// Appends to the control stream. A relay that proves that it did not append
  /// is followed by the next one; after any other missing answer the outcome
  /// is unknown.
  messages::AppendReply append(const fold::Record &Record);

  const std::vector<std::string> &addresses() const { return m_Addresses; }

private:
  peer::Caller &connection(const std::string &Address);

  std::vector<std::string> m_Addresses;
  milliseconds m_Timeout;
  timers::DutyLoop m_Loop;
  std::map<std::string, std::unique_ptr<peer::Caller>> m_Callers;
};

} // namespace sff::ctl

#pragma once

#include "Core/Serving/LogAge.h"
#include "Host/OrderLeases.h"

#include <array>

namespace sff::host {

constexpr std::string_view LogQueryPath = "/v1/logs/query";

/// Logs of the store that all hosts follow and that rarely grow.
enum class FollowedLog { Catalogue, Crashes };

NLOHMANN_JSON_SERIALIZE_ENUM(FollowedLog,
                             {{FollowedLog::Catalogue, "catalogue"},
                              {FollowedLog::Crashes, "crashes"}})

/// Asks whether a log ends at an offset. The answer comes at once if it does
/// not, otherwise when it no longer does or after the wait.
struct LogQuery {
  FollowedLog m_Log = FollowedLog::Catalogue;
  Cursor m_End = 0;
  std::int64_t m_WaitMs = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("log", &LogQuery::m_Log),
                           field("end", &LogQuery::m_End),
                           field("wait_ms", &LogQuery::m_WaitMs));
  }
};

/// Spares reads of the store that would find nothing: each call is billed, and
/// the logs rarely grow. While its availability zone has many hosts, a host
/// asks the holder of the zone's order lease whether a log has grown, and reads
/// the log by itself when it has, when the holder does not answer, or when what
/// the holder knows is too old. Records are never passed on.
///
/// Thread safety: use from the host's io_context only.
class LogQueries {
public:
  LogQueries(HostState &State, OrderLeases &Leases)
      : m_State(State), m_Leases(Leases),
        m_Peers(State.m_Context.get_executor()) {}

  /// Called when a read of this host that was sent at \p SentAt, a value of
  /// bootTime(), has shown where a log ends.
  void onRead(FollowedLog Log, Cursor End, Instant SentAt);
  /// Returns since when it is known that the log ends at \p End, or nothing if
  /// this host must read the log.
  Task<std::optional<Instant>> confirm(FollowedLog Log, Cursor End);
  /// The wait of a read of this host that could wait for \p Longest: shorter
  /// while other hosts ask this one, and while queries may follow the read.
  milliseconds readWait(milliseconds Longest) const;
  /// Handles the query of another host.
  Task<serving::LogAge> onQuery(LogQuery Query);

private:
  struct Progress {
    std::optional<Instant> m_ConfirmedAt;
    Cursor m_End = 0;
    AsyncCondition m_Changed;
    /// The last query of this host has spared a read.
    bool m_IsAsking = false;
  };

  /// The times of queries, if they are worth their messages.
  std::optional<serving::LogQueryTimes> times() const;
  bool isAsked() const;
  /// The holder that this host asks at \p At, if it asks one then.
  std::optional<std::string> holderToAsk(Instant At) const;
  /// Logs when this host begins or ceases to rely on the holder.
  void noteAsking(FollowedLog Log, bool IsAsking, const std::string &Holder,
                  std::int64_t AgeMs);
  Progress &progress(FollowedLog Log) {
    return m_Progress[static_cast<std::size_t>(Log)];
  }

  HostState &m_State;
  OrderLeases &m_Leases;
  http::Client m_Peers;
  std::array<Progress, 2> m_Progress;
  std::optional<Instant> m_AskedAt; ///< Time of the last query to this host.
  /// Until when this host asks nobody, because the holder gave no answer.
  Instant m_PausedUntil;
};

} // namespace sff::host

#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <optional>
#include <string>
#include <vector>

namespace sff::messages {

using codec::field;

/// Hop count that stands for no known path to the log.
inline constexpr std::int64_t NoLogPath = 1000;

/// One record of a stream with its offset in the log. A log record of `intents`
/// may contain a batch. The items of a batch share its offset, keep their order
/// and are never split between two replies.
struct StreamRecord {
  Offset m_Offset = 0;
  nlohmann::json m_Data;

  static constexpr auto describe() {
    return std::make_tuple(field("o", &StreamRecord::m_Offset),
                           field("d", &StreamRecord::m_Data));
  }
};

struct FetchRecordsReply {
  /// Oldest offset that the relay can serve. A requester that needs an older
  /// one has to fetch a snapshot.
  Offset m_First = 0;
  Offset m_Head = 0; ///< Newest offset that the relay knows.
  /// True if the relay, or one that it reads from within the hop limit, has had
  /// contact with the log within its time-out.
  bool m_LogReachable = false;
  std::vector<StreamRecord> m_Records;
  /// Number of relays between the answering relay and the log; NoLogPath when
  /// it cannot reach the log on any path.
  std::int64_t m_LogHops = NoLogPath;

  static constexpr auto describe() {
    return std::make_tuple(field("first", &FetchRecordsReply::m_First),
                           field("head", &FetchRecordsReply::m_Head),
                           field("log", &FetchRecordsReply::m_LogReachable),
                           field("records", &FetchRecordsReply::m_Records),
                           field("hops", &FetchRecordsReply::m_LogHops));
  }
};

/// Requests the records of a stream from an offset on (long polling). A relay
/// that has no such records delays its reply by up to m_Wait.
struct FetchRecords {
  using Reply = FetchRecordsReply;
  static constexpr const char *Name = "fetch_records";

  std::string m_Stream;
  Offset m_From = 1;
  std::int64_t m_MaxRecords = 500;
  milliseconds m_Wait{0};
  /// Returns batches as single records. Set in requests between relays.
  bool m_WholeBatches = false;

  static constexpr auto describe() {
    return std::make_tuple(field("stream", &FetchRecords::m_Stream),
                           field("from", &FetchRecords::m_From),
                           field("max", &FetchRecords::m_MaxRecords),
                           field("wait_ms", &FetchRecords::m_Wait),
                           field("whole", &FetchRecords::m_WholeBatches));
  }
};

struct FetchSnapshotReply {
  Offset m_Offset = 0;
  nlohmann::json m_State; ///< See fold::ClusterState::toSnapshot().

  static constexpr auto describe() {
    return std::make_tuple(field("offset", &FetchSnapshotReply::m_Offset),
                           field("state", &FetchSnapshotReply::m_State));
  }
};

/// Requests the current state of a relay as a snapshot.
struct FetchSnapshot {
  using Reply = FetchSnapshotReply;
  static constexpr const char *Name = "fetch_snapshot";
  bool m_Unused = false;
  static constexpr auto describe() {
    return std::make_tuple(field("unused", &FetchSnapshot::m_Unused));
  }
};

enum class AppendOutcome { Appended, NotAppended, Unknown };
NLOHMANN_JSON_SERIALIZE_ENUM(AppendOutcome,
                             {{AppendOutcome::Unknown, "unknown"},
                              {AppendOutcome::Appended, "appended"},
                              {AppendOutcome::NotAppended, "not_appended"}})

struct AppendReply {
  AppendOutcome m_Outcome = AppendOutcome::Unknown;
  Offset m_Offset = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("outcome", &AppendReply::m_Outcome),
                           field("offset", &AppendReply::m_Offset));
  }
};

/// Appends one record to a stream. Repeated delivery is harmless, because the
/// record carries a unique id.
struct Append {
  using Reply = AppendReply;
  static constexpr const char *Name = "append";

  std::string m_Stream;
  nlohmann::json m_Record;
  /// Number of relays that have forwarded this message. Limits forwarding.
  std::int64_t m_Hops = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("stream", &Append::m_Stream),
                           field("record", &Append::m_Record),
                           field("hops", &Append::m_Hops));
  }
};

/// State of a host as relays exchange it. A heartbeat with a higher sequence
/// replaces one with a lower sequence. Sequences start at the wall-clock time
/// in milliseconds, so that a new incarnation of a host replaces the earlier
/// one.
struct HostHeartbeat {
  HostId m_Host;
  ZoneId m_Zone;
  IncarnationId m_Incarnation; ///< Incarnation of the relay.
  std::int64_t m_Sequence = 0;
  std::string m_RelayAddress;
  Offset m_AppliedOffset = 0; ///< Last applied offset of the control stream.
  bool m_LogReachable = false;
  bool m_Leaving = false;
  /// Offset of the newest snapshot that the relay knows to be stored.
  Offset m_SnapshotOffset = 0;

  // The keys are short because heartbeats dominate the control traffic of a
  // large deployment.
  static constexpr auto describe() {
    return std::make_tuple(field("h", &HostHeartbeat::m_Host),
                           field("z", &HostHeartbeat::m_Zone),
                           field("i", &HostHeartbeat::m_Incarnation),
                           field("s", &HostHeartbeat::m_Sequence),
                           field("r", &HostHeartbeat::m_RelayAddress),
                           field("a", &HostHeartbeat::m_AppliedOffset),
                           field("l", &HostHeartbeat::m_LogReachable),
                           field("e", &HostHeartbeat::m_Leaving),
                           field("n", &HostHeartbeat::m_SnapshotOffset));
  }
};

struct HeartbeatReply {
  std::vector<HostHeartbeat> m_Known;
  static constexpr auto describe() {
    return std::make_tuple(field("known", &HeartbeatReply::m_Known));
  }
};

/// Exchanges host heartbeats between relays.
struct Heartbeat {
  using Reply = HeartbeatReply;
  static constexpr const char *Name = "heartbeat";

  std::vector<HostHeartbeat> m_Known;
  static constexpr auto describe() {
    return std::make_tuple(field("known", &Heartbeat::m_Known));
  }
};

struct HostStatus {
  HostHeartbeat m_Heartbeat;
  /// Time since the relay last accepted a newer heartbeat of the host.
  milliseconds m_Age{0};

  static constexpr auto describe() {
    return std::make_tuple(field("heartbeat", &HostStatus::m_Heartbeat),
                           field("age_ms", &HostStatus::m_Age));
  }
};

struct RelayStatusReply {
  Offset m_AppliedOffset = 0;
  Offset m_Head = 0;
  bool m_LogReachable = false;
  std::vector<HostStatus> m_Hosts;
  bool m_Ready = false; ///< False until the relay has a state.
  std::int64_t m_LogHops = NoLogPath;

  static constexpr auto describe() {
    return std::make_tuple(field("applied", &RelayStatusReply::m_AppliedOffset),
                           field("head", &RelayStatusReply::m_Head),
                           field("log", &RelayStatusReply::m_LogReachable),
                           field("hosts", &RelayStatusReply::m_Hosts),
                           field("ready", &RelayStatusReply::m_Ready),
                           field("hops", &RelayStatusReply::m_LogHops));
  }
};

/// Requests the status of a relay.
struct RelayStatus {
  using Reply = RelayStatusReply;
  static constexpr const char *Name = "relay_status";
  /// Limits the reply to the relay's own host.
  bool m_OwnHostOnly = false;
  static constexpr auto describe() {
    return std::make_tuple(field("own", &RelayStatus::m_OwnHostOnly));
  }
};

struct FetchChangeResultReply {
  bool m_Known = false; ///< True when the relay has applied the record.
  Offset m_Offset = 0;
  RecordId m_Id;
  bool m_Accepted = false;
  std::string m_Reason; ///< Reason for a rejection.

  static constexpr auto describe() {
    return std::make_tuple(
        field("known", &FetchChangeResultReply::m_Known),
        field("offset", &FetchChangeResultReply::m_Offset),
        field("id", &FetchChangeResultReply::m_Id),
        field("accepted", &FetchChangeResultReply::m_Accepted),
        field("reason", &FetchChangeResultReply::m_Reason));
  }
};

/// Asks a relay whether a recent catalogue change was accepted. The change is
/// identified by its id or, when the id is empty, by its offset. If the log
/// holds several copies of an id, the first one counts.
struct FetchChangeResult {
  using Reply = FetchChangeResultReply;
  static constexpr const char *Name = "change_verdict";

  RecordId m_Id;
  Offset m_Offset = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("id", &FetchChangeResult::m_Id),
                           field("offset", &FetchChangeResult::m_Offset));
  }
};

} // namespace sff::messages

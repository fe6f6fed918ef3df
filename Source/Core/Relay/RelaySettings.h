#pragma once

#include "Common/Settings/Schema.h"

namespace sff::relay {

inline const settings::Setting<std::string> ListenSetting{
    .m_Section = "relay",
    .m_Key = "listen",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address on which other processes reach this relay.",
    .m_TextKind = settings::TextKind::Address,
    .m_Required = true};

inline const settings::Setting<std::vector<std::string>> PeersSetting{
    .m_Section = "relay",
    .m_Key = "peers",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Relays of other hosts to contact first, at least one in each "
             "availability zone. Further hosts are discovered through them.",
    .m_TextKind = settings::TextKind::Address};

inline const settings::Setting<std::int64_t> ParallelRequestsSetting{
    .m_Section = "relay",
    .m_Key = "parallel_requests",
    .m_Default = 256,
    .m_Unit = "requests",
    .m_Range = {8, 4096},
    .m_Doc = "Maximum number of open requests, including waiting ones."};

inline const settings::Setting<std::string> LogAddressSetting{
    .m_Section = "log",
    .m_Key = "address",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "HTTP address of the platform's append-only log.",
    .m_TextKind = settings::TextKind::Address,
    .m_Required = true};

inline const settings::Setting<std::chrono::milliseconds> LogTimeoutSetting{
    .m_Section = "log",
    .m_Key = "timeout_ms",
    .m_Default = std::chrono::milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Timeout for responses of the log, in addition to the wait time "
             "of a read. After a timeout the log counts as unreachable."};

inline const settings::Setting<std::chrono::milliseconds> LogWaitSetting{
    .m_Section = "log",
    .m_Key = "wait_ms",
    .m_Default = std::chrono::milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "How long the log delays its response to a read while it has no "
             "new records."};

inline const settings::Setting<std::chrono::milliseconds> LogRetrySetting{
    .m_Section = "log",
    .m_Key = "retry_ms",
    .m_Default = std::chrono::milliseconds(250),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Delay before a failed read of the log is retried."};

inline const settings::Setting<std::chrono::milliseconds> PeerTimeoutSetting{
    .m_Section = "relay",
    .m_Key = "peer_timeout_ms",
    .m_Default = std::chrono::milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Timeout for responses of other relays, in addition to the wait "
             "time of a fetch."};

inline const settings::Setting<std::int64_t> ControlCacheSetting{
    .m_Section = "cache",
    .m_Key = "control_records",
    .m_Default = 20000,
    .m_Unit = "records",
    .m_Range = {16, 1000000},
    .m_Doc = "Number of control stream records kept for processes that fall "
             "behind. Processes further behind fetch a snapshot."};

inline const settings::Setting<std::int64_t> IntentsCacheSetting{
    .m_Section = "cache",
    .m_Key = "intent_records",
    .m_Default = 60000,
    .m_Unit = "records",
    .m_Range = {16, 1000000},
    .m_Doc = "Number of appends to the intents stream that are kept. Older "
             "ones are read from the log on request."};

inline const settings::Setting<std::int64_t> CacheBytesSetting{
    .m_Section = "cache",
    .m_Key = "stream_bytes",
    .m_Default = 16 * 1024 * 1024,
    .m_Unit = "bytes",
    .m_Range = {65536, 1073741824},
    .m_Doc = "Maximum size of the kept records of one stream, as JSON text."};

inline const settings::Setting<std::int64_t> SnapshotRecordsSetting{
    .m_Section = "snapshot",
    .m_Key = "records",
    .m_Default = 2000,
    .m_Unit = "records",
    .m_Range = {4, 1000000},
    .m_Doc = "Number of control records between two stored snapshots. Keep it "
             "well below the number of records that the log retains."};

inline const settings::Setting<std::int64_t> GossipBytesSetting{
    .m_Section = "gossip",
    .m_Key = "bytes_per_second",
    .m_Default = 3000,
    .m_Unit = "bytes/s",
    .m_Range = {200, 1000000},
    .m_Doc = "Maximum heartbeat traffic, both directions together. The gossip "
             "period grows with the number of hosts to stay within it."};

inline const settings::Setting<std::int64_t> GossipEntriesSetting{
    .m_Section = "gossip",
    .m_Key = "entries_per_message",
    .m_Default = 16,
    .m_Unit = "hosts",
    .m_Range = {2, 1000},
    .m_Doc = "Maximum number of heartbeats in one message."};

inline const settings::Setting<std::chrono::milliseconds> GossipPeriodSetting{
    .m_Section = "gossip",
    .m_Key = "min_period_ms",
    .m_Default = std::chrono::milliseconds(500),
    .m_Unit = "ms",
    .m_Range = {20, 60000},
    .m_Doc = "Minimum interval between two exchanges that a relay starts."};

/// All settings of sff-relay, including the common ones.
settings::Schema makeSchema();

} // namespace sff::relay

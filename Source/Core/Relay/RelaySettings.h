#pragma once

#include "Common/Settings/Schema.h"

namespace sff::relay {

inline const settings::Setting<std::string> ListenSetting{
    .m_Section = "relay",
    .m_Key = "listen",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address at which other processes reach this relay.",
    .m_TextKind = settings::TextKind::Address,
    .m_Required = true};

inline const settings::Setting<std::vector<std::string>> PeersSetting{
    .m_Section = "relay",
    .m_Key = "peers",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Relays of other hosts to start from, at least one in each "
             "availability zone. Further hosts are learned from them.",
    .m_TextKind = settings::TextKind::Address};

inline const settings::Setting<std::int64_t> ParallelRequestsSetting{
    .m_Section = "relay",
    .m_Key = "parallel_requests",
    .m_Default = 256,
    .m_Unit = "requests",
    .m_Range = {8, 4096},
    .m_Doc = "Requests that the relay holds open at once, waiting ones "
             "included."};

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
    .m_Doc = "Longest wait for an answer of the log, beyond the time that a "
             "read asks it to wait. Afterwards the path counts as cut."};

inline const settings::Setting<std::chrono::milliseconds> LogWaitSetting{
    .m_Section = "log",
    .m_Key = "wait_ms",
    .m_Default = std::chrono::milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Time that the log holds a read without new records."};

inline const settings::Setting<std::chrono::milliseconds> LogRetrySetting{
    .m_Section = "log",
    .m_Key = "retry_ms",
    .m_Default = std::chrono::milliseconds(250),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Pause after a failed read of the log."};

inline const settings::Setting<std::chrono::milliseconds> PeerTimeoutSetting{
    .m_Section = "relay",
    .m_Key = "peer_timeout_ms",
    .m_Default = std::chrono::milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Longest wait for an answer of another relay, beyond the time "
             "that a fetch asks it to wait."};

inline const settings::Setting<std::int64_t> ControlCacheSetting{
    .m_Section = "cache",
    .m_Key = "control_records",
    .m_Default = 20000,
    .m_Unit = "records",
    .m_Range = {16, 1000000},
    .m_Doc = "Records of the control stream that are kept for processes that "
             "fall behind; those further behind take a snapshot."};

inline const settings::Setting<std::int64_t> IntentsCacheSetting{
    .m_Section = "cache",
    .m_Key = "intent_records",
    .m_Default = 60000,
    .m_Unit = "records",
    .m_Range = {16, 1000000},
    .m_Doc = "Appends to the intents stream that are kept; older ones are read "
             "from the log when a process asks for them."};

inline const settings::Setting<std::int64_t> CacheBytesSetting{
    .m_Section = "cache",
    .m_Key = "stream_bytes",
    .m_Default = 16 * 1024 * 1024,
    .m_Unit = "bytes",
    .m_Range = {65536, 1073741824},
    .m_Doc = "Bound on the records of one stream, as JSON text."};

inline const settings::Setting<std::int64_t> SnapshotRecordsSetting{
    .m_Section = "snapshot",
    .m_Key = "records",
    .m_Default = 2000,
    .m_Unit = "records",
    .m_Range = {4, 1000000},
    .m_Doc = "Control records between two stored snapshots. Keep it well below "
             "the number of records that the log retains."};

inline const settings::Setting<std::int64_t> GossipBytesSetting{
    .m_Section = "gossip",
    .m_Key = "bytes_per_second",
    .m_Default = 3000,
    .m_Unit = "bytes/s",
    .m_Range = {200, 1000000},
    .m_Doc = "Bound on heartbeat traffic, both directions together. The period "
             "grows with the number of hosts to keep within it."};

inline const settings::Setting<std::int64_t> GossipEntriesSetting{
    .m_Section = "gossip",
    .m_Key = "entries_per_message",
    .m_Default = 16,
    .m_Unit = "hosts",
    .m_Range = {2, 1000},
    .m_Doc = "Heartbeats that one message carries at most."};

inline const settings::Setting<std::chrono::milliseconds> GossipPeriodSetting{
    .m_Section = "gossip",
    .m_Key = "min_period_ms",
    .m_Default = std::chrono::milliseconds(500),
    .m_Unit = "ms",
    .m_Range = {20, 60000},
    .m_Doc = "Shortest time between two exchanges that a relay starts."};

/// All settings of the relay, the common ones included.
settings::Schema makeSchema();

} // namespace sff::relay

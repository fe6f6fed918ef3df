#pragma once

#include "Common/Settings/Schema.h"

namespace sff::router {

using settings::Range;
using settings::Setting;
using settings::TextKind;
using std::chrono::milliseconds;

inline const Setting<std::string> ListenSetting{
    .m_Section = "router",
    .m_Key = "listen",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address of the HTTP front end.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

inline const Setting<std::string> PeerListenSetting{
    .m_Section = "router",
    .m_Key = "peer_listen",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address on which other processes reach this router.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

inline const Setting<std::vector<std::string>> RelaysSetting{
    .m_Section = "router",
    .m_Key = "relays",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Addresses of relays, the one of this host first.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

inline const Setting<milliseconds> DrainDelaySetting{
    .m_Section = "router",
    .m_Key = "drain_delay_ms",
    .m_Default = milliseconds(5000),
    .m_Unit = "ms",
    .m_Range = {0, 600000},
    .m_Doc = "Time between the not-ready answer of /readyz and the closing of "
             "the listening socket on a graceful stop."};

inline const Setting<std::int64_t> BodyBytesSetting{
    .m_Section = "router",
    .m_Key = "max_body_bytes",
    .m_Default = 4 * 1024 * 1024,
    .m_Unit = "bytes",
    .m_Range = {1024, 1024.0 * 1024 * 1024},
    .m_Doc = "Largest request body."};

inline const Setting<std::int64_t> HeaderBytesSetting{
    .m_Section = "router",
    .m_Key = "max_header_bytes",
    .m_Default = 16 * 1024,
    .m_Unit = "bytes",
    .m_Range = {1024, 1024.0 * 1024},
    .m_Doc = "Largest request header."};

inline const Setting<milliseconds> RequestReadTimeoutSetting{
    .m_Section = "router",
    .m_Key = "request_read_timeout_ms",
    .m_Default = milliseconds(10000),
    .m_Unit = "ms",
    .m_Range = {100, 600000},
    .m_Doc = "Longest time from the first byte of a request to its last."};

inline const Setting<std::int64_t> ConnectionsSetting{
    .m_Section = "router",
    .m_Key = "max_connections",
    .m_Default = 4096,
    .m_Unit = "",
    .m_Range = {1, 100000},
    .m_Doc = "Connections of callers that are open at once."};

inline const Setting<std::int64_t> TeamRequestsSetting{
    .m_Section = "admission",
    .m_Key = "team_requests",
    .m_Default = 512,
    .m_Unit = "requests",
    .m_Range = {1, 100000},
    .m_Doc = "Requests of one team that this router holds at once."};

inline const Setting<milliseconds> MaxDeadlineSetting{
    .m_Section = "admission",
    .m_Key = "max_deadline_ms",
    .m_Default = milliseconds(600000),
    .m_Unit = "ms",
    .m_Range = {1000, 86400000},
    .m_Doc = "Longest deadline that a caller may ask for."};

inline const Setting<milliseconds> BorrowWaitSetting{
    .m_Section = "credits",
    .m_Key = "borrow_wait_ms",
    .m_Default = milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {10, 10000},
    .m_Doc = "Time that an owner may hold a request for credits back."};

inline const Setting<milliseconds> OwnerRetrySetting{
    .m_Section = "credits",
    .m_Key = "owner_retry_ms",
    .m_Default = milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Pause before an owner that did not answer is asked again."};

inline const Setting<milliseconds> NoCreditTimeoutSetting{
    .m_Section = "credits",
    .m_Key = "patience_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {0, 600000},
    .m_Doc = "Time for which requests wait while all owners refuse credits or "
             "do not answer; then they are refused."};

inline const Setting<std::int64_t> MaxBorrowSetting{
    .m_Section = "credits",
    .m_Key = "max_borrow",
    .m_Default = 8,
    .m_Unit = "requests",
    .m_Range = {1, 1000},
    .m_Doc = "Credits that one message may ask for."};

inline const Setting<milliseconds> CreditIdleSetting{
    .m_Section = "credits",
    .m_Key = "idle_limit_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {0, 600000},
    .m_Doc = "Unused credits are returned after this time."};

inline const Setting<milliseconds> ProgressTimeoutSetting{
    .m_Section = "streams",
    .m_Key = "progress_timeout_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {20, 600000},
    .m_Doc = "Silence of an endpoint after which it is probed on a new "
             "connection."};

inline const Setting<milliseconds> ProbeTimeoutSetting{
    .m_Section = "streams",
    .m_Key = "probe_timeout_ms",
    .m_Default = milliseconds(500),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Time in which an endpoint has to answer a probe."};

inline const Setting<double> RetryRatioSetting{
    .m_Section = "retry",
    .m_Key = "ratio",
    .m_Default = 0.1,
    .m_Unit = "",
    .m_Range = {0, 1},
    .m_Doc = "Retries per request of a traffic class."};

inline const Setting<double> RetryBurstSetting{
    .m_Section = "retry",
    .m_Key = "burst",
    .m_Default = 10,
    .m_Unit = "retries",
    .m_Range = {0, 10000},
    .m_Doc = "Retries that a traffic class may save up."};

inline const Setting<milliseconds> EndpointDownSetting{
    .m_Section = "retry",
    .m_Key = "endpoint_down_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {10, 600000},
    .m_Doc = "Time without new work for an endpoint that failed a probe."};

inline const Setting<milliseconds> QuarantinePeriodSetting{
    .m_Section = "retry",
    .m_Key = "quarantine_ms",
    .m_Default = milliseconds(600000),
    .m_Unit = "ms",
    .m_Range = {100, 86400000},
    .m_Doc = "Time for which a request is rejected after it has crashed two "
             "endpoints; doubles with each further crash."};

inline const Setting<std::int64_t> QuarantineSizeSetting{
    .m_Section = "retry",
    .m_Key = "quarantine_size",
    .m_Default = 10000,
    .m_Unit = "requests",
    .m_Range = {1, 1000000},
    .m_Doc = "Requests that crashed endpoints and are remembered."};

inline const Setting<std::int64_t> IntentRetentionSetting{
    .m_Section = "intents",
    .m_Key = "retention_offsets",
    .m_Default = 100000,
    .m_Unit = "offsets",
    .m_Range = {100, 10000000},
    .m_Doc = "Length of the intents stream for which keys are remembered; the "
             "same on all hosts."};

inline const Setting<milliseconds> IntentWaitSetting{
    .m_Section = "intents",
    .m_Key = "wait_ms",
    .m_Default = milliseconds(3000),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Time in which an appended intent has to be read back."};

inline const Setting<std::int64_t> KeptAnswersSetting{
    .m_Section = "intents",
    .m_Key = "kept_answers",
    .m_Default = 2000,
    .m_Unit = "answers",
    .m_Range = {1, 1000000},
    .m_Doc = "Answers of calls with an idempotency key that are kept."};

inline const Setting<std::int64_t> KeptAnswerBytesSetting{
    .m_Section = "intents",
    .m_Key = "kept_answer_bytes",
    .m_Default = 16 * 1024 * 1024,
    .m_Unit = "bytes",
    .m_Range = {1024, 1024.0 * 1024 * 1024},
    .m_Doc = "Memory for the answers that are kept."};

inline const Setting<milliseconds> ServiceTimeoutSetting{
    .m_Section = "intents",
    .m_Key = "execution_timeout_ms",
    .m_Default = milliseconds(60000),
    .m_Unit = "ms",
    .m_Range = {100, 3600000},
    .m_Doc = "Longest silence of a service while it runs a call that must not "
             "be repeated."};

inline const Setting<milliseconds> EndpointListPeriodSetting{
    .m_Section = "routing",
    .m_Key = "endpoint_list_ms",
    .m_Default = milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Period of reading the endpoint list from a controller."};

inline const Setting<milliseconds> LoadPeriodSetting{
    .m_Section = "routing",
    .m_Key = "load_ms",
    .m_Default = milliseconds(500),
    .m_Unit = "ms",
    .m_Range = {10, 60000},
    .m_Doc = "Period of reading the load of the endpoints in use."};

/// All settings of the router.
settings::Schema makeSchema();

} // namespace sff::router

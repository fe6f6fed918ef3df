#include "Controller/ControllerSettings.h"

namespace sff::controller {

namespace {

using settings::Setting;
using settings::TextKind;

const Setting<std::string> PeerAddress{
    .m_Section = "controller",
    .m_Key = "listen",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address for messages from other processes of the system.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

const Setting<std::string> RouterAddress{
    .m_Section = "controller",
    .m_Key = "router_address",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Peer address of the router on the same host, published with the "
             "lease.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

const Setting<std::vector<std::string>> Relays{
    .m_Section = "controller",
    .m_Key = "relays",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Peer addresses of relays; the one of this host first.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

const Setting<std::string> HostListAddress{
    .m_Section = "platform",
    .m_Key = "host_list_address",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "HTTP address of the platform's host list.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

const Setting<milliseconds> HostListPeriod{
    .m_Section = "platform",
    .m_Key = "host_list_period_ms",
    .m_Default = milliseconds(500),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Time between two reads of the host list."};

const Setting<std::vector<std::string>> FencingEndpoints{
    .m_Section = "controller",
    .m_Key = "fencing_endpoints",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Endpoints that refuse orders with an old fencing token.",
    .m_TextKind = TextKind::Name};

const Setting<bool> AllFence{
    .m_Section = "controller",
    .m_Key = "all_endpoints_fence",
    .m_Default = false,
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "States that every endpoint refuses old fencing tokens."};

const Setting<milliseconds> LeaseDuration{
    .m_Section = "lease",
    .m_Key = "duration_ms",
    .m_Default = milliseconds(6000),
    .m_Unit = "ms",
    .m_Range = {500, 300000},
    .m_Doc = "Lease of a controller, counted from sending a renewal."};

const Setting<milliseconds> LeaseRenewal{.m_Section = "lease",
                                         .m_Key = "renew_every_ms",
                                         .m_Default = milliseconds(2000),
                                         .m_Unit = "ms",
                                         .m_Range = {100, 100000},
                                         .m_Doc = "Time between two renewals."};

const Setting<milliseconds> LeaseMargin{
    .m_Section = "lease",
    .m_Key = "margin_ms",
    .m_Default = milliseconds(1500),
    .m_Unit = "ms",
    .m_Range = {100, 60000},
    .m_Doc = "What a claimant waits beyond the lease, for clock rates."};

const Setting<milliseconds> ClaimDelay{
    .m_Section = "lease",
    .m_Key = "claim_delay_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {0, 60000},
    .m_Doc = "Wait after the start before free endpoints are claimed, so that "
             "controllers that start together share them."};

const Setting<milliseconds> LoanTimeToLive{
    .m_Section = "memory",
    .m_Key = "loan_time_to_live_ms",
    .m_Default = milliseconds(3000),
    .m_Unit = "ms",
    .m_Range = {200, 60000},
    .m_Doc = "Time after which an unrenewed loan of memory credits lapses."};

const Setting<milliseconds> InventoryPeriod{
    .m_Section = "controller",
    .m_Key = "inventory_period_ms",
    .m_Default = milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Time between two reads of an endpoint's inventory. Keep it below "
             "half of the loan time to live."};

const Setting<double> ColdStartWeight{
    .m_Section = "eviction",
    .m_Key = "cold_start_weight",
    .m_Default = 20,
    .m_Unit = "",
    .m_Range = {0, 1000000},
    .m_Doc = "Price of one second of cold-start wait in idle accelerator "
             "seconds. A higher value keeps idle replicas longer."};

const Setting<double> LoadsPerSecond{
    .m_Section = "weight_store",
    .m_Key = "loads_per_second",
    .m_Default = 2.5,
    .m_Unit = "1/s",
    .m_Range = {0.01, 10000},
    .m_Doc = "Loads that the weight store allows a second in all."};

const Setting<double> ParallelLoads{
    .m_Section = "weight_store",
    .m_Key = "parallel_loads",
    .m_Default = 4,
    .m_Unit = "",
    .m_Range = {1, 10000},
    .m_Doc = "Loads that the weight store serves at full speed at once."};

const Setting<double> ReservedShare{
    .m_Section = "weight_store",
    .m_Key = "reserved_share",
    .m_Default = 0.25,
    .m_Unit = "",
    .m_Range = {0, 1},
    .m_Doc = "Share of the rate kept for controllers that cannot reach the "
             "lender of permits."};

} // namespace

settings::Schema makeSchema() {
  settings::Schema Schema;
  process::addCommonSettings(Schema);
  Schema.add(PeerAddress).add(RouterAddress).add(Relays);
  Schema.add(FencingEndpoints).add(AllFence).add(InventoryPeriod);
  Schema.add(HostListAddress).add(HostListPeriod);
  Schema.add(LeaseDuration).add(LeaseRenewal).add(LeaseMargin).add(ClaimDelay);
  Schema.add(LoanTimeToLive).add(ColdStartWeight);
  Schema.add(LoadsPerSecond).add(ParallelLoads).add(ReservedShare);
  return Schema;
}

ControllerSettings ControllerSettings::from(const process::Context &Started) {
  const settings::Settings &Values = Started.m_Settings;
  ControllerSettings Result;
  Result.m_Host = HostId(Started.m_Identity.m_Host);
  Result.m_Zone = ZoneId(Started.m_Identity.m_Zone);
  Result.m_Incarnation = IncarnationId(Started.m_Identity.m_Incarnation);
  Result.m_PeerAddress = Values.get(PeerAddress);
  Result.m_RouterAddress = Values.get(RouterAddress);
  Result.m_Relays = Values.get(Relays);
  Result.m_HostListAddress = Values.get(HostListAddress);
  Result.m_HostListPeriod = Values.get(HostListPeriod);
  Result.m_FencingEndpoints = Values.get(FencingEndpoints);
  Result.m_AllFence = Values.get(AllFence);
  Result.m_Lease = {Values.get(LeaseDuration), Values.get(LeaseRenewal),
                    Values.get(LeaseMargin)};
  Result.m_ClaimDelay = Values.get(ClaimDelay);
  Result.m_Endpoint.m_LoanTimeToLive = Values.get(LoanTimeToLive);
  Result.m_InventoryPeriod = Values.get(InventoryPeriod);
  Result.m_Eviction.m_ColdStartWeight = Values.get(ColdStartWeight);
  Result.m_LoadsPerSecond = Values.get(LoadsPerSecond);
  Result.m_ParallelLoads = Values.get(ParallelLoads);
  Result.m_ReservedShare = Values.get(ReservedShare);
  return Result;
}

} // namespace sff::controller

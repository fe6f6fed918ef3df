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
    .m_Doc =
        "Peer address of the router on the same host. It is published with "
        "the lease.",
    .m_TextKind = TextKind::Address,
    .m_Required = true};

const Setting<std::vector<std::string>> Relays{
    .m_Section = "controller",
    .m_Key = "relays",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Peer addresses of relays, starting with the one of this host.",
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
    .m_Doc = "Interval between two reads of the host list."};

const Setting<std::vector<std::string>> FencingEndpoints{
    .m_Section = "controller",
    .m_Key = "fencing_endpoints",
    .m_Default = {},
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Endpoints that refuse orders with a stale fencing token.",
    .m_TextKind = TextKind::Name};

const Setting<bool> AllEndpointsFence{
    .m_Section = "controller",
    .m_Key = "all_endpoints_fence",
    .m_Default = false,
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Whether all endpoints refuse orders with a stale fencing token."};

const Setting<milliseconds> LeaseDuration{
    .m_Section = "lease",
    .m_Key = "duration_ms",
    .m_Default = milliseconds(6000),
    .m_Unit = "ms",
    .m_Range = {500, 300000},
    .m_Doc =
        "Duration of a controller's lease, measured from the time at which "
        "a renewal is sent."};

const Setting<milliseconds> LeaseRenewalInterval{
    .m_Section = "lease",
    .m_Key = "renew_every_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {100, 100000},
    .m_Doc = "Interval between two renewals."};

const Setting<milliseconds> LeaseMargin{
    .m_Section = "lease",
    .m_Key = "margin_ms",
    .m_Default = milliseconds(1500),
    .m_Unit = "ms",
    .m_Range = {100, 60000},
    .m_Doc = "Time that a claimant waits beyond the lease duration, to allow "
             "for differences between clock rates."};

const Setting<milliseconds> ClaimDelay{
    .m_Section = "lease",
    .m_Key = "claim_delay_ms",
    .m_Default = milliseconds(2000),
    .m_Unit = "ms",
    .m_Range = {0, 60000},
    .m_Doc = "Delay after the start before endpoints are claimed, so that "
             "controllers that start together share them."};

const Setting<milliseconds> LoanTimeToLive{
    .m_Section = "memory",
    .m_Key = "loan_time_to_live_ms",
    .m_Default = milliseconds(3000),
    .m_Unit = "ms",
    .m_Range = {200, 60000},
    .m_Doc = "Time after which a loan of memory credits lapses unless it is "
             "renewed."};

const Setting<milliseconds> InventoryPeriod{
    .m_Section = "controller",
    .m_Key = "inventory_period_ms",
    .m_Default = milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {50, 60000},
    .m_Doc = "Interval between two reads of an endpoint's inventory. Keep it "
             "below half of the loan time to live."};

const Setting<double> ColdStartWeight{
    .m_Section = "eviction",
    .m_Key = "cold_start_weight",
    .m_Default = 20,
    .m_Unit = "",
    .m_Range = {0, 1000000},
    .m_Doc = "Cost of one second of waiting for a cold start, in seconds of "
             "idle accelerator time. A higher value keeps idle replicas "
             "longer."};

const Setting<double> LoadsPerSecond{
    .m_Section = "weight_store",
    .m_Key = "loads_per_second",
    .m_Default = 2.5,
    .m_Unit = "1/s",
    .m_Range = {0.01, 10000},
    .m_Doc = "Total number of loads per second that the weight store allows."};

const Setting<double> ParallelLoads{
    .m_Section = "weight_store",
    .m_Key = "parallel_loads",
    .m_Default = 4,
    .m_Unit = "",
    .m_Range = {1, 10000},
    .m_Doc = "Number of concurrent loads that the weight store serves at full "
             "speed."};

const Setting<double> ReservedShare{
    .m_Section = "weight_store",
    .m_Key = "reserved_share",
    .m_Default = 0.25,
    .m_Unit = "",
    .m_Range = {0, 1},
    .m_Doc = "Share of the load rate that is reserved for controllers that "
             "cannot reach the controller that lends permits."};

} // namespace

settings::Schema makeSchema() {
  settings::Schema Schema;
  process::addCommonSettings(Schema);
  Schema.add(PeerAddress).add(RouterAddress).add(Relays);
  Schema.add(FencingEndpoints).add(AllEndpointsFence).add(InventoryPeriod);
  Schema.add(HostListAddress).add(HostListPeriod);
  Schema.add(LeaseDuration)
      .add(LeaseRenewalInterval)
      .add(LeaseMargin)
      .add(ClaimDelay);
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
  Result.m_AllEndpointsFence = Values.get(AllEndpointsFence);
  Result.m_LeaseTimes = {Values.get(LeaseDuration),
                         Values.get(LeaseRenewalInterval),
                         Values.get(LeaseMargin)};
  Result.m_ClaimDelay = Values.get(ClaimDelay);
  Result.m_EndpointTimes.m_LoanTimeToLive = Values.get(LoanTimeToLive);
  Result.m_InventoryPeriod = Values.get(InventoryPeriod);
  Result.m_Eviction.m_ColdStartWeight = Values.get(ColdStartWeight);
  Result.m_LoadsPerSecond = Values.get(LoadsPerSecond);
  Result.m_ParallelLoads = Values.get(ParallelLoads);
  Result.m_ReservedShare = Values.get(ReservedShare);
  return Result;
}

} // namespace sff::controller

#include "CapacityBench/ClusterBuilder.h"
#include "CapacityBench/LinearFit.h"
#include "Core/Messages/RelayMessages.h"
#include "Core/Ownership/ClaimPolicy.h"
#include "Core/Placement/SlotPlanner.h"
#include "Net/Peer/Dispatcher.h"

#include <CLI/CLI.hpp>
#include <malloc.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace sff;
using bench::ClusterBuilder;
using bench::ClusterSize;

constexpr std::size_t TargetHosts = 390;
constexpr std::size_t TargetEndpoints = 2000;
constexpr std::size_t TargetEntries = 3800;
constexpr int Repeats = 5;

/// Measured sizes, as fractions of the target size. The values at the target
/// are predicted from the smaller sizes and then measured to check this.
constexpr double SizeFractions[] = {0.125, 0.25, 0.5, 1.0};

ClusterSize scaledSize(double Fraction) {
  return {static_cast<std::size_t>(TargetHosts * Fraction),
          static_cast<std::size_t>(TargetEndpoints * Fraction),
          static_cast<std::size_t>(TargetEntries * Fraction)};
}

double elapsedMicroseconds(const std::function<void()> &Work) {
  const auto Start = std::chrono::steady_clock::now();
  Work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

/// Returns the shortest time of several runs, which other load on the machine
/// disturbed least.
double shortestMicroseconds(const std::function<void()> &Work) {
  double Shortest = elapsedMicroseconds(Work);
  for (int Run = 1; Run < Repeats; ++Run)
    Shortest = std::min(Shortest, elapsedMicroseconds(Work));
  return Shortest;
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

struct Measurement {
  std::string m_Name;
  std::string m_Unit;
  std::function<double(ClusterBuilder &)> m_Run;
};

double measureRenewal(ClusterBuilder &Cluster) {
  constexpr std::size_t Count = 2000;
  const std::size_t Hosts = Cluster.state().leases().size();
  return shortestMicroseconds([&] {
           for (std::size_t Index = 0; Index < Count; ++Index)
             Cluster.apply(Cluster.nextRenewal(Index % Hosts));
         }) /
         Count;
}

double measureCatalogueChange(ClusterBuilder &Cluster) {
  constexpr std::size_t Count = 500;
  const std::size_t Entries = Cluster.state().catalogue().size();
  return shortestMicroseconds([&] {
           for (std::size_t Index = 0; Index < Count; ++Index)
             Cluster.apply(Cluster.entryChange(Index % Entries));
         }) /
         Count;
}

double measureDecode(ClusterBuilder &Cluster) {
  constexpr std::size_t Count = 500;
  const nlohmann::json Data = fold::toJson(Cluster.nextRenewal(0));
  const codec::Bytes Wire = peer::encodeEnvelope(
      "fetch_records",
      messages::FetchRecordsReply{
          1, 1, true, std::vector<messages::StreamRecord>(Count, {1, Data})});
  return shortestMicroseconds([&] {
           const auto Received =
               nlohmann::json::from_msgpack(Wire).get<peer::Envelope>();
           const auto Reply =
               Received.m_Body.get<messages::FetchRecordsReply>();
           for (const auto &Item : Reply.m_Records)
             (void)fold::fromJson(Item.m_Data);
         }) /
         Count;
}

double measureClaimPlanning(ClusterBuilder &Cluster) {
  ownership::LeaseObserver Observer{ownership::LeaseTimes{}};
  const Instant Now = std::chrono::steady_clock::now();
  for (const auto &[Incarnation, Item] : Cluster.state().leases())
    Observer.onRenewalRead(Incarnation, Item.m_LastRenewal, Now);
  const ownership::ClaimContext Context{Cluster.state(),
                                        Observer,
                                        {},
                                        Cluster.endpoints(),
                                        ClusterBuilder::incarnationId(0),
                                        Now};
  return shortestMicroseconds([&] { (void)ownership::planClaims(Context); });
}

double measureSlotPlanning(ClusterBuilder &Cluster) {
  placement::PlanContext Context{Cluster.state(), Cluster.endpoints(),
                                 ClusterBuilder::incarnationId(0)};
  return shortestMicroseconds([&] {
    (void)placement::planGrants(Context);
    (void)placement::planReleases(Context);
  });
}

double measureSnapshotSerialization(ClusterBuilder &Cluster) {
  return shortestMicroseconds(
             [&] { (void)Cluster.state().toSnapshot().dump(); }) /
         1000;
}

double measureSnapshotBytes(ClusterBuilder &Cluster) {
  return static_cast<double>(Cluster.state().toSnapshot().dump().size()) / 1024;
}

const std::vector<Measurement> &measurements() {
  static const std::vector<Measurement> List = {
      {"fold a lease renewal", "us", measureRenewal},
      {"fold a catalogue change", "us", measureCatalogueChange},
      {"decode a record from a relay", "us", measureDecode},
      {"plan claims, nothing to do", "us", measureClaimPlanning},
      {"plan slots, nothing to do", "us", measureSlotPlanning},
      {"write a snapshot", "ms", measureSnapshotSerialization},
      {"snapshot size", "KiB", measureSnapshotBytes},
  };
  return List;
}

void printRow(const std::string &Name, const std::string &Unit,
              const std::vector<bench::Point> &Points) {
  const std::span<const bench::Point> Fitted(Points.data(), Points.size() - 1);
  const bench::LinearFit Line = bench::fitLine(Fitted);
  std::printf("| %s | %s |", Name.c_str(), Unit.c_str());
  for (const bench::Point &Item : Points)
    std::printf(" %.3g |", Item.m_Value);
  std::printf(" %.3g + %.3g x | %.0f%% | %.3g |\n", Line.m_Intercept,
              Line.m_Slope, Line.m_MaxRelativeError * 100, Line.predict(1.0));
}

void printRecordSizes() {
  ClusterBuilder Cluster(scaledSize(0.125));
  const auto Size = [](const fold::Record &Value) {
    return nlohmann::json::to_msgpack(nlohmann::json(messages::StreamRecord{
                                          1000000, fold::toJson(Value)}))
        .size();
  };
  std::printf(
      "\n| record | bytes on the wire between processes |\n|---|---|\n");
  std::printf("| lease renewal | %zu |\n", Size(Cluster.nextRenewal(0)));
  std::printf("| catalogue change | %zu |\n", Size(Cluster.entryChange(0)));
  std::printf("| slot grant of one slot | %zu |\n",
              Size(fold::SlotGrant{makeId<RecordId>(),
                                   ClusterBuilder::incarnationId(0),
                                   {{ClusterBuilder::entryName(0), 0,
                                     EndpointId("endpoint-1"), 1000000}}}));
  std::printf("| claim of one endpoint | %zu |\n",
              Size(fold::OwnershipClaim{
                  makeId<RecordId>(),
                  ClusterBuilder::incarnationId(0),
                  {{EndpointId("endpoint-1"), 1000000, 1000000}}}));
  messages::HostHeartbeat Heartbeat{HostId("host-1"),
                                    ZoneId("zone-1"),
                                    ClusterBuilder::incarnationId(1),
                                    1000,
                                    "10.0.0.1:7000",
                                    1000000,
                                    true,
                                    false};
  std::printf("| heartbeat of one host | %zu |\n",
              nlohmann::json::to_msgpack(nlohmann::json(Heartbeat)).size());
}

void printTable() {
  std::printf("| measure | unit |");
  for (const double Fraction : SizeFractions)
    std::printf(" x=%.3g |", Fraction);
  std::printf(" fit without x=1 | worst error | predicted x=1 |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|\n");
  std::vector<std::vector<bench::Point>> Rows(measurements().size());
  std::vector<bench::Point> Memory;
  for (const double Fraction : SizeFractions) {
    const std::size_t Before = heapBytes();
    ClusterBuilder Cluster(scaledSize(Fraction));
    Memory.push_back({Fraction, static_cast<double>(heapBytes() - Before) /
                                    (1024.0 * 1024)});
    for (std::size_t Index = 0; Index < measurements().size(); ++Index)
      Rows[Index].push_back({Fraction, measurements()[Index].m_Run(Cluster)});
  }
  for (std::size_t Index = 0; Index < measurements().size(); ++Index)
    printRow(measurements()[Index].m_Name, measurements()[Index].m_Unit,
             Rows[Index]);
  printRow("folded state in memory", "MiB", Memory);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{
      "Measures how the cost of the control plane grows with the size of "
      "the deployment. x=1 is 390 hosts, 2,000 endpoints and 3,800 "
      "entries.",
      "sff-capacity-bench"};
  App.set_version_flag("--version", SFF_VERSION);
  CLI11_PARSE(App, Count, Arguments);
  printTable();
  printRecordSizes();
  return 0;
}

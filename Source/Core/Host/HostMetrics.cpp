#include "Host/HostMetrics.h"

namespace sff::host {

namespace {

prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 20};
}

prometheus::Histogram::BucketBoundaries ratioBuckets() {
  return {0.25, 0.5, 0.75, 1, 1.5, 2, 4, 8};
}

} // namespace

HostMetrics::HostMetrics()
    : m_Requests(
          m_Set.counterFamily("sff_host_requests_total",
                              "Requests of callers by outcome and reason")),
      m_Admissions(m_Set.counterFamily(
          "sff_host_admissions_total",
          "Decisions of the queue for slots, by outcome and reason")),
      m_AdmissionWaits(
          histogram("sff_host_admission_wait_seconds",
                    "Time in the queue of requests that were sent")),
      m_Orders(m_Set.counterFamily("sff_host_orders_total",
                                   "Orders to endpoints by result")),
      m_WantedReplicas(
          m_Set.gauge("sff_host_replicas_wanted",
                      "Replicas that the models with too few of them need")),
      m_HeldReplicas(
          m_Set.gauge("sff_host_replicas_held",
                      "Replicas that the models with too few of them have")),
      m_StoreCalls(
          m_Set.counterFamily("sff_host_store_calls_total",
                              "Calls to the store by call and result")),
      m_StoreRestores(
          m_Set.counter("sff_host_store_restores_total",
                        "Restores of the store from an older copy")),
      m_LogQueries(m_Set.counterFamily(
          "sff_host_log_queries_total",
          "Queries to other hosts whether a log of the store has grown")),
      m_Durations(histogram("sff_host_request_seconds",
                            "Time from a request to the end of its answer")),
      m_FirstByte(histogram("sff_host_first_byte_seconds",
                            "Time from a request to the head of its answer")),
      m_FirstByteRatios(
          m_Set
              .histogramFamily("sff_host_first_byte_ratio",
                               "Time from a send to the first byte, relative "
                               "to the time expected by the choice")
              .Add({}, ratioBuckets())),
      m_Swaps(histogram("sff_host_swap_seconds",
                        "Time from the plan of a load to its end")),
      m_Retries(m_Set.counter("sff_host_retries_total",
                              "Requests sent to a further endpoint")),
      m_Resumes(m_Set.counter("sff_host_resumes_total",
                              "Streams that went on at another endpoint")),
      m_LostRequests(
          m_Set.counter("sff_host_lost_requests_total",
                        "Requests whose connection to the endpoint was lost")),
      m_Relays(m_Set.counterFamily("sff_host_relays_total",
                                   "Requests passed on to another host")),
      m_RelayRequests(m_Set.counterFamily(
          "sff_host_relay_requests_total",
          "Requests that other hosts have passed on to this host")),
      m_LinkProbes(m_Set.counterFamily(
          "sff_host_link_probes_total",
          "Rounds of connections that test the links to endpoints")),
      m_LinkChecks(m_Set.counterFamily(
          "sff_host_link_checks_total",
          "Health checks that test the links, by the result of their round")),
      m_Isolated(m_Set.gauge("sff_host_isolated",
                             "1 while this host reaches no endpoint")),
      m_Silences(m_Set.counterFamily(
          "sff_host_silences_total",
          "Endpoints that sent nothing for too long, by the host's reaction")),
      m_Answers(m_Set.counterFamily(
          "sff_host_answers_total",
          "Answers of endpoints by the framing and the end of the body")),
      m_AnswerEnds(m_Set.counterFamily(
          "sff_host_answer_ends_total",
          "Answers that ended with their connection, by what the host has "
          "found out about the end")),
      m_AnswersTooLong(m_Set.counterFamily(
          "sff_host_answers_too_long_total",
          "Answers that were given up because too much of them had to be held, "
          "by the limit: that of one answer, or that of all together")),
      m_ClientRejections(m_Set.counterFamily(
          "sff_host_client_rejections_total",
          "Requests and connections that were rejected before they were "
          "handled, by cause")),
      m_Crashes(m_Set.counterFamily(
          "sff_host_crashes_total",
          "Endpoint crashes attributed to a request, by source")),
      m_SuspectCrashes(m_Set.gaugeFamily(
          "sff_host_suspect_crashes",
          "Crashes that count for a request, by its fingerprint")),
      m_PartEvents(m_Set.counterFamily(
          "sff_host_part_events_total",
          "Changes of what is known of crashes by prompt part")),
      m_SuspectPartCrashes(m_Set.gaugeFamily(
          "sff_host_suspect_part_crashes",
          "Crashes that count for a part of prompts, by its id")),
      m_MalformedRecords(
          m_Set.counter("sff_host_unreadable_records_total",
                        "Records of the store that were not understood")),
      m_StreamsTakenUp(m_Set.counterFamily(
          "sff_host_streams_taken_up_total",
          "Streams that callers took up, by what became of them")),
      m_StreamNotices(m_Set.counterFamily(
          "sff_host_stream_notices_total",
          "Messages to other hosts about the versions of streams")),
      m_Removals(m_Set.counterFamily(
          "sff_host_removals_total",
          "Removals of registrations by what the host did")),
      m_EndpointNotices(m_Set.counterFamily(
          "sff_host_endpoint_notices_total",
          "Notices of endpoints about themselves in their answers, by kind")),
      m_Quotas(
          m_Set.counterFamily("sff_host_quota_units_total",
                              "Units of tenants' quotas by tenant and result")),
      m_QuotaUsed(m_Set.gaugeFamily(
          "sff_host_quota_used_units",
          "Units that the hosts of a lessor use and hold, by tenant")),
      m_Endpoints(m_Set.gauge("sff_host_endpoints", "Known endpoints")),
      m_LimitedEndpoints(
          m_Set.gauge("sff_host_limited_endpoints",
                      "Endpoints that name a limit on their request rate")),
      m_RejectionLimitedEndpoints(m_Set.gauge(
          "sff_host_rejection_limited_endpoints",
          "Endpoints that name a limit on the requests that they reject")),
      m_CatalogueVersion(m_Set.gauge("sff_host_catalogue_version",
                                     "Version of the configuration in force")),
      m_CatalogueAge(
          m_Set.gauge("sff_host_catalogue_age_seconds",
                      "Time since the store confirmed the configuration")),
      m_EndpointsAge(
          m_Set.gauge("sff_host_endpoints_age_seconds",
                      "Time since the store confirmed the registrations")) {}

prometheus::Histogram &HostMetrics::histogram(const std::string &Name,
                                              const std::string &Help) {
  return m_Set.histogramFamily(Name, Help).Add({}, latencyBuckets());
}

void HostMetrics::observe(prometheus::Histogram &Target, Duration Taken) {
  Target.Observe(toSeconds(Taken));
}

void HostMetrics::onExpectedFirstByte(Duration Taken, Duration Expected) {
  if (Expected > Duration::zero())
    m_FirstByteRatios.Observe(toSeconds(Taken) / toSeconds(Expected));
}

void HostMetrics::onOutcome(std::string_view Outcome, std::string_view Reason,
                            Duration Taken) {
  m_Requests
      .Add({{"outcome", std::string(Outcome)}, {"reason", std::string(Reason)}})
      .Increment();
  observe(m_Durations, Taken);
}

void HostMetrics::onRelay(std::string_view Result) {
  m_Relays.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::onRelayRequest(std::string_view Result) {
  m_RelayRequests.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::onLinkProbes(std::string_view Result) {
  m_LinkProbes.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::onLinkChecks(std::string_view Result, std::size_t Checks) {
  m_LinkChecks.Add({{"result", std::string(Result)}})
      .Increment(static_cast<double>(Checks));
}

void HostMetrics::setIsolated(bool IsIsolated) {
  m_Isolated.Set(IsIsolated ? 1 : 0);
}

void HostMetrics::onAdmission(std::string_view Outcome, std::string_view Reason,
                              Duration Waited) {
  m_Admissions
      .Add({{"outcome", std::string(Outcome)}, {"reason", std::string(Reason)}})
      .Increment();
  if (Reason.empty())
    observe(m_AdmissionWaits, Waited);
}

void HostMetrics::onSilence(std::string_view Reaction) {
  m_Silences.Add({{"reaction", std::string(Reaction)}}).Increment();
}

void HostMetrics::onAnswer(std::string_view Framing, std::string_view End) {
  m_Answers.Add({{"framing", std::string(Framing)}, {"end", std::string(End)}})
      .Increment();
}

void HostMetrics::onAnswerEndJudged(std::string_view Verdict) {
  m_AnswerEnds.Add({{"verdict", std::string(Verdict)}}).Increment();
}

void HostMetrics::onAnswerTooLong(std::string_view Limit) {
  m_AnswersTooLong.Add({{"limit", std::string(Limit)}}).Increment();
}

void HostMetrics::onClientRejected(std::string_view Cause) {
  m_ClientRejections.Add({{"cause", std::string(Cause)}}).Increment();
}

void HostMetrics::onCrash(std::string_view Source) {
  m_Crashes.Add({{"source", std::string(Source)}}).Increment();
}

void HostMetrics::setSuspect(const std::string &Fingerprint,
                             std::size_t Crashes) {
  setBounded(m_Suspects, m_SuspectCrashes, "fingerprint", Fingerprint, Crashes);
}

void HostMetrics::setSuspectPart(const std::string &Part, std::size_t Crashes) {
  setBounded(m_SuspectParts, m_SuspectPartCrashes, "part", Part, Crashes);
}

void HostMetrics::setBounded(std::map<std::string, prometheus::Gauge *> &Series,
                             prometheus::Family<prometheus::Gauge> &Family,
                             const std::string &Label, const std::string &Name,
                             std::size_t Crashes) {
  auto Found = Series.find(Name);
  if (Found == Series.end()) {
    if (Crashes < 2 || Series.size() >= MaxSuspects)
      return;
    Found = Series.emplace(Name, &Family.Add({{Label, Name}})).first;
  }
  if (Crashes < 2) {
    Family.Remove(Found->second);
    Series.erase(Found);
    return;
  }
  Found->second->Set(static_cast<double>(Crashes));
}

void HostMetrics::onPartEvent(std::string_view Event) {
  m_PartEvents.Add({{"event", std::string(Event)}}).Increment();
}

void HostMetrics::onOrder(std::string_view Result) {
  m_Orders.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::setOverloadedReplicas(int Wanted, int Held) {
  m_WantedReplicas.Set(Wanted);
  m_HeldReplicas.Set(Held);
}

void HostMetrics::onStoreCall(std::string_view Call, bool Answered) {
  m_StoreCalls
      .Add({{"call", std::string(Call)}, {"answered", Answered ? "yes" : "no"}})
      .Increment();
}

void HostMetrics::onLogQuery(std::string_view Result) {
  m_LogQueries.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::onUnreadableRecords(int Records) {
  if (Records > 0)
    m_MalformedRecords.Increment(Records);
}

void HostMetrics::onStreamTakenUp(std::string_view Result) {
  m_StreamsTakenUp.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::onStreamNotice(bool Answered) {
  m_StreamNotices.Add({{"answered", Answered ? "yes" : "no"}}).Increment();
}

void HostMetrics::onRemoval(std::string_view Result) {
  m_Removals.Add({{"result", std::string(Result)}}).Increment();
}

void HostMetrics::onEndpointNotice(std::string_view Kind) {
  m_EndpointNotices.Add({{"kind", std::string(Kind)}}).Increment();
}

const std::string &HostMetrics::tenantLabel(const std::string &Tenant) {
  static const std::string Other(OtherTenants);
  if (m_Tenants.size() < MaxTenants)
    m_Tenants.insert(Tenant);
  return m_Tenants.contains(Tenant) ? Tenant : Other;
}

void HostMetrics::onQuota(const std::string &Tenant, std::string_view Result,
                          double Units) {
  m_Quotas
      .Add({{"tenant", tenantLabel(Tenant)}, {"result", std::string(Result)}})
      .Increment(Units);
}

void HostMetrics::setQuotaUsed(const std::string &Tenant, double Units) {
  // A gauge of several tenants would show only the latest.
  if (const std::string &Label = tenantLabel(Tenant); Label == Tenant)
    m_QuotaUsed.Add({{"tenant", Label}}).Set(Units);
}

void HostMetrics::setEndpoints(std::size_t Count) {
  m_Endpoints.Set(static_cast<double>(Count));
}

void HostMetrics::setLimitedEndpoints(std::size_t Count) {
  m_LimitedEndpoints.Set(static_cast<double>(Count));
}

void HostMetrics::setRejectionLimitedEndpoints(std::size_t Count) {
  m_RejectionLimitedEndpoints.Set(static_cast<double>(Count));
}

void HostMetrics::setCatalogueVersion(std::int64_t Version) {
  m_CatalogueVersion.Set(static_cast<double>(Version));
}

void HostMetrics::setBeliefAges(Duration Catalogue, Duration Endpoints) {
  m_CatalogueAge.Set(toSeconds(Catalogue));
  m_EndpointsAge.Set(toSeconds(Endpoints));
}

} // namespace sff::host

#include "Router/RouterMetrics.h"

#include "Router/OutcomeResponse.h"

#include <prometheus/text_serializer.h>

namespace sff::router {

namespace {

const prometheus::Histogram::BucketBoundaries DurationBuckets{
    0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30, 60, 120};

std::string labelOf(catalogue::TrafficClass Class) {
  return nlohmann::json(Class).get<std::string>();
}

prometheus::Family<prometheus::Histogram> &
histogram(prometheus::Registry &Registry, const std::string &Name,
          const std::string &Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(Registry);
}

} // namespace

RouterMetrics::RouterMetrics()
    : m_Requests(prometheus::BuildCounter()
                     .Name("sff_router_requests_total")
                     .Help("Requests by class, outcome and reason.")
                     .Register(m_Registry)),
      m_Durations(histogram(m_Registry, "sff_router_request_duration_seconds",
                            "Time from arrival to the end of the answer.")),
      m_FirstTokens(histogram(m_Registry,
                              "sff_router_time_to_first_token_seconds",
                              "Time from arrival to the first token.")),
      m_Retries(counter("sff_router_retries_total", "Attempts repeated.")),
      m_Resumes(counter("sff_router_resumes_total", "Streams resumed.")),
      m_Crashes(counter("sff_router_endpoint_crashes_total",
                        "Endpoints lost while they ran a request.")),
      m_Mismatches(counter("sff_router_wrong_answers_total",
                           "Answers that belonged to another request.")),
      m_Cancels(counter("sff_router_cancels_total",
                        "Requests cancelled at an endpoint.")),
      m_Waiting(gauge("sff_router_waiting_requests", "Requests that wait.")),
      m_Running(gauge("sff_router_running_requests", "Requests that run.")),
      m_LogReachable(gauge("sff_router_log_reachable",
                           "1 while the relay has contact with the log.")),
      m_AppliedOffset(gauge("sff_router_applied_offset",
                            "Offset of the control stream in force.")) {}

prometheus::Counter &RouterMetrics::counter(const std::string &Name,
                                            const std::string &Help) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(m_Registry)
      .Add({});
}

prometheus::Gauge &RouterMetrics::gauge(const std::string &Name,
                                        const std::string &Help) {
  return prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(m_Registry)
      .Add({});
}

void RouterMetrics::count(catalogue::TrafficClass Class,
                          std::string_view Outcome, std::string_view Reason,
                          Duration Taken) {
  m_Requests
      .Add({{"class", labelOf(Class)},
            {"outcome", std::string(Outcome)},
            {"reason", std::string(Reason)}})
      .Increment();
  m_Durations.Add({{"class", labelOf(Class)}}, DurationBuckets)
      .Observe(toSeconds(Taken));
}

void RouterMetrics::onOutcome(catalogue::TrafficClass Class,
                              const execution::Outcome &Value, Duration Taken) {
  count(Class, nameOf(Value), reasonOf(Value), Taken);
}

void RouterMetrics::onStreamEnd(catalogue::TrafficClass Class,
                                std::string_view Outcome, Duration Taken) {
  count(Class, Outcome, "", Taken);
}

void RouterMetrics::onFirstToken(catalogue::TrafficClass Class,
                                 Duration Taken) {
  m_FirstTokens.Add({{"class", labelOf(Class)}}, DurationBuckets)
      .Observe(toSeconds(Taken));
}

std::string RouterMetrics::serialize() const {
  return prometheus::TextSerializer().Serialize(m_Registry.Collect());
}

} // namespace sff::router

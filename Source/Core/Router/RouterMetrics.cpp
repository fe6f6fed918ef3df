#include "Router/RouterMetrics.h"

#include "Router/OutcomeResponse.h"

namespace sff::router {

namespace {

const prometheus::Histogram::BucketBoundaries DurationBuckets{
    0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30, 60, 120};

std::string labelOf(catalogue::TrafficClass Class) {
  return nlohmann::json(Class).get<std::string>();
}

} // namespace

RouterMetrics::RouterMetrics()
    : m_Requests(m_Set.counterFamily("sff_router_requests_total",
                                     "Requests by class, outcome and reason.")),
      m_Durations(
          m_Set.histogramFamily("sff_router_request_duration_seconds",
                                "Time from arrival to the end of the answer.")),
      m_FirstTokens(
          m_Set.histogramFamily("sff_router_time_to_first_token_seconds",
                                "Time from arrival to the first token.")),
      m_Retries(
          m_Set.counter("sff_router_retries_total", "Attempts repeated.")),
      m_Resumes(m_Set.counter("sff_router_resumes_total", "Streams resumed.")),
      m_Crashes(m_Set.counter("sff_router_endpoint_crashes_total",
                              "Endpoints lost while they ran a request.")),
      m_Mismatches(m_Set.counter("sff_router_wrong_answers_total",
                                 "Answers that belonged to another request.")),
      m_Cancels(m_Set.counter("sff_router_cancels_total",
                              "Requests cancelled at an endpoint.")),
      m_Waiting(
          m_Set.gauge("sff_router_waiting_requests", "Requests that wait.")),
      m_Running(
          m_Set.gauge("sff_router_running_requests", "Requests that run.")),
      m_LogReachable(
          m_Set.gauge("sff_router_log_reachable",
                      "1 while the relay has contact with the log.")),
      m_AppliedOffset(m_Set.gauge("sff_router_applied_offset",
                                  "Offset of the control stream in force.")) {}

void RouterMetrics::count(catalogue::TrafficClass Class,
                          std::string_view Outcome, std::string_view Reason,
                          Duration Elapsed) {
  m_Requests
      .Add({{"class", labelOf(Class)},
            {"outcome", std::string(Outcome)},
            {"reason", std::string(Reason)}})
      .Increment();
  m_Durations.Add({{"class", labelOf(Class)}}, DurationBuckets)
      .Observe(toSeconds(Elapsed));
}

void RouterMetrics::onOutcome(catalogue::TrafficClass Class,
                              const execution::Outcome &Value,
                              Duration Elapsed) {
  count(Class, nameOf(Value), reasonOf(Value), Elapsed);
}

void RouterMetrics::onRequestEnd(catalogue::TrafficClass Class,
                                 std::string_view Outcome, Duration Elapsed) {
  count(Class, Outcome, "", Elapsed);
}

void RouterMetrics::onFirstToken(catalogue::TrafficClass Class,
                                 Duration Elapsed) {
  m_FirstTokens.Add({{"class", labelOf(Class)}}, DurationBuckets)
      .Observe(toSeconds(Elapsed));
}

} // namespace sff::router

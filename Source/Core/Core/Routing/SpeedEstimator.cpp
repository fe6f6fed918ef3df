#include "Core/Routing/SpeedEstimator.h"

#include <algorithm>
#include <cmath>

namespace sff::routing {
namespace {

/// Bounds of what an endpoint may report and of the estimate.
constexpr double MinSlowness = 0.1;
constexpr double MaxSlowness = 20;
/// The speed changes many times a second, so that the latest report soon says
/// no more than the mean of the reports.
constexpr double ReportTimeConstant = 0.3;
constexpr double MeanTimeConstant = 2;
/// What is known of an endpoint that sends no answers fades, so that it is
/// tried again.
constexpr double FadeTimeConstant = 5;
/// Weight of the latest answer in the error of the reports, and in the time
/// that answers of a kind take.
constexpr double ErrorWeight = 0.15;
constexpr double ReferenceWeight = 0.05;
/// Limits the effect of one answer on the reference, in the logarithm.
constexpr double MaxReferenceStep = 0.5;
/// Number of answers that give half of the confidence in the error.
constexpr double HalfConfidenceAnswers = 3;
/// Errors below the first bound, in the logarithm, are noise; those above the
/// second one count in full.
constexpr double IgnoredError = 0.25;
constexpr double CertainError = 0.6;

double ageSeconds(Instant Then, Instant Now) {
  return std::max(0.0, toSeconds(Now - Then));
}

} // namespace

void SpeedEstimator::onReport(const EndpointId &Endpoint, double Slowness,
                              Instant Now) {
  Entry &State = m_Entries[Endpoint];
  Slowness = std::clamp(Slowness, MinSlowness, MaxSlowness);
  const double Weight =
      State.m_ReportedAt ? 1 - std::exp(-ageSeconds(*State.m_ReportedAt, Now) /
                                        MeanTimeConstant)
                         : 1;
  State.m_Mean += Weight * (Slowness - State.m_Mean);
  State.m_Latest = Slowness;
  State.m_ReportedAt = Now;
}

void SpeedEstimator::onAnswer(const EndpointId &Endpoint, const WorkSize &Size,
                              Duration FirstByte, Instant Now) {
  const double Seconds = toSeconds(FirstByte);
  if (Seconds <= 0 || Size.m_Work <= 0 || Size.m_LoadFactor <= 0)
    return;
  Entry &State = m_Entries[Endpoint];
  Reference &Usual = m_References[Size.m_Kind];
  const double LogSeconds =
      std::log(Seconds / (Size.m_Work * Size.m_LoadFactor)) -
      std::log(reported(State, Now));
  if (Usual.m_Answers == 0)
    Usual.m_LogSeconds = LogSeconds;
  const double Error = LogSeconds - Usual.m_LogSeconds;
  ++Usual.m_Answers;
  Usual.m_LogSeconds += std::max(ReferenceWeight, 1.0 / Usual.m_Answers) *
                        std::clamp(Error, -MaxReferenceStep, MaxReferenceStep);
  ++State.m_Answers;
  State.m_LogError +=
      std::max(ErrorWeight, 1.0 / State.m_Answers) *
      (std::clamp(Error, std::log(MinSlowness), std::log(MaxSlowness)) -
       State.m_LogError);
  State.m_AnsweredAt = Now;
}

bool SpeedEstimator::hasReports(const EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found != m_Entries.end() && Found->second.m_ReportedAt;
}

double SpeedEstimator::reported(const Entry &State, Instant Now) const {
  if (!State.m_ReportedAt)
    return 1;
  const double Age = ageSeconds(*State.m_ReportedAt, Now);
  const double Mean =
      1 + (State.m_Mean - 1) * std::exp(-Age / FadeTimeConstant);
  return Mean + (State.m_Latest - Mean) * std::exp(-Age / ReportTimeConstant);
}

double SpeedEstimator::correction(const Entry &State, Instant Now) const {
  if (State.m_Answers == 0)
    return 1;
  const double Confidence =
      State.m_Answers / (State.m_Answers + HalfConfidenceAnswers) *
      std::exp(-ageSeconds(State.m_AnsweredAt, Now) / FadeTimeConstant);
  const double Significance =
      std::clamp((std::abs(State.m_LogError) - IgnoredError) /
                     (CertainError - IgnoredError),
                 0.0, 1.0);
  return std::exp(State.m_LogError * Confidence * Significance);
}

double SpeedEstimator::slowness(const EndpointId &Endpoint, Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || !Found->second.m_ReportedAt)
    return 1;
  return std::clamp(reported(Found->second, Now) *
                        correction(Found->second, Now),
                    MinSlowness, MaxSlowness);
}

std::optional<Duration> SpeedEstimator::reportAge(const EndpointId &Endpoint,
                                                  Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || !Found->second.m_ReportedAt)
    return std::nullopt;
  return Now - *Found->second.m_ReportedAt;
}

std::optional<Duration>
SpeedEstimator::expectedFirstByte(const EndpointId &Endpoint,
                                  const WorkSize &Size, Instant Now) const {
  const auto Usual = m_References.find(Size.m_Kind);
  if (Usual == m_References.end())
    return std::nullopt;
  return fromSeconds(std::exp(Usual->second.m_LogSeconds) * Size.m_Work *
                     Size.m_LoadFactor * slowness(Endpoint, Now));
}

} // namespace sff::routing

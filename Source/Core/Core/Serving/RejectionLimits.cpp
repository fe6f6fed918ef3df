#include "Core/Serving/RejectionLimits.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// A limit that an endpoint has named holds for the others of its service for
/// this long.
constexpr milliseconds ServiceValidity{10000};
/// Part of the slots that hosts fill without knowing of each other. The rest is
/// a margin, because their shares are rounded independently.
constexpr double ShareOfSlots = 0.8;
/// The same for fragile endpoints.
constexpr double CautiousShareOfSlots = 0.6;
/// Part of the endured rejections that hosts risk. Rejections are counted in
/// any second, in which several hosts may be rejected by chance.
constexpr double ShareOfRejections = 0.5;
/// Endpoints that endure fewer rejections a second than this part of the number
/// of hosts are fragile.
constexpr double FragileRejectionsPerHost = 0.1;
/// A report shows room while the load is below this part of the slots. Other
/// hosts read the same reports.
constexpr double MaxFill = 0.6;
/// The same for the average over a service, of which an endpoint may deviate.
constexpr double MaxAverageFill = 0.5;
constexpr milliseconds FreshReportAge{1000};
/// A report of a busy endpoint is soon outdated: requests end without a report.
constexpr milliseconds BusyReportAge{300};
/// Older reports are not used. Those between are used if the average over the
/// service agrees, or if they show little load.
constexpr milliseconds MaxReportAge{4000};
constexpr double MaxOldFill = 0.35;
/// Weight of the latest report in the average over a service.
constexpr double SmoothingFactor = 0.15;
/// Shortest time without a request to an endpoint that has rejected one; at
/// most twice as long, so that hosts do not return together.
constexpr milliseconds MinPause{500};

constexpr std::chrono::seconds MinProbeInterval{1};
constexpr std::chrono::seconds MaxProbeInterval{16};

double fillOf(std::int64_t Load, const Registration &Entry) {
  return static_cast<double>(Load) / std::max(Entry.m_Slots, 1);
}

} // namespace

RejectionLimits::State &RejectionLimits::stateOf(const Endpoint &Target) {
  const auto [Position, IsNew] = m_Endpoints.try_emplace(Target.id());
  State &Found = Position->second;
  if (IsNew) {
    Found.m_Service = Target.m_Registration.m_Service;
    Found.m_Rounding = std::uniform_real_distribution<double>()(m_Random);
  }
  return Found;
}

void RejectionLimits::setHosts(std::size_t Hosts) {
  m_Hosts = Hosts;
  m_Trials.setHosts(Hosts);
}

void RejectionLimits::recordLoad(const Endpoint &Answered,
                                 const CapacityReport &Report, Instant Now) {
  if (!Report.m_Load)
    return;
  State &Current = stateOf(Answered);
  Current.m_Load = Report.m_Load;
  Current.m_LoadReportedAt = Now;
  Current.m_SentSinceReport = 0;
  ServiceState &Service = m_Services[Answered.m_Registration.m_Service];
  const double Fill = Report.m_WasRejected
                          ? 1.0
                          : fillOf(*Report.m_Load, Answered.m_Registration);
  const bool IsFirst = Service.m_ReportedAt == Instant();
  Service.m_Utilization +=
      (IsFirst ? 1.0 : SmoothingFactor) * (Fill - Service.m_Utilization);
  Service.m_ReportedAt = Now;
  if (!Report.m_WasRejected)
    Service.m_ProbeInterval = Duration::zero();
}

void RejectionLimits::pause(State &Rejecting, Instant Now) {
  const double Factor = std::uniform_real_distribution<double>(1, 2)(m_Random);
  Rejecting.m_PausedUntil =
      Now + std::chrono::duration_cast<Duration>(MinPause * Factor);
}

bool RejectionLimits::onAnswer(const Endpoint &Answered,
                               const CapacityReport &Report, Instant SentAt,
                               Instant Now) {
  const EndpointId &Id = Answered.id();
  recordLoad(Answered, Report, Now);
  State &Current = stateOf(Answered);
  if (Report.m_WasRejected)
    pause(Current, Now);
  if (Report.m_MaxRejections) {
    Current.m_NamedAt = Now;
    m_LastNamedAt = Now;
    ServiceState &Service = m_Services[Answered.m_Registration.m_Service];
    Service.m_MaxRejections = Report.m_MaxRejections;
    Service.m_NamedAt = Now;
    m_Trials.onAnswer(Id, ShareOfRejections * *Report.m_MaxRejections, SentAt,
                      Now);
    const bool IsNew = Current.m_MaxRejections != Report.m_MaxRejections;
    setLimit(Current, Report.m_MaxRejections);
    return IsNew;
  }
  if (Current.m_MaxRejections && SentAt < Current.m_NamedAt)
    return false;
  Current.m_WithdrawnAt = Now;
  m_Trials.forget(Id);
  const bool HadLimit = Current.m_MaxRejections.has_value();
  setLimit(Current, std::nullopt);
  return HadLimit;
}

void RejectionLimits::setLimit(State &Current,
                               std::optional<double> MaxRejections) {
  m_LimitedEndpoints -= Current.m_MaxRejections.has_value() ? 1 : 0;
  m_LimitedEndpoints += MaxRejections.has_value() ? 1 : 0;
  Current.m_MaxRejections = MaxRejections;
}

Duration RejectionLimits::probeInterval(const std::string &Service,
                                        double MaxRejections) const {
  const auto Endpoints =
      std::ranges::count_if(m_Endpoints, [&Service](const auto &Entry) {
        return Entry.second.m_Service == Service;
      });
  const double Endured =
      std::max(MaxRejections, 1.0) * static_cast<double>(Endpoints);
  const double Seconds = static_cast<double>(m_Hosts) / std::max(Endured, 1.0);
  return std::clamp<Duration>(fromSeconds(Seconds), MinProbeInterval,
                              MaxProbeInterval);
}

void RejectionLimits::onSent(const Endpoint &Target, Instant Now) {
  State &Current = stateOf(Target);
  ++Current.m_Running;
  ++Current.m_SentSinceReport;
  m_Trials.onSent(Target.id(), Now);
  const auto Found = m_Services.find(Current.m_Service);
  if (Found == m_Services.end() || !Found->second.m_MaxRejections)
    return;
  ServiceState &Service = Found->second;
  if (Now - Service.m_ReportedAt <= FreshReportAge)
    return;
  Service.m_ProbeInterval =
      std::max(Service.m_ProbeInterval,
               probeInterval(Found->first, *Service.m_MaxRejections));
  const double Jitter = std::uniform_real_distribution<double>(1, 2)(m_Random);
  Service.m_NextProbeAt = Now + std::chrono::duration_cast<Duration>(
                                    Service.m_ProbeInterval * Jitter);
  Service.m_ProbeInterval =
      std::min<Duration>(2 * Service.m_ProbeInterval, MaxProbeInterval);
}

void RejectionLimits::onFinished(const EndpointId &Id) {
  const auto Found = m_Endpoints.find(Id);
  if (Found != m_Endpoints.end() && Found->second.m_Running > 0)
    --Found->second.m_Running;
}

void RejectionLimits::forget(const EndpointId &Id) {
  if (const auto Found = m_Endpoints.find(Id); Found != m_Endpoints.end())
    setLimit(Found->second, std::nullopt);
  m_Endpoints.erase(Id);
  m_Trials.forget(Id);
}

std::optional<double> RejectionLimits::limitOf(const Endpoint &Candidate,
                                               Instant Now) const {
  // Spares hosts the look-ups while no endpoint names a limit.
  if (m_LimitedEndpoints == 0 && Now - m_LastNamedAt > ServiceValidity)
    return std::nullopt;
  const auto Service = m_Services.find(Candidate.m_Registration.m_Service);
  if (Service == m_Services.end())
    return std::nullopt;
  const auto Found = m_Endpoints.find(Candidate.id());
  const bool IsSeen = Found != m_Endpoints.end();
  if (IsSeen && Found->second.m_MaxRejections)
    return Found->second.m_MaxRejections;
  const ServiceState &Others = Service->second;
  if (Now - Others.m_NamedAt > ServiceValidity)
    return std::nullopt;
  if (IsSeen && Found->second.m_WithdrawnAt > Others.m_NamedAt)
    return std::nullopt;
  return Others.m_MaxRejections;
}

bool RejectionLimits::isFragile(double MaxRejections) const {
  return MaxRejections <
         FragileRejectionsPerHost * static_cast<double>(m_Hosts);
}

std::int64_t RejectionLimits::shareOfSlots(const State &Current, int Slots,
                                           double MaxRejections) const {
  const double Usable =
      isFragile(MaxRejections) ? CautiousShareOfSlots : ShareOfSlots;
  const double Share = Usable * Slots / static_cast<double>(m_Hosts);
  return static_cast<std::int64_t>(Share + Current.m_Rounding);
}

bool RejectionLimits::hasReportedRoom(const State &Current,
                                      const Registration &Entry,
                                      double MaxRejections, Instant Now) const {
  const Duration Age = Now - Current.m_LoadReportedAt;
  const bool IsUsable = Current.m_Load && Age <= MaxReportAge;
  const double Sent = fillOf(Current.m_SentSinceReport + 1, Entry);
  const double Fill = IsUsable ? fillOf(*Current.m_Load, Entry) + Sent : Sent;
  if (IsUsable && Age <= FreshReportAge && Fill <= MaxFill)
    return true;
  if (IsUsable && Age <= BusyReportAge)
    return false;
  if (isFragile(MaxRejections))
    return IsUsable && Fill <= MaxOldFill;
  // If the average misleads, the endpoint endures what this host has sent.
  if (static_cast<double>(Current.m_SentSinceReport) >=
      std::max(MaxRejections, 1.0))
    return false;
  const ServiceState &Service = m_Services.at(Entry.m_Service);
  return Now - Service.m_ReportedAt <= FreshReportAge &&
         Service.m_Utilization <= MaxAverageFill && Sent <= MaxFill;
}

bool RejectionLimits::allows(const Endpoint &Candidate, Instant Now) {
  const auto Limit = limitOf(Candidate, Now);
  if (!Limit)
    return true;
  const Registration &Entry = Candidate.m_Registration;
  const State &Current = stateOf(Candidate);
  if (!m_Trials.isLimited(Candidate.id()))
    m_Trials.onAnswer(Candidate.id(), ShareOfRejections * *Limit, Now, Now);
  const bool IsPaused = Now < Current.m_PausedUntil;
  if (!IsPaused &&
      (Current.m_Running < shareOfSlots(Current, Entry.m_Slots, *Limit) ||
       hasReportedRoom(Current, Entry, *Limit, Now)))
    return true;
  const ServiceState &Service = m_Services.at(Entry.m_Service);
  const bool IsProbeDue = Now - Service.m_ReportedAt > FreshReportAge &&
                          Now >= Service.m_NextProbeAt;
  return (!IsPaused && IsProbeDue) || m_Trials.allows(Candidate.id(), Now);
}

} // namespace sff::serving

#include "Host/RequestSession.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Longest wait for the proof that an endpoint has ended an answer itself. The
/// caller of a stream has all events by then.
constexpr milliseconds MaxProofTime{2000};
/// A proof gets this time also if the caller's is over: without it, an answer
/// that the endpoint has completed would be thrown away.
constexpr milliseconds MinProofTime{200};
/// A process counts its registrations from here on.
constexpr std::int64_t FirstHeartbeat = 1;
/// Interval at which the registration is compared while a further heartbeat is
/// awaited.
constexpr milliseconds SignPollInterval{50};
/// Time in which the ends of the connections of a crashed endpoint arrive,
/// after the first of them.
constexpr milliseconds EndSettleTime{200};

std::optional<serving::Incarnation>
processOf(const serving::RegistrationVersion &Version) {
  // Endpoints need not say when they were started.
  if (Version.m_StartedAtMs == 0)
    return std::nullopt;
  return serving::Incarnation{Version.m_StartedAtMs};
}

} // namespace

Task<bool> RequestSession::confirmEnd(bool EndsWithConnection) {
  if (!EndsWithConnection)
    co_return true;
  const std::shared_ptr<Attempt> Answered = m_Current;
  recordPossibleLoss(Answered->endpoint());
  const Instant EndedAt = now();
  serving::AnswerEndEvidence Evidence;
  if (Answered->address())
    Evidence = co_await gatherEndEvidence(Answered, EndedAt);
  const serving::AnswerEnd End = serving::judgeAnswerEnd(Evidence);
  const auto Start = [](const std::optional<serving::Incarnation> &Process) {
    return Process ? nlohmann::json(Process->m_StartedAtMs) : nlohmann::json();
  };
  m_State.m_Metrics.onAnswerEndJudged(serving::toString(End));
  logEvent("answer.end_judged",
           {{"endpoint", Answered->endpoint()},
            {"end", serving::toString(End)},
            {"owner", serving::toString(Evidence.m_Owner)},
            {"asked_started_at_ms", Start(Evidence.m_Asked)},
            {"answering_started_at_ms", Start(Evidence.m_Answering)},
            {"registered_started_at_ms", Start(Evidence.m_Registered)},
            {"registrations_age_ms", m_State.endpointsAge().count()},
            {"older_connection", Evidence.m_HasOlderConnection},
            {"unseen_ms", toMilliseconds(Evidence.m_UnseenTime).count()},
            {"later_sign", Evidence.m_HasLaterSign},
            {"took_ms", toMilliseconds(now() - EndedAt).count()}});
  co_return End == serving::AnswerEnd::Confirmed;
}

Task<IdentityAnswer>
RequestSession::identify(std::shared_ptr<Attempt> Answered) {
  const EndpointId &Id = Answered->endpoint();
  const http::Address Remote = *Answered->address();
  EndpointIdentifier &Identities = *m_State.m_Platform.m_Identities;
  const milliseconds Limit = proofTime();
  const auto Ask = [&](IdentityQuestion Question) {
    return Identities.identify(m_State.m_Http, Remote, Id, Question,
                               m_Service->m_HealthPath, Limit);
  };
  const bool HasHealthCheck = !m_Service->m_HealthPath.empty();
  // A report tells a process from a later one with the same id.
  const bool AsksForReport =
      !HasHealthCheck ||
      (m_Service->m_Engine && processOf(Answered->registration()));
  IdentityAnswer Identity = co_await Ask(
      AsksForReport ? IdentityQuestion::Report : IdentityQuestion::HealthCheck);
  const bool IsReportVague = AsksForReport && !Identity.m_Process &&
                             Identity.m_Owner == serving::AddressOwner::Same;
  if (IsReportVague && HasHealthCheck)
    Identity = co_await Ask(IdentityQuestion::HealthCheck);
  m_State.onNotice(Id, Answered->registration(), Identity.m_Notice,
                   "answer_end", m_Facts.m_Id.str());
  if (Identity.m_Owner == serving::AddressOwner::Another)
    m_State.onAddressReused(Id, Answered->registration());
  co_return Identity;
}

milliseconds RequestSession::proofTime() const {
  return std::clamp(toMilliseconds(remainingTime()), MinProofTime,
                    MaxProofTime);
}

Task<bool> RequestSession::awaitHeartbeat(EndpointId Id,
                                          serving::RegistrationVersion Before,
                                          Instant Until) {
  while (true) {
    const auto Registered = m_State.registrationOf(Id);
    if (Registered.m_StartedAtMs != Before.m_StartedAtMs)
      co_return false;
    if (Registered.m_Heartbeat > Before.m_Heartbeat)
      co_return true;
    if (now() >= Until)
      co_return false;
    co_await sleepFor(std::min<Duration>(SignPollInterval, Until - now()));
  }
}

Task<serving::AnswerEndEvidence>
RequestSession::gatherEndEvidence(std::shared_ptr<Attempt> Answered,
                                  Instant EndedAt) {
  const Instant ProofEnd = EndedAt + proofTime();
  const serving::RegistrationVersion AtEnd =
      m_State.registrationOf(Answered->endpoint());
  const IdentityAnswer Identity = co_await identify(Answered);
  serving::AnswerEndEvidence Evidence;
  Evidence.m_Owner = Identity.m_Owner;
  Evidence.m_Asked = processOf(Answered->registration());
  Evidence.m_Answering = Identity.m_Process;
  Evidence.m_HadHeartbeats = Evidence.m_Asked &&
                             processOf(AtEnd) == Evidence.m_Asked &&
                             AtEnd.m_Heartbeat > FirstHeartbeat;
  Evidence.m_UnseenTime = now() - Answered->sentAt();
  Evidence.m_HasLaterSign = Identity.m_Notice.m_IsLeaving;
  if (Evidence.needsLaterSign() && !Evidence.m_HasLaterSign)
    Evidence.m_HasLaterSign =
        co_await awaitHeartbeat(Answered->endpoint(), AtEnd, ProofEnd);
  Evidence.m_Registered =
      processOf(m_State.registrationOf(Answered->endpoint()));
  if (Evidence.m_Owner != serving::AddressOwner::Nobody)
    co_return Evidence;
  co_await sleepFor(EndSettleTime);
  Evidence.m_HasOlderConnection =
      m_State.m_Http.hasOpenConnection(*Answered->address(), EndedAt);
  co_return Evidence;
}

} // namespace sff::host

#include "Host/Attempt.h"

namespace sff::host {

Attempt::Attempt(HostState &State, EndpointId Endpoint, const Identity &Request)
    : m_State(State), m_Endpoint(std::move(Endpoint)),
      m_Request(Request.m_Request), m_Service(Request.m_Service),
      m_Canceller(std::make_shared<http::CallCanceller>()), m_SentAt(now()),
      m_LastProgressAt(m_SentAt) {
  m_State.m_Chooser.loads().onDispatched(m_Endpoint, m_SentAt);
  m_State.m_SendLimit.onSent(m_Service);
  m_State.m_RateLimits.onSent(m_Endpoint, m_SentAt);
  m_State.m_Admission.onSent(m_Endpoint, m_SentAt);
  m_State.m_Links.onRequestSent(m_Endpoint);
  m_TrialParts = m_State.m_Crashes.onSending(Request.m_Parts);
  const serving::Endpoint *Known = m_State.m_Endpoints.find(m_Endpoint);
  if (!Known)
    return;
  m_SoftwareVersion = Known->m_Registration.m_SoftwareVersion;
  m_Address = m_State.addressOf(m_Endpoint);
  m_State.m_RejectionLimits.onSent(*Known, m_SentAt);
  m_Registration = Known->m_Registration.version();
  m_State.m_Crashes.onRequestSent(*Known, Request.m_Fingerprint,
                                  Request.m_Request, Request.m_Parts);
}

Attempt::~Attempt() {
  routing::LoadEstimator &Loads = m_State.m_Chooser.loads();
  if (m_NotRun)
    Loads.onNotRun(m_Endpoint, now());
  else
    Loads.onFinished(m_Endpoint, now());
  m_State.m_SendLimit.onEnded(m_Service);
  m_State.m_RejectionLimits.onFinished(m_Endpoint);
  m_State.m_Crashes.onRequestEnded(m_Endpoint, m_Request);
  m_State.m_Admission.onFinished(m_Endpoint, now());
}

void Attempt::onNotRun() {
  m_NotRun = true;
  m_State.m_Chooser.health().onNotRun(m_Endpoint);
  for (const PromptPartId &Part : std::exchange(m_TrialParts, {}))
    m_State.m_Crashes.onTrialNotRun(Part);
}

void Attempt::supersede() {
  m_Superseded = true;
  cancel();
}

} // namespace sff::host

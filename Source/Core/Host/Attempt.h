#pragma once

#include "Host/HostState.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sff::host {

/// One send of a request to an endpoint. For its lifetime the request counts as
/// running there, for the load of the endpoint and for the attribution of
/// crashes.
/// Thread safety: use from the host's io_context only.
class Attempt {
public:
  /// The request of which this is a send.
  struct Identity {
    RequestId m_Request;
    std::string m_Service;
    std::string m_Fingerprint;
    std::vector<PromptPartId> m_Parts; ///< Of the prompt.
  };

  /// Precondition: \p State outlives the object.
  Attempt(HostState &State, EndpointId Endpoint, const Identity &Request);
  ~Attempt();
  Attempt(const Attempt &) = delete;
  Attempt &operator=(const Attempt &) = delete;

  const EndpointId &endpoint() const { return m_Endpoint; }
  /// The software version of the endpoint; empty if it is not known.
  const std::string &softwareVersion() const { return m_SoftwareVersion; }
  /// Where the request was sent; nothing if the endpoint was not known then.
  const std::optional<http::Address> &address() const { return m_Address; }
  /// The registration from which the endpoint's address was taken.
  const serving::RegistrationVersion &registration() const {
    return m_Registration;
  }
  Instant sentAt() const { return m_SentAt; }
  Instant answerBegunAt() const { return m_AnswerBegunAt; }
  bool hasAnswered() const { return m_AnswerBegunAt != Instant(); }
  /// Time of the latest data from the endpoint; of the send before any.
  Instant lastProgressAt() const { return m_LastProgressAt; }
  const std::shared_ptr<http::CallCanceller> &canceller() const {
    return m_Canceller;
  }

  /// Why the endpoint was chosen, until the first byte is compared with it.
  void setChoice(serving::Choice Made) { m_Choice = std::move(Made); }
  std::optional<serving::Choice> takeChoice() {
    return std::exchange(m_Choice, std::nullopt);
  }
  void onProgress() { m_LastProgressAt = now(); }
  void onAnswerBegun() { m_AnswerBegunAt = now(); }
  /// Called when the endpoint has not run the request, so that another request
  /// may be the trial of the same prompt parts.
  void onNotRun();
  /// Closes the connection, so that the endpoint stops its work.
  void cancel() { m_Canceller->cancel(); }
  /// Ends the attempt in favour of another one.
  void supersede();
  /// The attempt has ended in favour of another one. Data that still arrive
  /// must not be used.
  bool isSuperseded() const { return m_Superseded; }

private:
  HostState &m_State;
  EndpointId m_Endpoint;
  RequestId m_Request;
  std::string m_Service; ///< Of the request.
  std::string m_SoftwareVersion;
  std::optional<http::Address> m_Address;
  serving::RegistrationVersion m_Registration;
  std::shared_ptr<http::CallCanceller> m_Canceller;
  /// The parts of the prompt of which this attempt is the trial.
  std::vector<PromptPartId> m_TrialParts;
  Instant m_SentAt;
  Instant m_AnswerBegunAt;
  Instant m_LastProgressAt;
  std::optional<serving::Choice> m_Choice;
  bool m_Superseded = false;
  bool m_NotRun = false; ///< The endpoint has not run the request.
};

} // namespace sff::host

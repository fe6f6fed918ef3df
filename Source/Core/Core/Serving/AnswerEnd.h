#pragma once

#include "Core/Serving/EndpointDirectory.h"

#include <optional>
#include <string_view>

namespace sff::serving {

/// Who answers at the address that a request was sent to.
enum class AddressOwner {
  Same,    ///< An endpoint with the id that was asked for.
  Another, ///< An endpoint with another id.
  Nobody,  ///< Connections are refused, or closed without an answer.
  Unknown, ///< No answer came in time.
};

/// What is found after an answer that ended with its connection. A process that
/// is there after the end has not crashed at it, so it has ended the answer
/// itself.
struct AnswerEndEvidence {
  AddressOwner m_Owner = AddressOwner::Unknown;
  /// The process that the request was sent to.
  std::optional<Incarnation> m_Asked;
  /// The process that answers now, if it says when it was started.
  std::optional<Incarnation> m_Answering;
  /// The process that is registered now under the endpoint's id, if any.
  std::optional<Incarnation> m_Registered;
  /// A connection from before the end of the answer is still open.
  bool m_HasOlderConnection = false;
  /// The process that the request was sent to was registered when the answer
  /// ended, and had repeated its registration before. One that leaves is not
  /// registered.
  bool m_HadHeartbeats = false;
  /// Time from the send of the request, at which its process was there, until
  /// the address answered for it. A process that ended meanwhile may have been
  /// started again if this is long.
  Duration m_UnseenTime{0};
  /// After the end of the answer, the process that the request was sent to has
  /// shown something that a later one would not: a further heartbeat, or that
  /// it leaves.
  bool m_HasLaterSign = false;

  /// Within this time no endpoint ends and starts again.
  static constexpr milliseconds MinRestartTime{1000};
  /// Whether the answer to the question may come from a later process with the
  /// same id.
  bool needsLaterSign() const {
    return m_Owner == AddressOwner::Same && m_HadHeartbeats && !m_Answering &&
           m_UnseenTime >= MinRestartTime;
  }
};

/// What is known of the end of an answer that ended with its connection.
enum class AnswerEnd {
  Confirmed,     ///< The endpoint has ended the answer.
  OtherInstance, ///< Its process has ended: another one is in its place.
  NoInstance,    ///< Its process has ended: nobody is in its place.
  NotKnown,      ///< Nothing shows whether the process lives.
};

/// Only a confirmed end may be passed on as the end of the answer.
/// Thread safety: reentrant.
AnswerEnd judgeAnswerEnd(const AnswerEndEvidence &Evidence);

std::string_view toString(AddressOwner Owner);
std::string_view toString(AnswerEnd End);

} // namespace sff::serving

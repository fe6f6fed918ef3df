#include "Core/Serving/AnswerEnd.h"

namespace sff::serving {

namespace {

bool isOther(const std::optional<Incarnation> &Asked,
             const std::optional<Incarnation> &Found) {
  return Asked && Found && *Found != *Asked;
}

} // namespace

AnswerEnd judgeAnswerEnd(const AnswerEndEvidence &Evidence) {
  const bool IsOtherProcess = Evidence.m_Owner == AddressOwner::Another ||
                              isOther(Evidence.m_Asked, Evidence.m_Answering) ||
                              isOther(Evidence.m_Asked, Evidence.m_Registered);
  if (IsOtherProcess)
    return AnswerEnd::OtherInstance;
  if (Evidence.needsLaterSign() && !Evidence.m_HasLaterSign)
    return AnswerEnd::NotKnown;
  if (Evidence.m_Owner == AddressOwner::Same)
    return AnswerEnd::Confirmed;
  if (Evidence.m_Owner == AddressOwner::Unknown)
    return AnswerEnd::NotKnown;
  // An endpoint at its limit of connections resets further ones. A process that
  // has ended keeps no connection open.
  return Evidence.m_HasOlderConnection ? AnswerEnd::Confirmed
                                       : AnswerEnd::NoInstance;
}

std::string_view toString(AddressOwner Owner) {
  switch (Owner) {
  case AddressOwner::Same:
    return "same";
  case AddressOwner::Another:
    return "another";
  case AddressOwner::Nobody:
    return "nobody";
  case AddressOwner::Unknown:
    return "unknown";
  }
  return "";
}

std::string_view toString(AnswerEnd End) {
  switch (End) {
  case AnswerEnd::Confirmed:
    return "confirmed";
  case AnswerEnd::OtherInstance:
    return "other_instance";
  case AnswerEnd::NoInstance:
    return "no_instance";
  case AnswerEnd::NotKnown:
    return "not_known";
  }
  return "";
}

} // namespace sff::serving

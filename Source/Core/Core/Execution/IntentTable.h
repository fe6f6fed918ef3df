#pragma once

#include "Common/Codec/Codec.h"
#include "Common/Identity/Ids.h"

#include <boost/leaf/result.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace sff::execution {

using codec::field;

/// Announces one attempt to execute a non-idempotent request.
struct Intent {
  std::string m_KeyHash;
  AttemptId m_Attempt;
  IncarnationId m_Router;
  std::string m_RouterAddress; ///< Peer address, to ask for the answer.
  std::string m_Digest;        ///< Of the request body.

  static constexpr const char *Type = "intent";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &Intent::m_KeyHash),
                           field("att", &Intent::m_Attempt),
                           field("inc", &Intent::m_Router),
                           field("addr", &Intent::m_RouterAddress),
                           field("dig", &Intent::m_Digest));
  }
};

/// Gives an attempt up before dispatch. It also voids an intent of the same
/// attempt that lands later.
struct IntentVoid {
  std::string m_KeyHash;
  AttemptId m_Attempt;

  static constexpr const char *Type = "intent_void";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &IntentVoid::m_KeyHash),
                           field("att", &IntentVoid::m_Attempt));
  }
};

/// States that an attempt has been executed and its answer is known.
struct IntentDone {
  std::string m_KeyHash;
  AttemptId m_Attempt;

  static constexpr const char *Type = "intent_done";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &IntentDone::m_KeyHash),
                           field("att", &IntentDone::m_Attempt));
  }
};

using IntentRecord = std::variant<Intent, IntentVoid, IntentDone>;

nlohmann::json toJson(const IntentRecord &Value);
/// Fails with codec::DecodeError.
boost::leaf::result<IntentRecord> intentFromJson(const nlohmann::json &Input);

/// The valid intent of a key.
struct ValidIntent {
  Offset m_Offset = 0;
  Intent m_Intent;
  bool m_Done = false;
};

/// What the fold says about one attempt.
enum class AttemptVerdict {
  Pending, ///< Its intent has not been read yet.
  Valid,   ///< It may dispatch.
  Lost,    ///< Another attempt of the key is valid; this one never will be.
  Voided,
};

/// Fold of the intents stream. Validity is decided at a record's own offset
/// and never changes. Keys are forgotten in order once more than the given
/// number of intents is held, which depends on offsets only and so happens
/// alike on all hosts. Thread safety: none.
class IntentTable {
public:
  explicit IntentTable(std::size_t MaxKeys) : m_MaxKeys(MaxKeys) {}

  void apply(Offset Position, const IntentRecord &Value);
  void skip(Offset Position);
  Offset appliedOffset() const { return m_Applied; }

  std::optional<ValidIntent> find(const std::string &KeyHash) const;
  AttemptVerdict verdictOf(const std::string &KeyHash,
                           const AttemptId &Attempt) const;

private:
  struct Key {
    std::optional<ValidIntent> m_Valid;
    std::map<AttemptId, AttemptVerdict> m_Attempts;
  };
  std::size_t m_MaxKeys;
  Offset m_Applied = 0;
  std::map<std::string, Key> m_Keys;
  std::deque<std::string> m_Order;
};

} // namespace sff::execution

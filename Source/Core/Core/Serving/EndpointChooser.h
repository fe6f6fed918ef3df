#pragma once

#include "Core/Routing/EndpointPicker.h"
#include "Core/Routing/RequestSpread.h"
#include "Core/Routing/SpeedEstimator.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/EndpointHealth.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>

namespace sff::serving {

/// Per-request input for choosing an endpoint.
struct ChoiceContext {
  /// Endpoints that the request was already sent to.
  const std::set<EndpointId> *m_Tried = nullptr;
  /// Endpoint that served the session's previous request, if any.
  std::optional<EndpointId> m_AffinityEndpoint;
  /// Prompt tokens that are cached at the affine endpoint.
  std::int64_t m_AffinityTokens = 0;
  /// Tokens of the whole prompt; 0 if the caller does not name them.
  std::int64_t m_PromptTokens = 0;
  /// Requests of one kind do similar work. Bounded in number.
  std::string_view m_Kind = {};
};

/// Why an endpoint was chosen.
struct Choice {
  EndpointId m_Endpoint;
  double m_Load = 0;     ///< Requests that run or wait there.
  double m_Slowness = 1; ///< How long work takes there, 1 meaning as usual.
  /// Time since the endpoint last reported how long work takes.
  std::optional<Duration> m_SlownessAge;
  Duration m_ExpectedTime{0}; ///< To the end of the answer.
  /// To the first byte, if answers of this kind have been seen.
  std::optional<Duration> m_ExpectedFirstByte;
  routing::WorkSize m_Work;
  /// The best of the other candidates, if any.
  std::optional<EndpointId> m_RunnerUp;
  Duration m_RunnerUpTime{0};
};

/// Chooses the endpoint at which a request is expected to take the least time,
/// by load, speed, availability zone, health and cached prompt prefixes. Of
/// endpoints where the time is similar, it chooses in proportion, because other
/// hosts choose by the same reports. Thread safety: none.
class EndpointChooser {
public:
  EndpointChooser(ZoneId LocalZone, std::uint64_t Seed);

  routing::LoadEstimator &loads() { return m_Loads; }
  EndpointHealth &health() { return m_Health; }
  routing::SpeedEstimator &speeds() { return m_Speeds; }

  /// Applies the number of requests that run or wait at the endpoint, which it
  /// reports now.
  void onReport(const EndpointId &Id, std::int64_t Requests, Instant Now);
  /// Records that the endpoint rejected a request because it is full. Until it
  /// reports its load, it counts as full, less what it may have served since.
  /// \p Requests is the load that the rejection names, if any.
  void onRejected(const Endpoint &Rejecting,
                  std::optional<std::int64_t> Requests, Instant Now);
  /// The estimated number of requests that run or wait at the endpoint.
  double estimatedLoad(const EndpointId &Id, Instant Now) const;

  /// Chooses one of \p Candidates that has not been tried. Suspended endpoints
  /// are used only if there is no other.
  std::optional<EndpointId> choose(std::span<const Endpoint *const> Candidates,
                                   const ChoiceContext &Context, Instant Now);
  /// The latest choice, which is empty before the first one.
  const Choice &lastChoice() const { return m_LastChoice; }
  void forget(const EndpointId &Id);

private:
  /// A candidate with what its expected time consists of. Times are relative to
  /// that of a request at an endpoint without load.
  struct Candidate {
    const Endpoint *m_Endpoint = nullptr;
    double m_Slots = 1;
    double m_OtherHosts = 0; ///< Requests of other hosts.
    double m_Load = 0;
    double m_LoadFactor = 1;
    double m_Slowness = 1;
    bool m_IsTrial = false;
    routing::TimedCandidate m_Timed;
  };

  /// The load of an endpoint that has rejected a request; 0 for others.
  double fullLoad(const EndpointId &Id, Instant Now) const;
  std::optional<EndpointId> pick(std::span<const Endpoint *const> Eligible,
                                 const ChoiceContext &Context, Instant Now);
  /// Sets the loads. Reports lose weight with age: an endpoint without a recent
  /// one is assumed to be as loaded as those on its side of the border of the
  /// local zone, and no more than all.
  void estimateLoads(std::span<Candidate> List, Instant Now) const;
  void estimateTime(Candidate &Target, const ChoiceContext &Context,
                    double Penalty, Instant Now) const;
  /// Time to add because the endpoint fails or is slow, in comparison with the
  /// others.
  double penalty(const Endpoint &Target, double LowestFailureRate,
                 Duration LowestLatency) const;
  void addPenalties(std::span<Candidate> List, const ChoiceContext &Context,
                    Instant Now) const;
  void recordChoice(std::span<const Candidate> List, std::size_t Chosen,
                    const ChoiceContext &Context, Instant Now);

  /// An endpoint that has rejected a request for want of room.
  struct FullState {
    double m_Load = 0; ///< At m_Since.
    Instant m_Since;
    /// By how much the load falls if it is sent no further requests.
    double m_EndsPerSecond = 0;
    int m_Rejections = 0; ///< Since the latest report.
  };

  ZoneId m_LocalZone;
  std::mt19937_64 m_Random;
  routing::LoadEstimator m_Loads;
  routing::SpeedEstimator m_Speeds;
  EndpointHealth m_Health;
  Choice m_LastChoice;
  std::map<EndpointId, FullState> m_Full;
  Instant m_NextTrialAt;
};

} // namespace sff::serving

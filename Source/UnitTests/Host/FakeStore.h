#pragma once

#include "Host/Ports.h"
#include "Net/Timers/AsyncCondition.h"

#include <map>

namespace sff::host {

/// A store that holds one endpoint and answers reads of the registrations after
/// a delay, or refuses all calls. Other logs do not grow.
/// Thread safety: none.
class FakeStore final : public Store {
public:
  milliseconds m_ReadDelay{0}; ///< Time from a read to its answer.
  bool m_IsDown = false;       ///< Reads are refused at once.
  int m_AnsweredReads = 0;
  int m_CatalogueReads = 0;
  /// The answer to each join; none when empty.
  std::optional<GroupMembership> m_Membership;
  /// Reads of the other logs are answered at the end of their wait.
  bool m_AnswersLogs = false;
  std::map<std::string, int> m_Calls; ///< By kind of call.

  int calls() const {
    int Sum = 0;
    for (const auto &[Kind, Count] : m_Calls)
      Sum += Count;
    return Sum;
  }

  void onRestored(std::function<void()>) override {}
  void cancelPendingCalls() override {}
  Task<CatalogueBatch> listCatalogue() override {
    return answerCatalogue(milliseconds(0));
  }
  Task<CatalogueBatch> followCatalogue(Cursor, milliseconds Wait) override {
    return answerCatalogue(Wait);
  }
  Task<EndpointBatch> listEndpoints() override { return answer(); }
  Task<EndpointBatch> followEndpoints(Cursor, milliseconds) override {
    return answer();
  }
  Task<bool> appendCrashes(CrashNews) override {
    co_return isAnswered("crash_append");
  }
  Task<CrashBatch> followCrashes(Cursor, milliseconds Wait) override {
    CrashBatch Batch;
    if (isAnswered("crashes")) {
      co_await timers::sleepFor(Wait);
      Batch.m_Status = FollowStatus::Ok;
    }
    co_return Batch;
  }
  Task<bool> recordVersions(std::vector<serving::ServiceVersion>,
                            std::vector<serving::ServiceVersion>,
                            bool) override {
    co_return isAnswered("versions");
  }
  Task<std::optional<VersionRecords>> listVersions() override {
    if (!isAnswered("versions"))
      co_return std::nullopt;
    co_return VersionRecords();
  }
  Task<std::optional<GroupMembership>> join(ZoneId, std::string, milliseconds,
                                            serving::FencingToken) override {
    if (!isAnswered("join"))
      co_return std::nullopt;
    co_return m_Membership;
  }
  Task<void> leave(ZoneId, std::string) override { co_return; }
  Task<std::optional<std::string>> findHolder(ZoneId) override {
    if (!isAnswered("holder"))
      co_return std::nullopt;
    co_return "127.0.0.1:9";
  }

private:
  /// Counts a call.
  bool isAnswered(const std::string &Kind) {
    ++m_Calls[Kind];
    return !m_IsDown;
  }

  Task<CatalogueBatch> answerCatalogue(milliseconds Wait) {
    ++m_CatalogueReads;
    CatalogueBatch Batch;
    if (!isAnswered("catalogue"))
      co_return Batch;
    if (!m_AnswersLogs)
      co_await timers::sleepFor(std::chrono::hours(1));
    co_await timers::sleepFor(Wait);
    Batch.m_Status = FollowStatus::Ok;
    co_return Batch;
  }

  Task<EndpointBatch> answer() {
    if (!isAnswered("endpoints"))
      co_return EndpointBatch{};
    co_await timers::sleepFor(m_ReadDelay);
    ++m_AnsweredReads;
    EndpointBatch Batch;
    Batch.m_Status = FollowStatus::Ok;
    serving::Registration Entry;
    Entry.m_Id = EndpointId("e1");
    Entry.m_Heartbeat = m_AnsweredReads;
    Batch.m_Changes.push_back({Entry.m_Id, Entry});
    co_return Batch;
  }
};

/// An endpoint that never answers a health check. Thread safety: none.
class FakeHealthChecker final : public HealthChecker {
public:
  Task<HealthAnswer> check(http::Address, EndpointId, std::string) override {
    co_return HealthAnswer();
  }
};

} // namespace sff::host

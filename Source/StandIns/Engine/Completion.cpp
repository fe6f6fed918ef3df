#include "StandIns/Engine/Completion.h"

namespace sff::standin {

namespace {

constexpr std::size_t DefaultMaxTokens = 16;
constexpr std::size_t PromptBytesPerToken = 4;

nlohmann::json makeCompletionObject(const CompletionAttempt &Attempt,
                                    nlohmann::json Choice) {
  const CompletionKey &Source = Attempt.m_ReportedIdentity.m_Source;
  std::string Kind = Attempt.m_Chat ? "chat.completion" : "text_completion";
  if (Attempt.m_Chat && Choice.contains("delta"))
    Kind = "chat.completion.chunk";
  Choice["index"] = 0;
  nlohmann::json Document = {{"id", "cmpl-" + Source.m_RequestId},
                             {"object", Kind},
                             {"model", Source.m_Model}};
  Document["choices"].push_back(std::move(Choice));
  return Document;
}

const char *finishReason(const CompletionAttempt &Attempt) {
  return Attempt.m_Cancelled ? "cancelled" : "length";
}

nlohmann::json makeUsage(const CompletionAttempt &Attempt, std::size_t Tokens) {
  const std::size_t Prompt =
      Attempt.m_ReportedIdentity.m_Source.m_Prompt.size() /
          PromptBytesPerToken +
      1;
  return {{"prompt_tokens", Prompt},
          {"completion_tokens", Tokens},
          {"total_tokens", Prompt + Tokens}};
}

std::string makeEvent(const nlohmann::json &Document) {
  return "data: " + Document.dump() + "\n\n";
}

http::Response addRequestIds(const CompletionAttempt &Attempt,
                             http::Response Result) {
  Result.m_Headers.set("X-Request-Id",
                       Attempt.m_ReportedIdentity.m_Source.m_RequestId);
  Result.m_Headers.set("X-Attempt-Id", Attempt.m_ReportedIdentity.m_AttemptId);
  return Result;
}

} // namespace

RequestTable::AttemptPtr
parseCompletionRequest(const RequestContext &Incoming) {
  const nlohmann::json Body = Incoming.json();
  auto Attempt = std::make_shared<CompletionAttempt>();
  Attempt->m_Identity.m_Source = {Body.at("model").get<std::string>(),
                                  promptText(Body),
                                  Incoming.header("X-Request-Id")};
  Attempt->m_Identity.m_AttemptId = Incoming.header("X-Attempt-Id");
  Attempt->m_Identity.m_MaxTokens = Body.value("max_tokens", DefaultMaxTokens);
  Attempt->m_ReportedIdentity = Attempt->m_Identity;
  Attempt->m_RouterIncarnation = Incoming.header("X-Router-Incarnation");
  if (Incoming.header("X-Priority") == "batch")
    Attempt->m_Priority = BatchScheduler::Priority::Batch;
  Attempt->m_Chat = Body.contains("messages");
  Attempt->m_Stream = Body.value("stream", false);
  return Attempt;
}

http::Response makeCompletionResponse(const CompletionAttempt &Attempt,
                                      std::size_t Tokens) {
  const std::string Text = completionText(Attempt.m_ReportedIdentity.m_Source,
                                          Attempt.m_StartToken, Tokens);
  nlohmann::json Choice = {{"finish_reason", finishReason(Attempt)}};
  if (Attempt.m_Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  nlohmann::json Document = makeCompletionObject(Attempt, std::move(Choice));
  Document["usage"] = makeUsage(Attempt, Tokens);
  return addRequestIds(Attempt, http::makeJsonResponse(200, Document));
}

http::Response makeStreamHead(const CompletionAttempt &Attempt) {
  return addRequestIds(Attempt,
                       {200, {{"Content-Type", "text/event-stream"}}, ""});
}

std::string makeTokenEvent(const CompletionAttempt &Attempt,
                           std::size_t Index) {
  const std::string Text =
      completionToken(Attempt.m_ReportedIdentity.m_Source, Index);
  nlohmann::json Choice = {{"finish_reason", nullptr}};
  if (Attempt.m_Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  nlohmann::json Document = makeCompletionObject(Attempt, std::move(Choice));
  Document["token"] = Index;
  return makeEvent(Document);
}

std::string makeStreamEnd(const CompletionAttempt &Attempt,
                          std::size_t Tokens) {
  nlohmann::json Choice = {{"finish_reason", finishReason(Attempt)}};
  if (Attempt.m_Chat)
    Choice["delta"] = nlohmann::json::object();
  else
    Choice["text"] = "";
  nlohmann::json Document = makeCompletionObject(Attempt, std::move(Choice));
  Document["usage"] = makeUsage(Attempt, Tokens);
  return makeEvent(Document) + "data: [DONE]\n\n";
}

} // namespace sff::standin

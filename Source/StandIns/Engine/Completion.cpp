#include "StandIns/Engine/Completion.h"

namespace sff::standin {

namespace {

constexpr std::size_t DefaultMaxTokens = 16;
constexpr std::size_t PromptBytesPerToken = 4;

nlohmann::json makeDocument(const Generation &Job, nlohmann::json Choice) {
  const AnswerSource &Source = Job.m_Shown.m_Source;
  std::string Kind = Job.m_Chat ? "chat.completion" : "text_completion";
  if (Job.m_Chat && Choice.contains("delta"))
    Kind = "chat.completion.chunk";
  Choice["index"] = 0;
  nlohmann::json Document = {{"id", "cmpl-" + Source.m_RequestId},
                             {"object", Kind},
                             {"model", Source.m_Model}};
  Document["choices"].push_back(std::move(Choice));
  return Document;
}

const char *finishReason(const Generation &Job) {
  return Job.m_Cancelled ? "cancelled" : "length";
}

nlohmann::json makeUsage(const Generation &Job, std::size_t Tokens) {
  const std::size_t Prompt =
      Job.m_Shown.m_Source.m_Prompt.size() / PromptBytesPerToken + 1;
  return {{"prompt_tokens", Prompt},
          {"completion_tokens", Tokens},
          {"total_tokens", Prompt + Tokens}};
}

std::string makeEvent(const nlohmann::json &Document) {
  return "data: " + Document.dump() + "\n\n";
}

http::Response addIds(const Generation &Job, http::Response Answer) {
  Answer.m_Headers.set("X-Request-Id", Job.m_Shown.m_Source.m_RequestId);
  Answer.m_Headers.set("X-Attempt-Id", Job.m_Shown.m_AttemptId);
  return Answer;
}

} // namespace

RequestTable::Item readCompletion(const Call &Incoming) {
  const nlohmann::json Body = Incoming.json();
  auto Job = std::make_shared<Generation>();
  Job->m_Own.m_Source = {Body.at("model").get<std::string>(), promptOf(Body),
                         Incoming.header("X-Request-Id")};
  Job->m_Own.m_AttemptId = Incoming.header("X-Attempt-Id");
  Job->m_Own.m_MaxTokens = Body.value("max_tokens", DefaultMaxTokens);
  Job->m_Shown = Job->m_Own;
  Job->m_Router = Incoming.header("X-Router-Incarnation");
  if (Incoming.header("X-Priority") == "batch")
    Job->m_Priority = Batch::Priority::Batch;
  Job->m_Chat = Body.contains("messages");
  Job->m_Stream = Body.value("stream", false);
  return Job;
}

http::Response makeWholeAnswer(const Generation &Job, std::size_t Tokens) {
  const std::string Text =
      answerText(Job.m_Shown.m_Source, Job.m_FirstToken, Tokens);
  nlohmann::json Choice = {{"finish_reason", finishReason(Job)}};
  if (Job.m_Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  nlohmann::json Document = makeDocument(Job, std::move(Choice));
  Document["usage"] = makeUsage(Job, Tokens);
  return addIds(Job, http::makeJson(200, Document));
}

http::Response makeStreamHead(const Generation &Job) {
  return addIds(Job, {200, {{"Content-Type", "text/event-stream"}}, ""});
}

std::string makeTokenEvent(const Generation &Job, std::size_t Index) {
  const std::string Text = answerToken(Job.m_Shown.m_Source, Index);
  nlohmann::json Choice = {{"finish_reason", nullptr}};
  if (Job.m_Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  nlohmann::json Document = makeDocument(Job, std::move(Choice));
  Document["token"] = Index;
  return makeEvent(Document);
}

std::string makeStreamEnd(const Generation &Job, std::size_t Tokens) {
  nlohmann::json Choice = {{"finish_reason", finishReason(Job)}};
  if (Job.m_Chat)
    Choice["delta"] = nlohmann::json::object();
  else
    Choice["text"] = "";
  nlohmann::json Document = makeDocument(Job, std::move(Choice));
  Document["usage"] = makeUsage(Job, Tokens);
  return makeEvent(Document) + "data: [DONE]\n\n";
}

} // namespace sff::standin

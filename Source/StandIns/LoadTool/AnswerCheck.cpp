#include "StandIns/LoadTool/AnswerCheck.h"

namespace sff::standin {

namespace {

constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view StreamEnd = "[DONE]";
constexpr std::string_view IdPrefix = "cmpl-";

struct Received {
  std::string m_Text;
  std::string m_Id;
  bool m_Ended = false;
};

std::string textOf(const nlohmann::json &Choice) {
  for (const char *Chat : {"message", "delta"})
    if (Choice.contains(Chat))
      return Choice.at(Chat).value("content", "");
  return Choice.value("text", "");
}

void addDocument(Received &Answer, std::string_view Text) {
  const auto Document = nlohmann::json::parse(Text, nullptr, false);
  if (!Document.is_object() || !Document.contains("choices"))
    return;
  Answer.m_Id = Document.value("id", "");
  Answer.m_Text += textOf(Document.at("choices").at(0));
}

Received readStream(std::string_view Body) {
  Received Answer;
  while (!Body.empty()) {
    const std::size_t End = Body.find(EventEnd);
    if (End == std::string_view::npos)
      break;
    const std::string_view Event = Body.substr(0, End);
    Body.remove_prefix(End + EventEnd.size());
    if (!Event.starts_with(EventPrefix))
      continue;
    const std::string_view Data = Event.substr(EventPrefix.size());
    if (Data == StreamEnd)
      Answer.m_Ended = true;
    else
      addDocument(Answer, Data);
  }
  return Answer;
}

Received readWhole(std::string_view Body) {
  Received Answer;
  addDocument(Answer, Body);
  Answer.m_Ended = !Answer.m_Id.empty();
  return Answer;
}

} // namespace

AnswerVerdict checkAnswer(AnswerSource Source, std::size_t MaxTokens,
                          std::string_view Body, bool Streamed) {
  const Received Answer = Streamed ? readStream(Body) : readWhole(Body);
  if (!Answer.m_Id.starts_with(IdPrefix))
    return AnswerVerdict::Incomplete;
  Source.m_RequestId = Answer.m_Id.substr(IdPrefix.size());
  const std::string Expected = answerText(Source, 0, MaxTokens);
  if (Answer.m_Ended && Answer.m_Text == Expected)
    return AnswerVerdict::Whole;
  return Expected.starts_with(Answer.m_Text) ? AnswerVerdict::Incomplete
                                             : AnswerVerdict::Wrong;
}

} // namespace sff::standin

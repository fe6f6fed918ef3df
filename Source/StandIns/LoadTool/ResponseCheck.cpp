#include "StandIns/LoadTool/ResponseCheck.h"

namespace sff::standin {

namespace {

constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view StreamEnd = "[DONE]";
constexpr std::string_view IdPrefix = "cmpl-";

struct ParsedResponse {
  std::string m_Text;
  std::string m_Id;
  bool m_Terminated = false;
};

std::string textOf(const nlohmann::json &Choice) {
  for (const char *Chat : {"message", "delta"})
    if (Choice.contains(Chat))
      return Choice.at(Chat).value("content", "");
  return Choice.value("text", "");
}

void appendChoice(ParsedResponse &Parsed, std::string_view Text) {
  const auto Document = nlohmann::json::parse(Text, nullptr, false);
  if (!Document.is_object() || !Document.contains("choices"))
    return;
  Parsed.m_Id = Document.value("id", "");
  Parsed.m_Text += textOf(Document.at("choices").at(0));
}

ParsedResponse parseStream(std::string_view Body) {
  ParsedResponse Parsed;
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
      Parsed.m_Terminated = true;
    else
      appendChoice(Parsed, Data);
  }
  return Parsed;
}

ParsedResponse parseBody(std::string_view Body) {
  ParsedResponse Parsed;
  appendChoice(Parsed, Body);
  Parsed.m_Terminated = !Parsed.m_Id.empty();
  return Parsed;
}

} // namespace

ResponseVerdict checkResponse(CompletionKey Source, std::size_t MaxTokens,
                              std::string_view Body, bool Streamed) {
  const ParsedResponse Parsed = Streamed ? parseStream(Body) : parseBody(Body);
  if (!Parsed.m_Id.starts_with(IdPrefix))
    return ResponseVerdict::Incomplete;
  Source.m_RequestId = Parsed.m_Id.substr(IdPrefix.size());
  const std::string Expected = completionText(Source, 0, MaxTokens);
  if (Parsed.m_Terminated && Parsed.m_Text == Expected)
    return ResponseVerdict::Complete;
  return Expected.starts_with(Parsed.m_Text) ? ResponseVerdict::Incomplete
                                             : ResponseVerdict::Wrong;
}

} // namespace sff::standin

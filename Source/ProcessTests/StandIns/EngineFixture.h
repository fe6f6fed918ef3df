#pragma once

#include "ProcessTests/Support/ProcessTest.h"
#include "StandIns/Support/CompletionText.h"

namespace sff::test {

/// Fixture with one engine that has the model "m" on local disk.
class EngineFixture : public ProcessTest {
protected:
  void startEngine(nlohmann::json Options = nlohmann::json::object()) {
    Options.update({{"on_disk", {"m/1"}}, {"disk_load_ms", 1}});
    m_Engine = startStandIn("e1", "standin-engine", {{"engine", Options}});
  }

  static nlohmann::json makeOrder(const std::string &Id,
                                  const std::string &Kind,
                                  const std::string &Model, int Token = 1) {
    return {{"order_id", Id}, {"fencing_token", Token}, {"kind", Kind},
            {"model", Model}, {"version", "1"},         {"bytes", 1000},
            {"base", ""},     {"bytes_per_token", 10},  {"max_tokens", 500}};
  }
  HttpResult order(const nlohmann::json &Order) {
    return m_Http.post(m_Engine, "/control/orders", Order);
  }
  void load() {
    ASSERT_EQ(order(makeOrder("load", "load", "m")).status(), 200);
  }

  nlohmann::json inventory() {
    return m_Http.get(m_Engine, "/control/inventory").json();
  }

  static nlohmann::json makePrompt(const std::string &Prompt, int Tokens) {
    return {{"model", "m"}, {"prompt", Prompt}, {"max_tokens", Tokens}};
  }
  HttpResult complete(const std::string &Id, const std::string &Prompt,
                      int Tokens,
                      const std::string &Priority = "interactive") const {
    BlockingHttpClient Caller;
    return Caller.post(m_Engine, "/v1/completions", makePrompt(Prompt, Tokens),
                       {{"X-Request-Id", Id},
                        {"X-Attempt-Id", Id + "-1"},
                        {"X-Priority", Priority}});
  }
  static std::string textOf(const HttpResult &Answer) {
    const auto Body = Answer.json();
    if (!Body.is_object() || !Body.contains("choices"))
      return {};
    return Body.at("choices").at(0).at("text").get<std::string>();
  }
  static std::string expected(const std::string &Id, const std::string &Prompt,
                              std::size_t Tokens, std::size_t From = 0) {
    return standin::completionText({"m", Prompt, Id}, From, Tokens);
  }

  http::Address m_Engine;
};

} // namespace sff::test

#include "Common/Logging/Log.h"

#include "Common/Concurrency/BoundedRing.h"
#include "Common/Concurrency/DutyThread.h"

#include <glog/logging.h>

#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <memory>

namespace sff::log {

namespace {

/// Lines that wait for the writer; more are dropped and counted.
constexpr std::size_t QueuedLines = 4096;
/// The writer looks for lines this often, so that a line does not cost a
/// wake-up of its own.
constexpr std::chrono::milliseconds WritePeriod{200};

/// Writes lines to standard output on a thread of its own, so that a reader
/// that does not keep up blocks nobody. Thread safety: any thread.
class LineWriter {
public:
  LineWriter() : m_Thread("log-writer", [this] { run(); }) {}

  void push(std::string Line) {
    if (!m_Lines.tryPush(std::move(Line)))
      ++m_Dropped;
  }

  /// Writes what is queued and ends the thread.
  void stop() {
    m_Stopping = true;
    m_Thread.join();
  }

private:
  void run() {
    while (!m_Stopping) {
      writeQueued();
      std::this_thread::sleep_for(WritePeriod);
    }
    writeQueued();
  }

  void writeQueued() {
    std::string Whole;
    while (auto Line = m_Lines.tryPop())
      Whole += *Line;
    if (const auto Lost = m_Dropped.exchange(0); Lost > 0)
      Whole +=
          "{\"event\":\"log.lines_dropped\",\"lines\":" + std::to_string(Lost) +
          "}\n";
    std::string_view Rest = Whole;
    while (!Rest.empty()) {
      const ssize_t Written = ::write(STDOUT_FILENO, Rest.data(), Rest.size());
      // Nothing is left to report a failure to; the lines are lost.
      if (Written <= 0)
        return;
      Rest.remove_prefix(static_cast<std::size_t>(Written));
    }
  }

  concurrency::BoundedRing<std::string> m_Lines{QueuedLines};
  std::atomic<std::uint64_t> m_Dropped{0};
  std::atomic<bool> m_Stopping{false};
  concurrency::DutyThread m_Thread;
};

/// Writes each message as one JSON line. Messages of the project arrive as a
/// JSON object; other libraries' messages are wrapped as text.
class JsonLinesSink : public google::LogSink {
public:
  explicit JsonLinesSink(LineWriter &Writer) : m_Writer(Writer) {}

  void send(google::LogSeverity Severity, const char *, const char *, int,
            const google::LogMessageTime &, const char *Message,
            size_t Length) override {
    const std::string_view Text(Message, Length);
    if (Text.starts_with('{')) {
      writeLine(Text);
      return;
    }
    nlohmann::json Wrapped = {{"level", google::GetLogSeverityName(Severity)},
                              {"text", Text}};
    writeLine(Wrapped.dump());
  }

private:
  void writeLine(std::string_view Text) {
    std::string Whole(Text);
    Whole.push_back('\n');
    m_Writer.push(std::move(Whole));
  }

  LineWriter &m_Writer;
};

struct State {
  ProcessIdentity m_Identity;
  Level m_MinimumLevel = Level::Info;
  timeline::HybridClock m_Clock;
  std::unique_ptr<timeline::EventRecorder> m_Recorder =
      std::make_unique<timeline::EventRecorder>(DefaultRecordedEvents);
  std::unique_ptr<LineWriter> m_Writer;
  std::unique_ptr<JsonLinesSink> m_Sink;
  std::atomic<bool> m_Ready{false};
};

// Never destroyed, because threads of libraries may log during exit.
State &state() {
  static State *Instance = new State;
  return *Instance;
}

const char *levelName(Level Value) {
  switch (Value) {
  case Level::Debug:
    return "debug";
  case Level::Info:
    return "info";
  case Level::Warning:
    return "warning";
  case Level::Error:
    return "error";
  }
  return "";
}

google::LogSeverity toSeverity(Level Value) {
  if (Value == Level::Error)
    return google::GLOG_ERROR;
  return Value == Level::Warning ? google::GLOG_WARNING : google::GLOG_INFO;
}

timeline::Event makeEvent(const Line &Item) {
  const ProcessIdentity &Identity = state().m_Identity;
  return {state().m_Clock.tick(),    Identity.m_Host,
          Identity.m_Zone,           Identity.m_Program,
          Identity.m_Incarnation,    std::string(toString(Item.m_Category)),
          std::string(Item.m_Event), std::string(Item.m_Request),
          std::string(Item.m_Entry), Item.m_Fields};
}

} // namespace

std::string_view toString(Category Value) {
  switch (Value) {
  case Category::Process:
    return "process";
  case Category::Http:
    return "http";
  case Category::Peer:
    return "peer";
  case Category::Platform:
    return "platform";
  case Category::Catalogue:
    return "catalogue";
  case Category::Ownership:
    return "ownership";
  case Category::Slots:
    return "slots";
  case Category::Loading:
    return "loading";
  case Category::Memory:
    return "memory";
  case Category::Admission:
    return "admission";
  case Category::Routing:
    return "routing";
  case Category::Execution:
    return "execution";
  case Category::Membership:
    return "membership";
  }
  return "";
}

void initialize(const ProcessIdentity &Identity, Level MinimumLevel,
                std::size_t RecordedEvents) {
  State &Shared = state();
  Shared.m_Recorder = std::make_unique<timeline::EventRecorder>(RecordedEvents);
  Shared.m_Writer = std::make_unique<LineWriter>();
  Shared.m_Sink = std::make_unique<JsonLinesSink>(*Shared.m_Writer);
  Shared.m_Identity = Identity;
  Shared.m_MinimumLevel = MinimumLevel;
  google::InitGoogleLogging(Identity.m_Program.c_str());
  // The sink replaces glog's own files and its text on standard error.
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  for (int Severity = 0; Severity < google::NUM_SEVERITIES; ++Severity)
    google::SetLogDestination(Severity, "");
  google::AddLogSink(Shared.m_Sink.get());
  Shared.m_Ready = true;
  std::atexit(flush);
}

void flush() {
  State &Shared = state();
  if (!Shared.m_Ready.exchange(false))
    return;
  google::RemoveLogSink(Shared.m_Sink.get());
  Shared.m_Writer->stop();
}

void write(Line Item) {
  State &Shared = state();
  if (!Shared.m_Ready || Item.m_Level < Shared.m_MinimumLevel)
    return;
  timeline::Event Recorded = makeEvent(Item);
  nlohmann::json Output = Recorded;
  Output["level"] = levelName(Item.m_Level);
  const std::string Text =
      Output.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  google::LogMessage(__FILE__, __LINE__, toSeverity(Item.m_Level),
                     Shared.m_Sink.get(), false)
          .stream()
      << Text;
  Shared.m_Recorder->record(std::move(Recorded));
}

timeline::HybridClock &clock() { return state().m_Clock; }
timeline::EventRecorder &recorder() { return *state().m_Recorder; }

} // namespace sff::log

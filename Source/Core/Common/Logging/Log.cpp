#include "Common/Logging/Log.h"

#include "Common/Codec/Text.h"
#include "Common/Concurrency/BoundedQueue.h"
#include "Common/Concurrency/NamedThread.h"
#include "Common/Logging/LineChunk.h"

#include <glog/logging.h>

#include <unistd.h>

#include <atomic>
#include <climits>
#include <cstdlib>
#include <memory>

namespace sff::log {

namespace {

/// Capacity of the queue to the writer thread. Lines beyond it are dropped and
/// counted.
constexpr std::size_t MaxQueuedLines = 4096;
/// Interval at which the writer thread polls the queue. Polling avoids one
/// thread wake-up per line.
constexpr std::chrono::milliseconds FlushInterval{200};

/// Longest name of a request or an entry, and longest text of a field, in
/// bytes. Lines wait in memory to be written.
constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxTextBytes = 2000;

std::string cutText(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return std::string(Text);
  return std::string(Text.substr(0, MaxBytes)) + "...";
}

nlohmann::json cutTexts(nlohmann::json Fields) {
  for (nlohmann::json &Value : Fields)
    if (const auto *Text = Value.get_ptr<const std::string *>();
        Text && Text->size() > MaxTextBytes)
      Value = cutText(*Text, MaxTextBytes);
  return Fields;
}

/// Writes lines to standard output on a dedicated thread, so that a slow reader
/// of the output does not block the logging threads.
/// Thread safety: any thread.
class LineWriter {
public:
  LineWriter() : m_Thread("log-writer", [this] { run(); }) {}

  void push(std::string Line) {
    if (!m_Lines.tryPush(std::move(Line)))
      ++m_Dropped;
  }

  /// Writes the queued lines and joins the thread.
  void stop() {
    m_Stopping = true;
    m_Thread.join();
  }

private:
  void run() {
    while (!m_Stopping) {
      writeQueued();
      std::this_thread::sleep_for(FlushInterval);
    }
    writeQueued();
  }

  void writeQueued() {
    std::string Buffer;
    while (auto Line = m_Lines.tryPop())
      Buffer += *Line;
    if (const auto DroppedCount = m_Dropped.exchange(0); DroppedCount > 0)
      Buffer += "{\"event\":\"log.lines_dropped\",\"lines\":" +
                std::to_string(DroppedCount) + "}\n";
    std::string_view Remaining = Buffer;
    while (!Remaining.empty()) {
      // A pipe takes up to PIPE_BUF bytes at once, without mixing them with the
      // output of other processes.
      const std::string_view Chunk = leadingLines(Remaining, PIPE_BUF);
      const ssize_t Written =
          ::write(STDOUT_FILENO, Chunk.data(), Chunk.size());
      // There is no other channel to report the failure to; the lines are lost.
      if (Written <= 0)
        return;
      Remaining.remove_prefix(static_cast<std::size_t>(Written));
    }
  }

  concurrency::BoundedQueue<std::string> m_Lines{MaxQueuedLines};
  std::atomic<std::uint64_t> m_Dropped{0};
  std::atomic<bool> m_Stopping{false};
  concurrency::NamedThread m_Thread;
};

/// Writes each message as one JSON line. Messages of this project are already
/// JSON objects; plain-text messages of other libraries are wrapped in one.
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
    writeLine(codec::toJsonText(Wrapped));
  }

private:
  void writeLine(std::string_view Text) {
    std::string Buffer(Text);
    Buffer.push_back('\n');
    m_Writer.push(std::move(Buffer));
  }

  LineWriter &m_Writer;
};

struct LoggerState {
  ProcessIdentity m_Identity;
  Level m_MinimumLevel = Level::Info;
  timeline::HybridClock m_Clock;
  std::unique_ptr<timeline::EventRecorder> m_Recorder =
      std::make_unique<timeline::EventRecorder>(DefaultEventCapacity);
  std::unique_ptr<LineWriter> m_Writer;
  std::unique_ptr<JsonLinesSink> m_Sink;
  std::atomic<bool> m_Initialized{false};
};

// Never destroyed, because library threads may log during process exit.
LoggerState &loggerState() {
  static LoggerState *Instance = new LoggerState;
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

timeline::Event makeEvent(Line Item) {
  const ProcessIdentity &Identity = loggerState().m_Identity;
  return {loggerState().m_Clock.tick(),
          Identity.m_Host,
          Identity.m_Zone,
          Identity.m_Program,
          Identity.m_Incarnation,
          std::string(toString(Item.m_Category)),
          std::string(Item.m_Event),
          cutText(Item.m_Request, MaxNameBytes),
          cutText(Item.m_Entry, MaxNameBytes),
          cutTexts(std::move(Item.m_Fields))};
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
                std::size_t EventCapacity) {
  LoggerState &Logger = loggerState();
  Logger.m_Recorder = std::make_unique<timeline::EventRecorder>(EventCapacity);
  Logger.m_Writer = std::make_unique<LineWriter>();
  Logger.m_Sink = std::make_unique<JsonLinesSink>(*Logger.m_Writer);
  Logger.m_Identity = Identity;
  Logger.m_MinimumLevel = MinimumLevel;
  google::InitGoogleLogging(Identity.m_Program.c_str());
  // The sink replaces glog's log files and its output on standard error.
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  for (int Severity = 0; Severity < google::NUM_SEVERITIES; ++Severity)
    google::SetLogDestination(Severity, "");
  google::AddLogSink(Logger.m_Sink.get());
  Logger.m_Initialized = true;
  std::atexit(flush);
}

void flush() {
  LoggerState &Logger = loggerState();
  if (!Logger.m_Initialized.exchange(false))
    return;
  google::RemoveLogSink(Logger.m_Sink.get());
  Logger.m_Writer->stop();
}

void write(Line Item) {
  LoggerState &Logger = loggerState();
  if (!Logger.m_Initialized || Item.m_Level < Logger.m_MinimumLevel)
    return;
  const Level LineLevel = Item.m_Level;
  timeline::Event RecordedEvent = makeEvent(std::move(Item));
  nlohmann::json Output = RecordedEvent;
  Output["level"] = levelName(LineLevel);
  const std::string Text = codec::toJsonText(Output);
  google::LogMessage(__FILE__, __LINE__, toSeverity(LineLevel),
                     Logger.m_Sink.get(), false)
          .stream()
      << Text;
  Logger.m_Recorder->record(std::move(RecordedEvent));
}

timeline::HybridClock &clock() { return loggerState().m_Clock; }
timeline::EventRecorder &recorder() { return *loggerState().m_Recorder; }

} // namespace sff::log

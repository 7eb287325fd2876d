#include "sapphirelane/base/log.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <easylogging++.h>

#include "sapphirelane/base/log_queue.h"

INITIALIZE_EASYLOGGINGPP

namespace sapphirelane {

namespace {

/// Between two writes, so that many lines take one wake-up and one call.
constexpr Milliseconds kWritePeriod{ 50 };

/// Longest value of a field, in characters.
constexpr std::size_t kMostValue = 200;

void
Configure(const std::string& aPath)
{
  el::Configurations settings;
  settings.setToDefault();
  const bool toFile = !aPath.empty();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile,
                       toFile ? "true" : "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput,
                       toFile ? "false" : "true");
  if (toFile) {
    settings.setGlobally(el::ConfigurationType::Filename, aPath);
  }
  el::Loggers::reconfigureLogger("default", settings);
}

std::string
TimeText()
{
  return absl::FormatTime(
    "%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
}

/// Hands lines over to the log's library on a thread of its own.
class LogWriter
{
public:
  LogWriter()
    : m_queue(LogQueueOptions{})
    , m_thread([this] { Run(); })
  {
  }

  void Push(const char* aPart, const std::string& aLine)
  {
    const std::string line = TimeText() + " " + aLine;
    std::lock_guard<std::mutex> lock(m_mutex);
    m_queue.Push(aPart, line, Clock::now());
    m_ready.notify_one();
    m_any = true;
  }

  /// @return False if the log's reader takes nothing; the thread still waits
  /// for it then.
  bool Stop(Duration aPatience)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_stop = true;
    m_ready.notify_one();
    const bool done =
      m_ended.wait_for(lock, aPatience, [this] { return m_done; });
    lock.unlock();
    if (done) {
      m_thread.join();
    } else {
      m_thread.detach();
    }
    return done;
  }

private:
  void Run()
  {
    bool stops = false;
    while (!stops) {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_ready.wait(lock, [this] { return m_any || m_stop; });
      m_ended.wait_for(lock, kWritePeriod, [this] { return m_stop; });
      stops = m_stop;
      m_any = false;
      auto lines = m_queue.Take();
      for (const auto& [part, count] : m_queue.TakeLeftOut()) {
        LogFields fields;
        fields.Add("part", part).Add("count", count);
        lines.push_back(TimeText() + " [log] Lines were left out." +
                        fields.Text());
      }
      lock.unlock();
      Write(lines);
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_done = true;
    m_ended.notify_all();
  }

  static void Write(const std::vector<std::string>& aLines)
  {
    std::string text;
    for (const std::string& line : aLines) {
      text += (text.empty() ? "" : "\n") + line;
    }
    if (!text.empty()) {
      LOG(INFO) << text;
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_ready;
  std::condition_variable m_ended;
  LogQueue m_queue;
  bool m_any = false;
  bool m_stop = false;
  bool m_done = false;
  std::thread m_thread;
};

std::unique_ptr<LogWriter>&
Writer()
{
  static std::unique_ptr<LogWriter> writer;
  return writer;
}

LogSink&
Sink()
{
  static LogSink sink;
  return sink;
}

} // namespace

void
OpenLog(const std::string& aPath)
{
  Configure(aPath);
  Writer() = std::make_unique<LogWriter>();
}

void
CloseLog(Duration aPatience)
{
  if (Writer() != nullptr && !Writer()->Stop(aPatience)) {
    // Its thread still uses it, until the process ends.
    static LogWriter* const kept = Writer().release();
    static_cast<void>(kept);
  }
  Writer().reset();
}

void
SetLogSink(LogSink aSink)
{
  Sink() = std::move(aSink);
}

LogFields&
LogFields::Add(const char* aName, std::string_view aValue)
{
  const std::string_view value = aValue.substr(0, kMostValue);
  const bool plain =
    !value.empty() && std::all_of(value.begin(), value.end(), [](char aOne) {
      const auto byte = static_cast<unsigned char>(aOne);
      return absl::ascii_isgraph(byte) && aOne != '"' && aOne != '=';
    });
  const absl::string_view text(value.data(), value.size());
  if (plain) {
    absl::StrAppend(&m_text, " ", aName, "=", text);
  } else {
    absl::StrAppend(&m_text, " ", aName, "=\"", absl::CEscape(text), "\"");
  }
  return *this;
}

LogFields&
LogFields::Add(const char* aName, const char* aValue)
{
  return Add(aName, std::string_view(aValue));
}

LogFields&
LogFields::Add(const char* aName, std::uint64_t aValue)
{
  absl::StrAppend(&m_text, " ", aName, "=", aValue);
  return *this;
}

LogFields&
LogFields::Add(const char* aName, std::uint32_t aValue)
{
  return Add(aName, std::uint64_t{ aValue });
}

LogFields&
LogFields::Add(const char* aName, int aValue)
{
  absl::StrAppend(&m_text, " ", aName, "=", aValue);
  return *this;
}

LogFields&
LogFields::Add(const char* aName, double aValue)
{
  absl::StrAppendFormat(&m_text, " %s=%.3f", aName, aValue);
  return *this;
}

LogFields&
LogFields::Add(const char* aName, Duration aValue)
{
  if (aValue == Duration::max()) {
    return Add(aName, "unknown");
  }
  absl::StrAppend(&m_text, " ", aName, "=", ToMilliseconds(aValue).count());
  return *this;
}

LogFields&
LogFields::Add(const LogFields& aOther)
{
  m_text += aOther.m_text;
  return *this;
}

void
LogLine(const char* aPart,
        const std::string& aSentence,
        const LogFields& aFields)
{
  const std::string line =
    absl::StrCat("[", aPart, "] ", aSentence, aFields.Text());
  if (Sink()) {
    Sink()(line);
  } else if (Writer() != nullptr) {
    Writer()->Push(aPart, line);
  } else {
    LOG(INFO) << line;
  }
}

} // namespace sapphirelane

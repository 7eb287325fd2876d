#include "sapphirelane/base/log.h"

#include <utility>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace sapphirelane {

void
OpenLog(const std::string& aPath)
{
  el::Configurations settings;
  settings.setToDefault();
  const bool toFile = !aPath.empty();
  settings.setGlobally(el::ConfigurationType::Format, "%datetime %msg");
  settings.setGlobally(el::ConfigurationType::ToFile,
                       toFile ? "true" : "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput,
                       toFile ? "false" : "true");
  if (toFile) {
    settings.setGlobally(el::ConfigurationType::Filename, aPath);
  }
  el::Loggers::reconfigureLogger("default", settings);
}

namespace {

LogSink&
Sink()
{
  static LogSink sink;
  return sink;
}

} // namespace

void
SetLogSink(LogSink aSink)
{
  Sink() = std::move(aSink);
}

void
LogLine(const char* aPart, const std::string& aSentence)
{
  const std::string line = std::string("[") + aPart + "] " + aSentence;
  if (Sink()) {
    Sink()(line);
    return;
  }
  LOG(INFO) << line;
}

} // namespace sapphirelane

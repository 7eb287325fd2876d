/// The daemon of one entry host.
#include <iostream>

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/base/signal_waiter.h"
#include "sapphirelane/proxy/entry_app.h"

namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitCutOff = 4;

/// Longest wait at the end for a log that nobody reads.
constexpr sapphirelane::Milliseconds kLogPatience{ 500 };

/// Keeps the log open; what waits is written also when an error ends the
/// daemon.
class LogSession
{
public:
  explicit LogSession(const std::string& aPath)
  {
    sapphirelane::OpenLog(aPath);
  }
  ~LogSession() { sapphirelane::CloseLog(kLogPatience); }
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;
};

/// Checks a settings file that may have changed. Listeners and links keep what
/// they were started with, so that no request is cut off.
void
CheckAgain(const std::string& aFile)
{
  try {
    sapphirelane::LoadEntrySettings(aFile);
    sapphirelane::LogLine("entry",
                          "The settings were read again; what has changed in "
                          "them takes effect at the next start.");
  } catch (const sapphirelane::ConfigError& error) {
    sapphirelane::LogLine("entry",
                          "The settings on file are not sound.",
                          sapphirelane::LogFields().Add("error", error.what()));
  }
}

/// Names the fields of the settings file that were left without a value, as a
/// template does for what it is not given.
void
LogFieldsWithoutValue(const sapphirelane::EntrySettings& aSettings)
{
  for (const std::string& field : aSettings.fields_without_value) {
    sapphirelane::LogLine("entry",
                          "A setting has no value; its default holds.",
                          sapphirelane::LogFields().Add("field", field));
  }
}

int
Serve(const sapphirelane::EntrySettings& aSettings,
      const std::string& aFile,
      sapphirelane::SignalWaiter& aSignals)
{
  LogFieldsWithoutValue(aSettings);
  auto app = sapphirelane::MakeEntryApp(aSettings);
  app->Start();
  while (aSignals.Wait() == SIGHUP) {
    CheckAgain(aFile);
  }
  return app->StopPlanned() ? kExitOk : kExitCutOff;
}

int
Run(int aCount, char** aArguments)
{
  sapphirelane::SignalWaiter signals;
  po::options_description options(
    "sapphirelane-entry: serves callers on one entry host.\n"
    "Exit codes: 0 stopped as planned, 1 failed, 2 usage, 3 settings,\n"
    "4 requests were cut off at the drain limit.\nOptions");
  options.add_options()("help,h", "show this text")("version",
                                                    "show the version")(
    "settings,s", po::value<std::string>(), "settings file (YAML)")(
    "check", "check the settings and stop");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "sapphirelane-entry: " << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return kExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << "sapphirelane-entry " << SAPPHIRELANE_VERSION << "\n";
    return kExitOk;
  }
  if (values.count("settings") == 0) {
    std::cerr << "sapphirelane-entry: --settings is missing\n";
    return kExitUsage;
  }
  sapphirelane::StartSecrets();
  const auto settings =
    sapphirelane::LoadEntrySettings(values["settings"].as<std::string>());
  if (values.count("check") != 0) {
    std::cout << "settings are sound\n";
    return kExitOk;
  }
  const LogSession log(settings.log);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return Serve(settings, values["settings"].as<std::string>(), signals);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const sapphirelane::ConfigError& error) {
    std::cerr << "sapphirelane-entry: " << error.what() << "\n";
    return kExitSettings;
  } catch (const std::exception& error) {
    std::cerr << "sapphirelane-entry: " << error.what() << "\n";
    return kExitFailed;
  }
}

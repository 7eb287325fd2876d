#ifndef STANDINS_PROGRAM_H
#define STANDINS_PROGRAM_H

#include <csignal>
#include <functional>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/config/yaml_reader.h"

namespace standins {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

/// @brief Blocks the stop signals; make one before any thread is started.
class StopSignals
{
public:
  StopSignals()
  {
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  /// @brief Waits until the program is to stop.
  void Await() const
  {
    int signal = 0;
    sigwait(&m_signals, &signal);
  }

private:
  sigset_t m_signals{};
};

/// @brief Runs a stand-in: --help, --version, --settings FILE, --check.
/// @param aRead Reads the settings; each field has a default.
/// @param aServe Serves with them and gives the exit code.
inline int
RunProgram(int aCount,
           char** aArguments,
           const std::string& aName,
           const std::function<void(sapphirelane::YamlReader&)>& aRead,
           const std::function<int()>& aServe)
{
  namespace po = boost::program_options;
  try {
    po::options_description text(aName);
    text.add_options()("help,h", "show this text")("version",
                                                   "show the version")(
      "settings,s", po::value<std::string>(), "settings (YAML)")(
      "check", "check the settings and stop");
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, text), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << text;
      return kExitOk;
    }
    if (values.count("version") != 0) {
      std::cout << aName << " " << SAPPHIRELANE_VERSION << "\n";
      return kExitOk;
    }
    if (values.count("settings") != 0) {
      auto reader = sapphirelane::YamlReader::OpenFile(
        values["settings"].as<std::string>());
      aRead(reader);
      reader.Finish();
    }
    if (values.count("check") != 0) {
      std::cout << "settings are sound\n";
      return kExitOk;
    }
    return aServe();
  } catch (const po::error& error) {
    std::cerr << aName << ": " << error.what() << "\n";
    return kExitUsage;
  } catch (const sapphirelane::ConfigError& error) {
    std::cerr << aName << ": " << error.what() << "\n";
    return kExitSettings;
  } catch (const std::exception& error) {
    std::cerr << aName << ": " << error.what() << "\n";
    return kExitFailed;
  }
}

} // namespace standins

#endif // STANDINS_PROGRAM_H

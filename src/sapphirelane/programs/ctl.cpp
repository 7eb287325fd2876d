/// The operators' command line.
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/config/change_set.h"
#include "sapphirelane/config/sheet.h"
#include "sapphirelane/logs/log_story.h"
#include "sapphirelane/store/http_client.h"

namespace {

namespace po = boost::program_options;
using nlohmann::json;
using namespace sapphirelane; // NOLINT(google-build-using-namespace)

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSheet = 3;
constexpr int kExitRefused = 4;
constexpr int kExitUnknown = 5;

constexpr Milliseconds kCallTimeout{ 20000 };

constexpr const char* kUsage = R"(sapphirelanectl [options] COMMAND

Commands
  credential                            make an operator credential and its digest
  status                                show the daemon and its fleet
  config                                show every row in force
  history                               show the latest changes
  explain REQUEST                       why a request went where it went
  logs request ID FILE...               what became of a request, from logs
  logs endpoint ID FILE...              how an endpoint stood over time
  logs account ID FILE...               what an account was refused
  sheet check FILE                      check the planners' sheet
  sheet diff FILE                       show what it would change
  sheet apply FILE                      make it one new version
  key create ACCOUNT [ID]               make a key; it is shown once
  key withdraw ID                       stop a key everywhere at once
  account set ID RATE BURST             requests a second, requests
  service set ID FLOOR                  percent of slots that ejection leaves
  upstream set ID SERVICE IP:PORT SLOTS CONNECTIONS
  upstream leave ID | upstream return ID
  route set ID PATH SERVICE MODE ACCESS TIMEOUT_MS [ACCOUNT...]
  host set ID STATE                     in-service or leaving
  evacuate DATA-CENTRE                  send nothing to its upstreams
  restore DATA-CENTRE                   end that
  KIND remove ID                        account, service, upstream, route, host

Exit codes: 0 done, 1 failed, 2 usage, 3 the sheet has errors, 4 refused,
5 unknown whether it was accepted.
)";

using Words = std::vector<std::string>;

class UsageError : public Error
{
public:
  using Error::Error;
};

/// Calls one daemon's operators' port.
class DaemonClient
{
public:
  DaemonClient(const std::string& aAddress, const std::string& aCredential)
    : m_client(MakeHttpClient(aAddress, kCallTimeout))
    , m_header("Authorization: Bearer " + aCredential)
  {
  }

  std::string Text(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = "")
  {
    const HttpReply reply = m_client->Call(aMethod, aPath, aBody, { m_header });
    if (reply.status != 200) {
      throw Error(aPath + ": status " + std::to_string(reply.status) + ": " +
                  reply.body);
    }
    return reply.body;
  }

  json Json(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody = "")
  {
    return json::parse(Text(aMethod, aPath, aBody));
  }

  FleetConfig Config() { return DecodeFleet(Text("GET", "/v1/config")); }

private:
  std::unique_ptr<HttpClient> m_client;
  std::string m_header;
};

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath);
  if (!stream) {
    throw Error(aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

const std::string&
Word(const Words& aWords, std::size_t aIndex, const char* aName)
{
  if (aIndex >= aWords.size()) {
    throw UsageError(std::string(aName) + " is missing");
  }
  return aWords[aIndex];
}

template<typename Number>
Number
NumberWord(const Words& aWords, std::size_t aIndex, const char* aName)
{
  const std::string& text = Word(aWords, aIndex, aName);
  double number = 0;
  if (!absl::SimpleAtod(text, &number) || number < 0) {
    throw UsageError(std::string(aName) + " \"" + text +
                     "\": expected a number");
  }
  return static_cast<Number>(number);
}

LifeState
StateWord(const std::string& aText)
{
  if (aText == "in-service") {
    return LifeState::InService;
  }
  if (aText == "leaving") {
    return LifeState::Leaving;
  }
  throw UsageError("state \"" + aText + "\": expected in-service or leaving");
}

class Commands
{
public:
  Commands(DaemonClient& aDaemon, std::string aAuthor)
    : m_daemon(aDaemon)
    , m_author(std::move(aAuthor))
  {
  }

  int Run(const Words& aWords)
  {
    const std::string& first = Word(aWords, 0, "COMMAND");
    if (first == "status") {
      std::cout << m_daemon.Json("GET", "/v1/status").dump(2) << "\n";
      return kExitOk;
    }
    if (first == "config") {
      for (const auto& entry : RowsOf(m_daemon.Config())) {
        std::cout << entry.first << " " << entry.second.dump() << "\n";
      }
      return kExitOk;
    }
    if (first == "history") {
      return History();
    }
    if (first == "explain") {
      std::cout << m_daemon.Text(
        "GET", "/v1/explain?request=" + Word(aWords, 1, "REQUEST"));
      return kExitOk;
    }
    if (first == "sheet") {
      return Sheet(Word(aWords, 1, "check, diff or apply"),
                   Word(aWords, 2, "FILE"));
    }
    if (first == "key") {
      return Key(aWords);
    }
    if (first == "evacuate" || first == "restore") {
      const std::string& name = Word(aWords, 1, "DATA-CENTRE");
      return Edit([&](FleetConfig& aConfig) {
        const json row = first == "evacuate" ? json::object() : json();
        SetRow(aConfig, "evacuations/" + name, row);
      });
    }
    return Change(aWords);
  }

private:
  int History()
  {
    for (const json& change : m_daemon.Json("GET", "/v1/history")) {
      std::cout << "version " << change["version"] << " by "
                << change["author"].get<std::string>() << "\n";
      for (const json& row : change["rows"]) {
        std::cout << "  " << row.get<std::string>() << "\n";
      }
    }
    return kExitOk;
  }

  int Sheet(const std::string& aVerb, const std::string& aFile)
  {
    const FleetConfig sheet = ReadSheet(aFile, ReadFile(aFile));
    if (aVerb == "check") {
      std::cout << aFile << ": " << RowsOf(sheet).size() << " rows are sound\n";
      return kExitOk;
    }
    if (aVerb != "diff" && aVerb != "apply") {
      throw UsageError("sheet \"" + aVerb +
                       "\": expected check, diff or apply");
    }
    const FleetConfig current = m_daemon.Config();
    const auto rows = Difference(current, Replace(current, sheet));
    for (const RowChange& row : rows) {
      std::cout << Describe(row) << "\n";
    }
    std::cout << rows.size() << " rows differ from version " << current.version
              << "\n";
    return aVerb == "diff" ? kExitOk : Submit(rows);
  }

  int Key(const Words& aWords)
  {
    const std::string& verb = Word(aWords, 1, "create or withdraw");
    if (verb == "withdraw") {
      const json result =
        m_daemon.Json("POST", "/v1/withdraw?key=" + Word(aWords, 2, "ID"));
      std::cout << "withdrawn: in force on " << result["in_force"] << " of "
                << result["members"] << " hosts, "
                << (result["kept"].get<bool>() ? "kept\n" : "not yet kept\n");
      return kExitOk;
    }
    if (verb != "create") {
      throw UsageError("key \"" + verb + "\": expected create or withdraw");
    }
    const std::string& account = Word(aWords, 2, "ACCOUNT");
    const std::string secret = MakeKey();
    const std::string digest = DigestOf(secret);
    sapphirelane::Key key;
    key.id =
      aWords.size() > 3 ? aWords[3] : account + "-" + digest.substr(0, 8);
    key.account = account;
    key.digest = digest;
    const int code = Edit([&](FleetConfig& aConfig) {
      if (!aConfig.keys.emplace(key.id, key).second) {
        throw UsageError("key \"" + key.id + "\" exists already");
      }
    });
    if (code == kExitOk) {
      std::cout << "key id: " << key.id << "\n"
                << "key: " << secret << "\n";
    }
    return code;
  }

  int Change(const Words& aWords)
  {
    const std::string& kind = aWords[0];
    const std::string& verb = Word(aWords, 1, "a verb");
    const std::string& id = Word(aWords, 2, "ID");
    return Edit([&](FleetConfig& aConfig) {
      if (verb == "remove") {
        const std::string row = kind == "upstream" ? "endpoint" : kind;
        SetRow(aConfig, row + "/" + id, nullptr);
      } else if (kind == "account" && verb == "set") {
        aConfig.accounts[id] = { id,
                                 NumberWord<double>(aWords, 3, "RATE"),
                                 NumberWord<double>(aWords, 4, "BURST") };
      } else if (kind == "service" && verb == "set") {
        aConfig.services[id] = {
          id, NumberWord<std::uint32_t>(aWords, 3, "FLOOR")
        };
      } else if (kind == "host" && verb == "set") {
        aConfig.hosts[id] = { id, StateWord(Word(aWords, 3, "STATE")) };
      } else if (kind == "upstream") {
        ChangeUpstream(aConfig, verb, id, aWords);
      } else if (kind == "route" && verb == "set") {
        SetRoute(aConfig, id, aWords);
      } else {
        throw UsageError("\"" + kind + " " + verb + "\" is not a command");
      }
    });
  }

  static void ChangeUpstream(FleetConfig& aConfig,
                             const std::string& aVerb,
                             const std::string& aId,
                             const Words& aWords)
  {
    if (aVerb == "set") {
      aConfig.endpoints[aId] = { aId,
                                 LifeState::InService,
                                 Word(aWords, 3, "SERVICE"),
                                 Word(aWords, 4, "IP:PORT"),
                                 NumberWord<std::uint32_t>(aWords, 5, "SLOTS"),
                                 NumberWord<std::uint32_t>(
                                   aWords, 6, "CONNECTIONS") };
      return;
    }
    auto found = aConfig.endpoints.find(aId);
    if (found == aConfig.endpoints.end()) {
      throw UsageError("upstream \"" + aId + "\" does not exist");
    }
    if (aVerb != "leave" && aVerb != "return") {
      throw UsageError("upstream \"" + aVerb +
                       "\": expected set, leave, return or remove");
    }
    found->second.state =
      aVerb == "leave" ? LifeState::Leaving : LifeState::InService;
  }

  static void SetRoute(FleetConfig& aConfig,
                       const std::string& aId,
                       const Words& aWords)
  {
    json row = { { "path", Word(aWords, 3, "PATH") },
                 { "service", Word(aWords, 4, "SERVICE") },
                 { "mode", Word(aWords, 5, "MODE") },
                 { "open", Word(aWords, 6, "ACCESS") == "open" },
                 { "timeout_ms",
                   NumberWord<std::uint32_t>(aWords, 7, "TIMEOUT_MS") },
                 { "callers", json::array() } };
    constexpr std::size_t kFirstCaller = 8;
    for (std::size_t i = kFirstCaller; i < aWords.size(); ++i) {
      row["callers"].push_back(aWords[i]);
    }
    SetRow(aConfig, "route/" + aId, row);
  }

  int Edit(const std::function<void(FleetConfig&)>& aEdit)
  {
    const FleetConfig current = m_daemon.Config();
    FleetConfig next = current;
    aEdit(next);
    return Submit(Difference(current, next));
  }

  int Submit(const std::vector<RowChange>& aRows)
  {
    ChangeSet change;
    change.id = MakeSecret();
    change.author = m_author;
    change.rows = aRows;
    if (aRows.empty()) {
      std::cout << "unchanged\n";
      return kExitOk;
    }
    const json result =
      m_daemon.Json("POST", "/v1/changes", json(change).dump());
    const auto verdict = result["verdict"].get<std::string>();
    const auto detail = result["detail"].get<std::string>();
    if (verdict == "accepted" || verdict == "unchanged") {
      std::cout << verdict << ": version " << result["version"] << "\n";
      return kExitOk;
    }
    std::cerr << verdict << ": " << detail << "\n";
    return verdict == "unknown" ? kExitUnknown : kExitRefused;
  }

  DaemonClient& m_daemon;
  std::string m_author;
};

int
MakeCredential()
{
  const std::string credential = MakeSecret();
  std::cout << "credential: " << credential << "\n"
            << "operator_digest: " << DigestOf(credential) << "\n";
  return kExitOk;
}

/// Reads the lines of a daemon's log; "-" is standard input. A file's name
/// without its ending is the host, unless its lines name one.
void
ReadLog(const std::string& aFile, std::vector<LogEntry>& aEntries)
{
  const std::size_t begin = aFile.rfind('/') + 1;
  const std::string host = aFile.substr(begin, aFile.rfind('.') - begin);
  std::ifstream file;
  if (aFile != "-") {
    file.open(aFile);
    if (!file) {
      throw Error(aFile + ": cannot be read");
    }
  }
  std::istream& lines = aFile == "-" ? std::cin : file;
  std::string line;
  while (std::getline(lines, line)) {
    auto entry = ParseLogLine(line, host);
    if (entry) {
      aEntries.push_back(std::move(*entry));
    }
  }
}

int
TellFromLogs(const Words& aWords)
{
  const std::string& subject = Word(aWords, 1, "request, endpoint or account");
  const std::string& id = Word(aWords, 2, "ID");
  Word(aWords, 3, "FILE");
  std::vector<LogEntry> entries;
  for (std::size_t i = 3; i < aWords.size(); ++i) {
    ReadLog(aWords[i], entries);
  }
  std::vector<LogEntry> story;
  if (subject == "request") {
    story = StoryOfRequest(std::move(entries), id);
  } else if (subject == "endpoint") {
    story = StoryOfEndpoint(std::move(entries), id);
  } else if (subject == "account") {
    story = StoryOfAccount(std::move(entries), id);
  } else {
    throw UsageError("logs " + subject +
                     ": expected request, endpoint or account");
  }
  for (const LogEntry& entry : story) {
    std::cout << entry.Text() << "\n";
  }
  if (story.empty()) {
    std::cerr << "sapphirelanectl: no line names " << subject << " " << id
              << "\n";
  }
  return story.empty() ? kExitFailed : kExitOk;
}

std::string
Credential(const po::variables_map& aValues)
{
  if (aValues.count("credential-file") != 0) {
    const std::string text =
      ReadFile(aValues["credential-file"].as<std::string>());
    return text.substr(0, text.find_first_of(" \r\n"));
  }
  const char* variable = std::getenv("SAPPHIRELANE_CREDENTIAL");
  if (variable == nullptr) {
    throw UsageError("--credential-file or SAPPHIRELANE_CREDENTIAL is missing");
  }
  return variable;
}

int
Run(int aCount, char** aArguments)
{
  po::options_description shown("Options");
  shown.add_options()("help,h", "show this text")("version",
                                                  "show the version")(
    "to",
    po::value<std::string>()->default_value("127.0.0.1:8081"),
    "operators' address of any daemon")(
    "credential-file", po::value<std::string>(), "file with the credential")(
    "author",
    po::value<std::string>()->default_value("operator"),
    "name for the history");
  po::options_description all;
  all.add(shown).add_options()("word", po::value<Words>());
  po::positional_options_description positions;
  positions.add("word", -1);
  po::variables_map values;
  po::store(po::command_line_parser(aCount, aArguments)
              .options(all)
              .positional(positions)
              .run(),
            values);
  po::notify(values);
  if (values.count("help") != 0) {
    std::cout << kUsage << "\n" << shown;
    return kExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << "sapphirelanectl " << SAPPHIRELANE_VERSION << "\n";
    return kExitOk;
  }
  if (values.count("word") == 0) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  StartSecrets();
  const auto words = values["word"].as<Words>();
  if (words[0] == "credential") {
    return MakeCredential();
  }
  if (words.size() == 3 && words[0] == "sheet" && words[1] == "check") {
    const FleetConfig sheet = ReadSheet(words[2], ReadFile(words[2]));
    std::cout << words[2] << ": " << RowsOf(sheet).size()
              << " rows are sound\n";
    return kExitOk;
  }
  if (words[0] == "logs") {
    return TellFromLogs(words);
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  DaemonClient daemon(values["to"].as<std::string>(), Credential(values));
  return Commands(daemon, values["author"].as<std::string>()).Run(words);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const SheetError& error) {
    std::cerr << error.what() << "\n";
    return kExitSheet;
  } catch (const UsageError& error) {
    std::cerr << "sapphirelanectl: " << error.what() << "\n";
    return kExitUsage;
  } catch (const po::error& error) {
    std::cerr << "sapphirelanectl: " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "sapphirelanectl: " << error.what() << "\n";
    return kExitFailed;
  }
}

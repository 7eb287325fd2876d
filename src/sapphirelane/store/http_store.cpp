#include "sapphirelane/store/store.h"

#include <nlohmann/json.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/store/http_client.h"

namespace sapphirelane {

using nlohmann::json;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

/// Decodes a JSON response. Throws PlatformUnavailable if its status is not 200
/// or its body is not JSON.
json
Decode(const HttpReply& aReply, const std::string& aPath)
{
  if (aReply.status != kStatusOk) {
    throw PlatformUnavailable(aPath + ": status " +
                              std::to_string(aReply.status));
  }
  try {
    return json::parse(aReply.body);
  } catch (const json::exception& error) {
    throw PlatformUnavailable(aPath + ": " + error.what());
  }
}

class HttpTable : public TableService
{
public:
  explicit HttpTable(HttpClient& aClient)
    : m_client(aClient)
  {
  }

  TableRow Read(const std::string& aRow) override
  {
    const std::string path = "/table/" + aRow;
    const HttpReply reply = m_client.Call("GET", path, "", {});
    if (reply.status == kStatusNotFound) {
      return {};
    }
    const json body = Decode(reply, path);
    try {
      return { body.at("version").get<std::uint64_t>(),
               body.at("value").get<std::string>() };
    } catch (const json::exception& error) {
      throw PlatformUnavailable(path + ": " + error.what());
    }
  }

  SwapResult Swap(const std::string& aRow,
                  std::uint64_t aVersion,
                  const std::string& aValue) override
  {
    const std::string path =
      "/table/" + aRow + "?if_version=" + std::to_string(aVersion);
    const HttpReply reply = m_client.Call("PUT", path, aValue, {});
    if (reply.status == kStatusConflict) {
      return SwapResult::Conflict;
    }
    if (reply.status != kStatusOk) {
      throw PlatformUnavailable(path + ": status " +
                                std::to_string(reply.status));
    }
    return SwapResult::Written;
  }

private:
  HttpClient& m_client;
};

class HttpObjects : public ObjectStore
{
public:
  explicit HttpObjects(HttpClient& aClient)
    : m_client(aClient)
  {
  }

  void Put(const std::string& aName, const std::string& aText) override
  {
    const std::string path = "/objects/" + aName;
    const HttpReply reply = m_client.Call("PUT", path, aText, {});
    if (reply.status != kStatusOk) {
      throw PlatformUnavailable(path + ": status " +
                                std::to_string(reply.status));
    }
  }

  std::optional<std::string> Get(const std::string& aName) override
  {
    const std::string path = "/objects/" + aName;
    HttpReply reply = m_client.Call("GET", path, "", {});
    if (reply.status == kStatusNotFound) {
      return std::nullopt;
    }
    if (reply.status != kStatusOk) {
      throw PlatformUnavailable(path + ": status " +
                                std::to_string(reply.status));
    }
    return std::move(reply.body);
  }

private:
  HttpClient& m_client;
};

class HttpHosts : public HostList
{
public:
  explicit HttpHosts(HttpClient& aClient)
    : m_client(aClient)
  {
  }

  std::vector<ListedHost> List() override
  {
    const json body = Decode(m_client.Call("GET", "/hosts", "", {}), "/hosts");
    std::vector<ListedHost> hosts;
    try {
      for (const json& host : body) {
        hosts.push_back({ host.at("id").get<std::string>(),
                          host.at("address").get<std::string>(),
                          host.at("leaving").get<bool>() });
      }
    } catch (const json::exception& error) {
      throw PlatformUnavailable(std::string("/hosts: ") + error.what());
    }
    return hosts;
  }

  void Announce(const ListedHost& aHost) override
  {
    const json body = { { "id", aHost.id },
                        { "address", aHost.address },
                        { "leaving", aHost.leaving } };
    m_client.Call("PUT", "/hosts", body.dump(), {});
  }

private:
  HttpClient& m_client;
};

class HttpPlatform : public Platform
{
public:
  explicit HttpPlatform(const PlatformSettings& aSettings)
    : m_client(MakeHttpClient(aSettings.address, aSettings.timeout))
    , m_table(*m_client)
    , m_objects(*m_client)
    , m_hosts(*m_client)
  {
  }

  TableService& Table() override { return m_table; }
  ObjectStore& Objects() override { return m_objects; }
  HostList& Hosts() override { return m_hosts; }

private:
  std::unique_ptr<HttpClient> m_client;
  HttpTable m_table;
  HttpObjects m_objects;
  HttpHosts m_hosts;
};

const PlatformRegistry::Registration kHttp(
  "http",
  [](const PlatformSettings& aSettings) {
    return MakeHttpPlatform(aSettings);
  });

} // namespace

std::unique_ptr<Platform>
MakeHttpPlatform(const PlatformSettings& aSettings)
{
  return std::make_unique<HttpPlatform>(aSettings);
}

} // namespace sapphirelane

#include "sapphirelane/relay/work_relay.h"

#include <utility>

namespace sapphirelane {

namespace {

/// Daemons of each other data centre that spread a message there.
constexpr std::size_t kRelays = 1;
constexpr std::size_t kUrgentRelays = 2;

/// Between two sums that a data centre tells the others.
constexpr Milliseconds kCentrePeriod{ 100 };

/// Tells the sender of a data centre's sums from the daemon that sends them.
constexpr NodeId kCentreMark = 0x8000000000000000ULL;

/// Longest time for which news of good work is held back to be summed up, and
/// the same in a large fleet, where each costs as many messages as a data
/// centre has daemons. News of requests that begin or fail takes the others
/// along.
constexpr Milliseconds kNewsPeriod{ 20 };
constexpr Milliseconds kLargeNewsPeriod{ 100 };

/// Sequence up to which a daemon's counters are taken whole when it is first
/// heard; beyond it, it counted before this daemon listened.
constexpr std::uint32_t kYoungSequence = 3;

} // namespace

WorkRelay::WorkRelay(MemberInfo aSelf,
                     const PeerBook& aPeers,
                     const UpdateSender& aSender,
                     QuotaLedger& aQuota,
                     ExtraBudget& aExtras)
  : m_self(std::move(aSelf))
  , m_peers(aPeers)
  , m_sender(aSender)
  , m_quota(aQuota)
  , m_extras(aExtras)
{
}

void
WorkRelay::NoteOwn(const WorkReport& aReport, TimePoint aNow)
{
  m_board.NoteOwn(aReport);
  if (aReport.begins) {
    m_extras.NoteRequests(aReport.service, 1, aNow);
  }
  const bool bad = aReport.bad > 0 || aReport.shed > 0;
  if (bad || aReport.begins || aReport.extra) {
    SendNews(bad ? kUrgentRelays : kRelays, aNow);
  }
}

void
WorkRelay::NoteOutcome(const std::string& aService,
                       bool aServed,
                       TimePoint aNow)
{
  m_board.NoteOutcome(aService, aServed);
  m_shortfall[aService].Note(1, aServed ? 0 : 1, aNow);
}

void
WorkRelay::NoteSpent(const std::string& aAccount, std::int32_t aCount)
{
  m_board.NoteSpent(aAccount, aCount);
}

double
WorkRelay::Shortfall(const std::string& aService, TimePoint aNow)
{
  return m_shortfall[aService].Share(aNow);
}

void
WorkRelay::Tick(TimePoint aNow)
{
  TellCentre(aNow);
  const Duration period = m_large ? kLargeNewsPeriod : kNewsPeriod;
  if (m_board.HasNews() && aNow - m_lastNews >= period) {
    SendNews(kRelays, aNow);
  }
}

void
WorkRelay::Heard::Note(std::uint32_t aSequence)
{
  whole = sequence == 0 ? aSequence <= kYoungSequence : whole;
  sequence = aSequence;
}

std::uint32_t
WorkRelay::Heard::Advance(Counters& aCounters,
                          std::uint32_t aKey,
                          std::uint32_t aValue) const
{
  auto found = aCounters.try_emplace(aKey, whole ? 0 : aValue).first;
  return aValue - std::exchange(found->second, aValue);
}

std::vector<FleetEvidence>
WorkRelay::DropDead(TimePoint aNow)
{
  std::vector<FleetEvidence> all;
  for (NodeId node : m_board.Nodes()) {
    if (!m_peers.IsLive(node, aNow)) {
      for (FleetEvidence& one : m_board.Drop(node)) {
        all.push_back(std::move(one));
      }
    }
  }
  return all;
}

void
WorkRelay::SendNews(std::size_t aRelays, TimePoint aNow)
{
  WorkNews news = m_board.TakeNews();
  news.origin = m_self.id;
  news.sequence = ++m_sequence;
  m_lastNews = aNow;
  if (!m_large) {
    m_sender.SendToAll(
      std::move(news), m_sender.PickRelays(aRelays, aNow), aNow);
    return;
  }
  NoteForCentre(news);
  m_sender.SendLocally(news, aNow);
  SendToOwners(news, aRelays, aNow);
}

/// Tells the daemons of another data centre about work on its endpoints.
void
WorkRelay::SendToOwners(const WorkNews& aNews,
                        std::size_t aRelays,
                        TimePoint aNow)
{
  std::map<std::string, WorkNews> byCentre;
  for (const EndpointWork& work : aNews.endpoints) {
    const std::string centre = m_board.CentreOf(work.endpoint);
    if (!centre.empty() && centre != m_self.data_centre) {
      byCentre[centre].endpoints.push_back(work);
    }
  }
  for (auto& [centre, news] : byCentre) {
    news.origin = aNews.origin;
    news.sequence = aNews.sequence;
    m_sender.SendToRelays(news, m_sender.PickRelaysIn(centre, aRelays, aNow));
  }
}

/// Adds a daemon's counters to those of its data centre.
void
WorkRelay::NoteForCentre(const WorkNews& aNews)
{
  Heard& heard = m_centreHeard[aNews.origin];
  heard.Note(aNews.sequence);
  for (const AccountWork& work : aNews.accounts) {
    m_centre.spent[work.account] +=
      heard.Advance(heard.spent, work.account, work.spent);
    m_centre.new_accounts.insert(work.account);
  }
  for (const ServiceWork& work : aNews.services) {
    ServiceWork& sum = m_centre.services[work.service];
    sum.service = work.service;
    sum.requests += heard.Advance(heard.requests, work.service, work.requests);
    sum.extras += heard.Advance(heard.extras, work.service, work.extras);
    sum.ended += heard.Advance(heard.ended, work.service, work.ended);
    sum.unserved += heard.Advance(heard.unserved, work.service, work.unserved);
    m_centre.new_services.insert(work.service);
  }
}

/// In a large fleet the first daemon of a data centre tells the others what
/// all daemons of its own have let through.
void
WorkRelay::TellCentre(TimePoint aNow)
{
  if (!m_large || m_peers.NeighbourOrder(aNow) != 0) {
    m_tells = false;
    return;
  }
  if (!m_tells) {
    // Another one has told of what came before, but for the last
    // PeerBookOptions::live_for if it has died.
    m_tells = true;
    m_centre = {};
    ++m_tellingTimes;
  }
  const bool due = aNow - m_lastCentre >= kCentrePeriod;
  if (!due ||
      (m_centre.new_accounts.empty() && m_centre.new_services.empty())) {
    return;
  }
  m_lastCentre = aNow;
  WorkNews news;
  // Sums that begin anew are those of another sender.
  news.origin = (m_self.id ^ kCentreMark) + m_tellingTimes;
  news.sequence = ++m_centre.sequence;
  for (std::uint32_t account : m_centre.new_accounts) {
    news.accounts.push_back({ account, m_centre.spent[account] });
  }
  for (std::uint32_t service : m_centre.new_services) {
    news.services.push_back(m_centre.services[service]);
  }
  m_centre.new_accounts.clear();
  m_centre.new_services.clear();
  m_sender.SendToRelays(std::move(news),
                        m_sender.PickRelays(kUrgentRelays, aNow));
}

std::vector<FleetEvidence>
WorkRelay::OnNews(const WorkNews& aNews, TimePoint aNow)
{
  if (aNews.origin == m_self.id) {
    return {};
  }
  Heard& heard = m_heard[aNews.origin];
  if (aNews.sequence <= heard.sequence) {
    return {}; // It came by another way before.
  }
  heard.Note(aNews.sequence);
  if (aNews.spread) {
    m_sender.SendLocally(aNews, aNow);
  }
  if (m_large && m_peers.IsNeighbour(aNews.origin)) {
    NoteForCentre(aNews);
  }
  for (const AccountWork& work : aNews.accounts) {
    const std::uint32_t more =
      heard.Advance(heard.spent, work.account, work.spent);
    // What was given back makes the number smaller.
    const auto change = static_cast<std::int32_t>(more);
    if (change > 0) {
      m_quota.NoteOthers(m_board.AccountOf(work.account), more, aNow);
    }
  }
  for (const ServiceWork& work : aNews.services) {
    const std::string service = m_board.ServiceOf(work.service);
    const std::uint32_t requests =
      heard.Advance(heard.requests, work.service, work.requests);
    const std::uint32_t extras =
      heard.Advance(heard.extras, work.service, work.extras);
    m_extras.NoteRequests(service, requests, aNow);
    m_extras.NoteExtras(service, extras, aNow);
    const std::uint32_t ended =
      heard.Advance(heard.ended, work.service, work.ended);
    const std::uint32_t unserved =
      heard.Advance(heard.unserved, work.service, work.unserved);
    m_shortfall[service].Note(ended, unserved, aNow);
  }
  return m_board.Take(aNews);
}

} // namespace sapphirelane

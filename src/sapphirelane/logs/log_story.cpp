#include "sapphirelane/logs/log_story.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sapphirelane {

namespace {

/// Parts whose last line of a host says what the host believed.
const std::set<std::string> kBeliefs = { "view", "store", "peers", "config" };

void
Sort(std::vector<LogEntry>& aEntries)
{
  std::stable_sort(aEntries.begin(),
                   aEntries.end(),
                   [](const LogEntry& aOne, const LogEntry& aOther) {
                     return aOne.time < aOther.time;
                   });
}

template<typename Holds>
std::vector<LogEntry>
Chosen(std::vector<LogEntry> aEntries, const Holds& aHolds)
{
  Sort(aEntries);
  std::vector<LogEntry> chosen;
  std::copy_if(
    aEntries.begin(), aEntries.end(), std::back_inserter(chosen), aHolds);
  return chosen;
}

/// What was last said, by host and subject.
class LastWords
{
public:
  void Note(std::size_t aIndex, const LogEntry& aEntry)
  {
    if (aEntry.part == "health") {
      m_health[{ aEntry.host, aEntry.Field("endpoint") }] = aIndex;
    } else if (kBeliefs.count(aEntry.part) == 1) {
      m_beliefs[aEntry.host][aEntry.part] = aIndex;
    }
  }

  /// Adds what a host believed when it wrote a line.
  void AddFor(const LogEntry& aEntry, std::set<std::size_t>& aChosen) const
  {
    auto beliefs = m_beliefs.find(aEntry.host);
    if (beliefs != m_beliefs.end()) {
      for (const auto& belief : beliefs->second) {
        aChosen.insert(belief.second);
      }
    }
    auto health = m_health.find({ aEntry.host, aEntry.Field("endpoint") });
    if (health != m_health.end()) {
      aChosen.insert(health->second);
    }
  }

private:
  std::map<std::pair<std::string, std::string>, std::size_t> m_health;
  std::map<std::string, std::map<std::string, std::size_t>> m_beliefs;
};

} // namespace

std::vector<LogEntry>
StoryOfRequest(std::vector<LogEntry> aEntries, const std::string& aRequest)
{
  Sort(aEntries);
  LastWords words;
  std::set<std::size_t> chosen;
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    const LogEntry& entry = aEntries[i];
    if (entry.Field("request") == aRequest) {
      words.AddFor(entry, chosen);
      chosen.insert(i);
    }
    words.Note(i, entry);
  }
  std::vector<LogEntry> story;
  for (const std::size_t index : chosen) {
    story.push_back(std::move(aEntries[index]));
  }
  return story;
}

std::vector<LogEntry>
StoryOfEndpoint(std::vector<LogEntry> aEntries, const std::string& aEndpoint)
{
  return Chosen(std::move(aEntries), [&](const LogEntry& aOne) {
    const bool plain = aOne.sentence == "The request goes to an endpoint." ||
                       aOne.sentence == "The request is answered.";
    return aOne.Field("endpoint") == aEndpoint && !plain;
  });
}

std::vector<LogEntry>
StoryOfAccount(std::vector<LogEntry> aEntries, const std::string& aAccount)
{
  return Chosen(std::move(aEntries), [&](const LogEntry& aOne) {
    const bool refused =
      aOne.Field("account") == aAccount && aOne.part == "admit";
    return refused || !aOne.Field("quota_share").empty();
  });
}

} // namespace sapphirelane

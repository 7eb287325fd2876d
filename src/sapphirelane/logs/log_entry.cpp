#include "sapphirelane/logs/log_entry.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <absl/strings/escaping.h>

namespace sapphirelane {

namespace {

/// Length of a time such as 2026-12-04T13:28:01.123456Z.
constexpr std::size_t kTimeSize = 27;

bool
IsTime(std::string_view aWord)
{
  constexpr std::string_view kForm = "0000-00-00T00:00:00.000000Z";
  return aWord.size() == kTimeSize &&
         std::equal(aWord.begin(),
                    aWord.end(),
                    kForm.begin(),
                    [](char aOne, char aForm) {
                      return aForm == '0' ? std::isdigit(aOne) != 0
                                          : aOne == aForm;
                    });
}

/// Takes the first word off a text.
std::string_view
TakeWord(std::string_view& aText)
{
  const std::size_t end = std::min(aText.find(' '), aText.size());
  const std::string_view word = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return word;
}

/// @return Where a quoted value ends, behind its last quote.
std::size_t
EndOfQuoted(std::string_view aText)
{
  std::size_t at = 1;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 2 : 1;
  }
  return std::min(at + 1, aText.size());
}

/// Takes "name=value" off the front of a text.
std::pair<std::string, std::string>
TakeField(std::string_view& aText)
{
  const std::size_t equals = aText.find('=');
  if (equals == std::string_view::npos) {
    aText = {};
    return {};
  }
  const std::string name(aText.substr(0, equals));
  aText.remove_prefix(equals + 1);
  std::string value;
  if (!aText.empty() && aText.front() == '"') {
    const std::size_t end = EndOfQuoted(aText);
    const std::string_view quoted = aText.substr(1, end < 2 ? 0 : end - 2);
    absl::CUnescape(absl::string_view(quoted.data(), quoted.size()), &value);
    aText.remove_prefix(end);
    TakeWord(aText);
  } else {
    value = std::string(TakeWord(aText));
  }
  return { name, value };
}

} // namespace

const std::string&
LogEntry::Field(const std::string& aName) const
{
  static const std::string kNone;
  auto found = fields.find(aName);
  return found == fields.end() ? kNone : found->second;
}

std::string
LogEntry::Text() const
{
  std::string text = time + " " + host + " [" + part + "] " + sentence;
  for (const auto& [name, value] : fields) {
    const bool plain = value.find(' ') == std::string::npos && !value.empty();
    text += " " + name + "=" + (plain ? value : "\"" + value + "\"");
  }
  return text;
}

std::optional<LogEntry>
ParseLogLine(std::string_view aLine, const std::string& aHost)
{
  LogEntry entry;
  entry.host = aHost;
  std::string_view rest = aLine;
  std::string_view word = TakeWord(rest);
  while (!IsTime(word) && !rest.empty()) {
    entry.host = std::string(word);
    word = TakeWord(rest);
  }
  const std::size_t close = rest.find("] ");
  if (!IsTime(word) || rest.empty() || rest.front() != '[' ||
      close == std::string_view::npos) {
    return std::nullopt;
  }
  entry.time = std::string(word);
  entry.part = std::string(rest.substr(1, close - 1));
  rest.remove_prefix(close + 2);
  // The sentence ends before the first word with an equals sign.
  const std::size_t equals = rest.find('=');
  const std::size_t blank = equals == std::string_view::npos
                              ? std::string_view::npos
                              : rest.rfind(' ', equals);
  entry.sentence = std::string(rest.substr(0, blank));
  rest.remove_prefix(blank == std::string_view::npos ? rest.size() : blank + 1);
  while (!rest.empty()) {
    auto field = TakeField(rest);
    if (!field.first.empty()) {
      entry.fields.insert(std::move(field));
    }
  }
  return entry;
}

} // namespace sapphirelane

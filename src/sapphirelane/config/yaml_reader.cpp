#include "sapphirelane/config/yaml_reader.h"

#include <fstream>
#include <sstream>

#include <absl/strings/numbers.h>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

namespace {

std::string
PlaceOf(const std::string& aFile, const YAML::Mark& aMark)
{
  return aFile + ":" + std::to_string(aMark.line + 1) + ":" +
         std::to_string(aMark.column + 1);
}

std::string
ShownValue(const YAML::Node& aNode)
{
  if (aNode.IsNull()) {
    return "no value";
  }
  return aNode.IsScalar() ? "\"" + aNode.Scalar() + "\"" : "a list or a map";
}

} // namespace

YamlReader::YamlReader(std::string aFile,
                       std::string aPath,
                       const YAML::Node& aNode)
  : m_file(std::move(aFile))
  , m_path(std::move(aPath))
  , m_node(aNode)
  , m_withoutValue(std::make_shared<std::vector<std::string>>())
{
  if (!m_node.IsMap()) {
    throw ConfigError(PlaceOf(m_file, m_node.Mark()) + ": field \"" + m_path +
                      "\": expected a map of fields");
  }
}

YamlReader
YamlReader::OpenFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    throw ConfigError(aFile + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return OpenText(aFile, text.str());
}

YamlReader
YamlReader::OpenText(const std::string& aName, const std::string& aText)
{
  try {
    return { aName, "", YAML::Load(aText) };
  } catch (const YAML::Exception& error) {
    throw ConfigError(PlaceOf(aName, error.mark) + ": " + error.msg);
  }
}

YAML::Node
YamlReader::Find(const std::string& aField)
{
  const bool first = m_known.insert(aField).second;
  const YAML::Node& map = m_node;
  const YAML::Node node = map[aField];
  if (!node.IsDefined() || !node.IsNull()) {
    return node;
  }
  if (first) {
    m_withoutValue->push_back(m_path + aField);
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

YamlReader
YamlReader::Part(const std::string& aPath, const YAML::Node& aNode) const
{
  YamlReader part(m_file, aPath, aNode);
  part.m_withoutValue = m_withoutValue;
  return part;
}

bool
YamlReader::Has(const std::string& aField) const
{
  const YAML::Node& node = m_node;
  return node[aField].IsDefined();
}

void
YamlReader::Refuse(const std::string& aField,
                   const std::string& aExpected) const
{
  const YAML::Node& node = m_node;
  const YAML::Node value = node[aField];
  const bool there = value.IsDefined();
  const YAML::Mark mark = there ? value.Mark() : node.Mark();
  throw ConfigError(PlaceOf(m_file, mark) + ": field \"" + m_path + aField +
                    "\": expected " + aExpected + ", found " +
                    (there ? ShownValue(value) : "nothing"));
}

YamlReader
YamlReader::Map(const std::string& aField)
{
  YAML::Node node = Find(aField);
  if (!node.IsDefined()) {
    return Part(m_path + aField + ".", YAML::Node(YAML::NodeType::Map));
  }
  return Part(m_path + aField + ".", node);
}

std::vector<YamlReader>
YamlReader::MapList(const std::string& aField)
{
  YAML::Node node = Find(aField);
  std::vector<YamlReader> readers;
  if (!node.IsDefined()) {
    return readers;
  }
  if (!node.IsSequence()) {
    Refuse(aField, "a list");
  }
  for (std::size_t i = 0; i < node.size(); ++i) {
    readers.push_back(
      Part(m_path + aField + "[" + std::to_string(i) + "].", node[i]));
  }
  return readers;
}

std::vector<std::string>
YamlReader::TextList(const std::string& aField)
{
  YAML::Node node = Find(aField);
  std::vector<std::string> texts;
  if (!node.IsDefined()) {
    return texts;
  }
  if (!node.IsSequence()) {
    Refuse(aField, "a list of texts");
  }
  for (const YAML::Node& item : node) {
    if (!item.IsScalar()) {
      Refuse(aField, "a list of texts");
    }
    texts.push_back(item.Scalar());
  }
  return texts;
}

void
YamlReader::Read(const std::string& aField, std::string& aValue)
{
  YAML::Node node = Find(aField);
  if (!node.IsDefined()) {
    return;
  }
  if (!node.IsScalar()) {
    Refuse(aField, "a text");
  }
  aValue = node.Scalar();
}

void
YamlReader::Read(const std::string& aField, bool& aValue)
{
  YAML::Node node = Find(aField);
  if (!node.IsDefined()) {
    return;
  }
  const bool valid =
    node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false");
  if (!valid) {
    Refuse(aField, "true or false");
  }
  aValue = node.Scalar() == "true";
}

void
YamlReader::Read(const std::string& aField,
                 double& aValue,
                 double aLeast,
                 double aMost)
{
  YAML::Node node = Find(aField);
  if (!node.IsDefined()) {
    return;
  }
  double number = 0;
  const bool valid = node.IsScalar() &&
                     absl::SimpleAtod(node.Scalar(), &number) &&
                     number >= aLeast && number <= aMost;
  if (!valid) {
    Refuse(aField,
           "a number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
  }
  aValue = number;
}

void
YamlReader::Read(const std::string& aField,
                 Milliseconds& aValue,
                 Milliseconds aLeast,
                 Milliseconds aMost)
{
  const auto least = static_cast<std::uint64_t>(aLeast.count());
  const auto most = static_cast<std::uint64_t>(aMost.count());
  const auto held = static_cast<std::uint64_t>(aValue.count());
  aValue = Milliseconds(ReadInteger(aField, held, least, most));
}

std::uint64_t
YamlReader::ReadInteger(const std::string& aField,
                        std::uint64_t aDefault,
                        std::uint64_t aLeast,
                        std::uint64_t aMost)
{
  YAML::Node node = Find(aField);
  if (!node.IsDefined()) {
    return aDefault;
  }
  std::uint64_t number = 0;
  const bool valid = node.IsScalar() &&
                     absl::SimpleAtoi(node.Scalar(), &number) &&
                     number >= aLeast && number <= aMost;
  if (!valid) {
    Refuse(aField,
           "a whole number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
  }
  return number;
}

std::string
YamlReader::Required(const std::string& aField)
{
  std::string value;
  Read(aField, value);
  if (value.empty()) {
    Refuse(aField, "a text");
  }
  return value;
}

void
YamlReader::Finish() const
{
  for (const auto& entry : m_node) {
    const std::string field = entry.first.Scalar();
    if (m_known.count(field) == 0) {
      throw ConfigError(PlaceOf(m_file, entry.first.Mark()) + ": field \"" +
                        m_path + field + "\" is not known");
    }
  }
}

} // namespace sapphirelane

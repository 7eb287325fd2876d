#ifndef SAPPHIRELANE_CONFIG_YAML_READER_H
#define SAPPHIRELANE_CONFIG_YAML_READER_H

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Reads one YAML map field by field and refuses what it does not know.
///
/// Each Read leaves the value as it is when the field is absent or has no value
/// ("field:" or "field: null"). Every error is a ConfigError that names file,
/// line, column, field and expectation.
class YamlReader
{
public:
  /// @brief Opens a file.
  static YamlReader OpenFile(const std::string& aFile);

  /// @brief Opens text, for settings that are held in memory.
  static YamlReader OpenText(const std::string& aName,
                             const std::string& aText);

  bool Has(const std::string& aField) const;
  YamlReader Map(const std::string& aField);
  std::vector<YamlReader> MapList(const std::string& aField);
  std::vector<std::string> TextList(const std::string& aField);
  void Read(const std::string& aField, std::string& aValue);
  void Read(const std::string& aField, bool& aValue);
  void Read(const std::string& aField,
            double& aValue,
            double aLeast,
            double aMost);
  void Read(const std::string& aField,
            Milliseconds& aValue,
            Milliseconds aLeast,
            Milliseconds aMost);

  template<typename Integer>
  void Read(const std::string& aField,
            Integer& aValue,
            std::uint64_t aLeast,
            std::uint64_t aMost)
  {
    aValue = static_cast<Integer>(ReadInteger(aField, aValue, aLeast, aMost));
  }

  /// @brief Reads a text field that must be there.
  std::string Required(const std::string& aField);

  /// @brief Refuses the fields that were not read.
  void Finish() const;

  /// @brief Paths of the fields that were read so far, by this reader and those
  /// of its maps, and have no value.
  const std::vector<std::string>& FieldsWithoutValue() const
  {
    return *m_withoutValue;
  }

  /// @brief Throws a ConfigError about a field.
  [[noreturn]] void Refuse(const std::string& aField,
                           const std::string& aExpected) const;

private:
  YamlReader(std::string aFile, std::string aPath, const YAML::Node& aNode);

  std::uint64_t ReadInteger(const std::string& aField,
                            std::uint64_t aDefault,
                            std::uint64_t aLeast,
                            std::uint64_t aMost);
  YAML::Node Find(const std::string& aField);

  /// A reader of a part of this one's map.
  YamlReader Part(const std::string& aPath, const YAML::Node& aNode) const;

  std::string m_file;
  std::string m_path;
  YAML::Node m_node;
  std::set<std::string> m_known;
  std::shared_ptr<std::vector<std::string>>
    m_withoutValue; ///< Shared by parts.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_CONFIG_YAML_READER_H

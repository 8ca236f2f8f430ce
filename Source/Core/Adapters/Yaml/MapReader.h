#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_MAPREADER_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_MAPREADER_H

#include "Core/Model/Address.h"
#include "Core/Model/Finding.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Time.h"
#include "Core/Settings/Setting.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace bronzepass::core::adapters::yaml {

/// Collects the findings of one document.
class FindingSink {
public:
  explicit FindingSink(std::string FileName)
      : m_FileName(std::move(FileName)) {}

  void error(const YAML::Mark &Position, const std::string &Message);
  /// Adds a finding about the whole document.
  void error(const std::string &Message);
  model::FindingList take();

private:
  std::string m_FileName;
  model::FindingList m_Findings;
};

/// Reads the values of one YAML map by key. Each fault is reported as a finding
/// at its position and replaced by a default value, so that one pass reports
/// all faults.
class MapReader {
public:
  /// \p MapName names the map in findings, e.g. "model". Reports unknown keys,
  /// with a near match among \p KnownKeys, and repeated keys.
  MapReader(const YAML::Node &Map, std::string MapName,
            std::vector<std::string> KnownKeys, FindingSink &Sink);

  bool has(const std::string &Key) const;
  YAML::Node at(const std::string &Key) const;
  /// The position at which the map begins.
  YAML::Mark mark() const { return m_Map.Mark(); }

  std::string requiredText(const std::string &Key);
  std::string text(const std::string &Key, const std::string &Default);
  model::Duration duration(const std::string &Key, model::Duration Default);
  model::Duration requiredDuration(const std::string &Key);
  uint64_t bytes(const std::string &Key, uint64_t Default);
  uint64_t requiredBytes(const std::string &Key);
  uint64_t count(const std::string &Key, uint64_t Default, uint64_t Min,
                 uint64_t Max);
  double number(const std::string &Key, double Default, double Min, double Max);
  bool flag(const std::string &Key, bool Default);
  model::Address requiredAddress(const std::string &Key);
  model::LabelMap labels(const std::string &Key);
  std::vector<std::string> texts(const std::string &Key);

  /// Returns the value whose name in \p Choices is the text at \p Key.
  template <typename EnumT>
  EnumT choice(const std::string &Key, EnumT Default,
               const std::vector<std::pair<std::string, EnumT>> &Choices) {
    if (!has(Key))
      return Default;
    const std::string Word = text(Key, "");
    std::vector<std::string> Words;
    for (const std::pair<std::string, EnumT> &Choice : Choices) {
      if (Choice.first == Word)
        return Choice.second;
      Words.push_back(Choice.first);
    }
    unknownChoice(Key, Word, Words);
    return Default;
  }

  /// Calls \p Read for each element of the list at \p Key.
  void each(const std::string &Key,
            const std::function<void(const YAML::Node &)> &Read);

  void error(const std::string &Key, const std::string &Message);

private:
  std::optional<std::string> scalar(const std::string &Key);
  void missing(const std::string &Key);
  void unknownChoice(const std::string &Key, const std::string &Word,
                     const std::vector<std::string> &Words);

  YAML::Node m_Map;
  std::string m_MapName;
  FindingSink &m_Sink;
};

/// "40s", "1500ms", "20us"; nullopt unless it is a number with a unit of time.
std::optional<model::Duration> parseDuration(const std::string &Text);
/// "64KiB", "14GiB", "512B"; nullopt unless it is a number with a unit of size.
std::optional<uint64_t> parseBytes(const std::string &Text);
/// "10.1.0.11:8000"; nullopt unless it is an IPv4 address with a port.
std::optional<model::Address> parseAddress(const std::string &Text);

/// Parses \p Text. Reports a syntax error as a finding and returns a null node.
YAML::Node parseDocument(const std::string &Text, FindingSink &Sink);

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_MAPREADER_H

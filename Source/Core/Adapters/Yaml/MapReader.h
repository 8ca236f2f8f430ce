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

  void error(const YAML::Mark &Place, const std::string &Message);
  /// A null mark: the finding is about the whole document.
  void error(const std::string &Message);
  model::FindingList take();

private:
  std::string m_FileName;
  model::FindingList m_Findings;
};

/// Reads one YAML map by known keys. Each fault becomes a finding at its
/// place, and reading goes on with a default, so that one pass finds them all.
class MapReader {
public:
  /// \p What names the map in findings, e.g. "model". Unknown and repeated
  /// keys are found here, with a near match among \p KnownKeys.
  MapReader(const YAML::Node &Map, std::string What,
            std::vector<std::string> KnownKeys, FindingSink &Sink);

  bool has(const std::string &Key) const;
  YAML::Node at(const std::string &Key) const;
  /// Where the map begins.
  YAML::Mark mark() const { return m_Map.Mark(); }

  std::string requiredText(const std::string &Key);
  std::string text(const std::string &Key, const std::string &Default);
  model::Duration duration(const std::string &Key, model::Duration Default);
  model::Duration requiredDuration(const std::string &Key);
  uint64_t bytes(const std::string &Key, uint64_t Default);
  uint64_t requiredBytes(const std::string &Key);
  uint64_t count(const std::string &Key, uint64_t Default, uint64_t Least,
                 uint64_t Most);
  double number(const std::string &Key, double Default, double Least,
                double Most);
  bool flag(const std::string &Key, bool Default);
  model::Address requiredAddress(const std::string &Key);
  model::LabelMap labels(const std::string &Key);
  std::vector<std::string> texts(const std::string &Key);

  /// The value that \p Key's word stands for among \p Choices.
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
  std::string m_What;
  FindingSink &m_Sink;
};

/// "40s", "1500ms", "20us"; nothing where it is not a span with its unit.
std::optional<model::Duration> parseDuration(const std::string &Text);
/// "64KiB", "14GiB", "512B"; nothing where it is not a size with its unit.
std::optional<uint64_t> parseBytes(const std::string &Text);
/// "10.1.0.11:8000"; nothing where it is not an IP number with a port.
std::optional<model::Address> parseAddress(const std::string &Text);

/// Parses \p Text, turning a syntax error into a finding; a null node then.
YAML::Node parseDocument(const std::string &Text, FindingSink &Sink);

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_MAPREADER_H

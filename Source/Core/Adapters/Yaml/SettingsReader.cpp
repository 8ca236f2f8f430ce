#include "Core/Adapters/Yaml/SettingsReader.h"

#include "Core/Adapters/Yaml/MapReader.h"

#include <algorithm>
#include <map>
#include <vector>

namespace bronzepass::core::adapters::yaml {

namespace {

using settings::Bytes;
using settings::SettingInfo;
using settings::SettingValue;

const std::vector<std::string> LogLevels = {"trace", "debug", "info",
                                            "warn",  "error", "off"};

/// Reads a value of the type of the setting's default value.
SettingValue readValue(MapReader &Section, const SettingInfo &Info) {
  const std::string &Key = Info.m_Key;
  if (std::holds_alternative<std::string>(Info.m_DefaultValue))
    return Section.requiredText(Key);
  if (std::holds_alternative<uint64_t>(Info.m_DefaultValue))
    return Section.count(Key, std::get<uint64_t>(Info.m_DefaultValue),
                         std::get<uint64_t>(*Info.m_Minimum),
                         std::get<uint64_t>(*Info.m_Maximum));
  if (std::holds_alternative<double>(Info.m_DefaultValue))
    return Section.number(Key, std::get<double>(Info.m_DefaultValue),
                          std::get<double>(*Info.m_Minimum),
                          std::get<double>(*Info.m_Maximum));
  if (std::holds_alternative<Bytes>(Info.m_DefaultValue))
    return Bytes{
        Section.bytes(Key, std::get<Bytes>(Info.m_DefaultValue).m_Value)};
  if (std::holds_alternative<model::Duration>(Info.m_DefaultValue))
    return Section.duration(Key,
                            std::get<model::Duration>(Info.m_DefaultValue));
  return Section.requiredAddress(Key);
}

void checkRange(MapReader &Section, const SettingInfo &Info,
                const SettingValue &Value) {
  // count() and number() have already checked the range.
  if (!Info.m_Minimum || std::holds_alternative<uint64_t>(Value) ||
      std::holds_alternative<double>(Value))
    return;
  if (Value < *Info.m_Minimum || *Info.m_Maximum < Value)
    Section.error(Info.m_Key, "is " + settings::toString(Value) +
                                  ", expected " +
                                  settings::toString(*Info.m_Minimum) + " to " +
                                  settings::toString(*Info.m_Maximum));
}

void checkLogLevel(MapReader &Section, const SettingInfo &Info) {
  std::vector<std::pair<std::string, int>> Choices;
  for (const std::string &Level : LogLevels)
    Choices.emplace_back(Level, 0);
  Section.choice(Info.m_Key, 0, Choices);
}

std::map<std::string, std::vector<std::string>>
keysBySection(const std::vector<SettingInfo> &Table) {
  std::map<std::string, std::vector<std::string>> Keys;
  for (const SettingInfo &Info : Table)
    Keys[Info.m_Section].push_back(Info.m_Key);
  return Keys;
}

} // namespace

SettingsReadResult readSettings(const std::string &Text,
                                const std::string &FileName,
                                const std::vector<SettingInfo> &Table) {
  FindingSink Sink(FileName);
  const YAML::Node Document = parseDocument(Text, Sink);
  SettingsReadResult Result;
  if (!Document.IsDefined() || Document.IsNull()) {
    Result.m_Findings = Sink.take();
    if (Result.m_Findings.empty())
      Result.m_Findings.push_back(
          {model::Severity::Error, {FileName, 0, 0}, "the file is empty"});
    return Result;
  }
  const std::map<std::string, std::vector<std::string>> Keys =
      keysBySection(Table);
  std::vector<std::string> SectionNames;
  for (const auto &Entry : Keys)
    SectionNames.push_back(Entry.first);
  MapReader Top(Document, "settings", SectionNames, Sink);

  std::map<std::string, MapReader> Sections;
  for (const auto &Entry : Keys) {
    const YAML::Node Node = Top.has(Entry.first)
                                ? Top.at(Entry.first)
                                : YAML::Node(YAML::NodeType::Map);
    Sections.emplace(Entry.first,
                     MapReader(Node, Entry.first, Entry.second, Sink));
  }
  std::map<settings::NodeSettings::Key, SettingValue> Values;
  for (const SettingInfo &Info : Table) {
    MapReader &Section = Sections.at(Info.m_Section);
    if (!Section.has(Info.m_Key)) {
      if (!Info.m_HasDefault)
        Section.error(Info.m_Key, "is missing");
      continue;
    }
    const SettingValue Value = readValue(Section, Info);
    checkRange(Section, Info, Value);
    if (Info.m_Section == "logs")
      checkLogLevel(Section, Info);
    Values[{Info.m_Section, Info.m_Key}] = Value;
  }
  Result.m_Findings = Sink.take();
  if (!model::hasErrors(Result.m_Findings))
    Result.m_Settings = settings::NodeSettings(std::move(Values));
  return Result;
}

} // namespace bronzepass::core::adapters::yaml

#include "Core/Adapters/Yaml/MapReader.h"

#include "Core/Model/NearMatch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <limits>

namespace bronzepass::core::adapters::yaml {

namespace {

/// Parses a number followed by one of \p Units and returns it multiplied by the
/// unit's factor.
std::optional<double>
parseWithUnit(const std::string &Text,
              const std::vector<std::pair<std::string, double>> &Units) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Value < 0 || !std::isfinite(Value))
    return std::nullopt;
  const std::string Unit(Parsed.ptr, End);
  for (const std::pair<std::string, double> &Known : Units)
    if (Known.first == Unit)
      return Value * Known.second;
  return std::nullopt;
}

/// 2^53: a double cannot represent every integer above it.
constexpr double MaxExactInteger = 9007199254740992.0;

} // namespace

void FindingSink::error(const YAML::Mark &Position,
                        const std::string &Message) {
  model::SourceLocation Where{m_FileName, 0, 0};
  if (!Position.is_null()) {
    Where.m_Line = Position.line + 1;
    Where.m_Column = Position.column + 1;
  }
  m_Findings.push_back({model::Severity::Error, Where, Message});
}

void FindingSink::error(const std::string &Message) {
  error(YAML::Mark::null_mark(), Message);
}

model::FindingList FindingSink::take() {
  std::stable_sort(m_Findings.begin(), m_Findings.end(),
                   [](const model::Finding &A, const model::Finding &B) {
                     return A.m_Location < B.m_Location;
                   });
  return std::move(m_Findings);
}

MapReader::MapReader(const YAML::Node &Map, std::string MapName,
                     std::vector<std::string> KnownKeys, FindingSink &Sink)
    : m_Map(Map), m_MapName(std::move(MapName)), m_Sink(Sink) {
  if (!m_Map.IsMap()) {
    m_Sink.error(m_Map.Mark(),
                 m_MapName + ": expected a map of keys and values");
    m_Map.reset(YAML::Node(YAML::NodeType::Map));
    return;
  }
  std::vector<std::string> Seen;
  for (auto It = m_Map.begin(); It != m_Map.end(); ++It) {
    if (!It->first.IsScalar()) {
      m_Sink.error(It->first.Mark(), m_MapName + ": a key must be a word");
      continue;
    }
    const std::string Key = It->first.Scalar();
    if (std::find(Seen.begin(), Seen.end(), Key) != Seen.end())
      m_Sink.error(It->first.Mark(),
                   m_MapName + ": key '" + Key + "' repeated");
    Seen.push_back(Key);
    if (std::find(KnownKeys.begin(), KnownKeys.end(), Key) == KnownKeys.end())
      m_Sink.error(It->first.Mark(), m_MapName + ": unknown key '" + Key + "'" +
                                         model::nearMatchHint(Key, KnownKeys));
  }
}

bool MapReader::has(const std::string &Key) const {
  const YAML::Node Found = at(Key);
  return Found.IsDefined() && !Found.IsNull();
}

YAML::Node MapReader::at(const std::string &Key) const {
  const YAML::Node &Constant = m_Map;
  return Constant[Key];
}

void MapReader::error(const std::string &Key, const std::string &Message) {
  const YAML::Node Found = at(Key);
  m_Sink.error(Found.IsDefined() ? Found.Mark() : m_Map.Mark(),
               m_MapName + ": '" + Key + "' " + Message);
}

void MapReader::missing(const std::string &Key) {
  m_Sink.error(m_Map.Mark(), m_MapName + ": '" + Key + "' is missing");
}

void MapReader::unknownChoice(const std::string &Key, const std::string &Word,
                              const std::vector<std::string> &Words) {
  std::string Allowed;
  for (const std::string &Each : Words)
    Allowed += (Allowed.empty() ? "" : ", ") + Each;
  error(Key, "is '" + Word + "', expected one of " + Allowed +
                 model::nearMatchHint(Word, Words));
}

std::optional<std::string> MapReader::scalar(const std::string &Key) {
  if (!has(Key))
    return std::nullopt;
  const YAML::Node Found = at(Key);
  if (Found.IsScalar())
    return Found.Scalar();
  error(Key, "must be a single value");
  return std::nullopt;
}

std::string MapReader::requiredText(const std::string &Key) {
  if (!has(Key)) {
    missing(Key);
    return {};
  }
  const std::string Value = scalar(Key).value_or("");
  if (Value.empty() && at(Key).IsScalar())
    error(Key, "must not be empty");
  return Value;
}

std::string MapReader::text(const std::string &Key,
                            const std::string &Default) {
  return scalar(Key).value_or(Default);
}

model::Duration MapReader::duration(const std::string &Key,
                                    model::Duration Default) {
  const std::optional<std::string> Text = scalar(Key);
  if (!Text)
    return Default;
  const std::optional<model::Duration> Value = parseDuration(*Text);
  if (!Value)
    error(Key, "is '" + *Text + "', expected a time with its unit, e.g. 40s");
  return Value.value_or(Default);
}

model::Duration MapReader::requiredDuration(const std::string &Key) {
  if (!has(Key))
    missing(Key);
  return duration(Key, model::Duration::zero());
}

uint64_t MapReader::bytes(const std::string &Key, uint64_t Default) {
  const std::optional<std::string> Text = scalar(Key);
  if (!Text)
    return Default;
  const std::optional<uint64_t> Value = parseBytes(*Text);
  if (!Value)
    error(Key, "is '" + *Text + "', expected a size with its unit, e.g. 14GiB");
  return Value.value_or(Default);
}

uint64_t MapReader::requiredBytes(const std::string &Key) {
  if (!has(Key))
    missing(Key);
  return bytes(Key, 0);
}

uint64_t MapReader::count(const std::string &Key, uint64_t Default,
                          uint64_t Min, uint64_t Max) {
  const std::optional<std::string> Text = scalar(Key);
  if (!Text)
    return Default;
  uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  const std::from_chars_result Parsed =
      std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    error(Key, "is '" + *Text + "', expected a whole number");
    return Default;
  }
  if (Value < Min || Value > Max) {
    error(Key, "is " + *Text + ", expected " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return Default;
  }
  return Value;
}

double MapReader::number(const std::string &Key, double Default, double Min,
                         double Max) {
  const std::optional<std::string> Text = scalar(Key);
  if (!Text)
    return Default;
  const std::optional<double> Value = parseWithUnit(*Text, {{"", 1.0}});
  if (!Value || *Value < Min || *Value > Max) {
    error(Key, "is '" + *Text + "', expected a number from " +
                   std::to_string(Min) + " to " + std::to_string(Max));
    return Default;
  }
  return *Value;
}

bool MapReader::flag(const std::string &Key, bool Default) {
  const std::optional<std::string> Text = scalar(Key);
  if (!Text)
    return Default;
  if (*Text != "true" && *Text != "false")
    error(Key, "is '" + *Text + "', expected true or false");
  return *Text == "true";
}

model::Address MapReader::requiredAddress(const std::string &Key) {
  const std::string Text = requiredText(Key);
  if (Text.empty())
    return {};
  const std::optional<model::Address> Value = parseAddress(Text);
  if (!Value)
    error(Key, "is '" + Text +
                   "', expected an IP number and a port, e.g. "
                   "10.1.0.11:8000");
  return Value.value_or(model::Address());
}

model::LabelMap MapReader::labels(const std::string &Key) {
  model::LabelMap Labels;
  if (!has(Key))
    return Labels;
  const YAML::Node Found = at(Key);
  if (!Found.IsMap()) {
    error(Key, "must be a map of labels");
    return Labels;
  }
  for (auto It = Found.begin(); It != Found.end(); ++It) {
    if (It->second.IsScalar())
      Labels[It->first.Scalar()] = It->second.Scalar();
    else
      error(Key, "has a label that is not a single value");
  }
  return Labels;
}

std::vector<std::string> MapReader::texts(const std::string &Key) {
  std::vector<std::string> Values;
  each(Key, [&Values, &Key, this](const YAML::Node &Element) {
    if (Element.IsScalar())
      Values.push_back(Element.Scalar());
    else
      error(Key, "has an element that is not a single value");
  });
  return Values;
}

void MapReader::each(const std::string &Key,
                     const std::function<void(const YAML::Node &)> &Read) {
  if (!has(Key))
    return;
  const YAML::Node Found = at(Key);
  if (!Found.IsSequence()) {
    error(Key, "must be a list");
    return;
  }
  for (auto It = Found.begin(); It != Found.end(); ++It)
    Read(*It);
}

std::optional<model::Duration> parseDuration(const std::string &Text) {
  const std::optional<double> Micros = parseWithUnit(
      Text,
      {{"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}});
  if (!Micros || *Micros > MaxExactInteger)
    return std::nullopt;
  return model::Duration(std::llround(*Micros));
}

std::optional<uint64_t> parseBytes(const std::string &Text) {
  const std::optional<double> Value =
      parseWithUnit(Text, {{"B", 1.0},
                           {"KiB", 1024.0},
                           {"MiB", 1048576.0},
                           {"GiB", 1073741824.0},
                           {"TiB", 1099511627776.0}});
  if (!Value || *Value > MaxExactInteger)
    return std::nullopt;
  return static_cast<uint64_t>(std::llround(*Value));
}

std::optional<model::Address> parseAddress(const std::string &Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  const std::string Ip = Text.substr(0, Colon);
  in_addr Binary{};
  if (inet_pton(AF_INET, Ip.c_str(), &Binary) != 1)
    return std::nullopt;
  unsigned Port = 0;
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed = std::from_chars(Begin, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Begin == End ||
      Port > std::numeric_limits<uint16_t>::max())
    return std::nullopt;
  return model::Address{Ip, static_cast<uint16_t>(Port)};
}

YAML::Node parseDocument(const std::string &Text, FindingSink &Sink) {
  // yaml-cpp throws on bad syntax and, for some inputs, on bad conversions.
  try {
    return YAML::Load(Text);
  } catch (const YAML::ParserException &Fault) {
    Sink.error(Fault.mark, "not YAML: " + Fault.msg);
  } catch (const YAML::Exception &Fault) {
    Sink.error(Fault.mark, Fault.msg);
  }
  return {};
}

} // namespace bronzepass::core::adapters::yaml

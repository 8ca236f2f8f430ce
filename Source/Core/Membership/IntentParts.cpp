#include "Core/Membership/IntentParts.h"

#include "Core/Model/Hash.h"

#include <algorithm>
#include <map>
#include <set>

namespace bronzepass::core::membership {

namespace {

/// On average one line in 256 ends a part, about 8 KiB past the minimum size.
constexpr uint64_t CutMask = 0xFF;

/// Length of the first line of \p Text including its line end, at most
/// MaxPartBytes.
size_t lineLength(std::string_view Text) {
  const size_t End = Text.find('\n');
  const size_t Length = End == std::string_view::npos ? Text.size() : End + 1;
  return std::min(Length, MaxPartBytes);
}

/// Length of the part at the start of \p Text.
size_t partLength(std::string_view Text) {
  size_t Length = 0;
  uint64_t Before = 0;
  while (Length < Text.size()) {
    const std::string_view Rest = Text.substr(Length);
    const std::string_view Line = Rest.substr(0, lineLength(Rest));
    if (Length + Line.size() > MaxPartBytes)
      return Length;
    Length += Line.size();
    const uint64_t Hash = model::stableHash(Line);
    const bool Cut = (model::stableHash(Line, Before) & CutMask) == 0;
    if (Cut && Length >= MinPartBytes)
      return Length;
    Before = Hash;
  }
  return Length;
}

} // namespace

model::IntentDocument splitIntent(std::string_view Text) {
  model::IntentDocument Document;
  std::set<uint64_t> Seen;
  while (!Text.empty()) {
    const std::string_view Part = Text.substr(0, partLength(Text));
    const uint64_t Hash = model::stableHash(Part);
    Document.m_Head.m_PartHashes.push_back(Hash);
    if (Seen.insert(Hash).second)
      Document.m_Parts.push_back({Hash, std::string(Part)});
    Text.remove_prefix(Part.size());
  }
  return Document;
}

std::optional<std::string> joinIntent(const model::IntentDocument &Document) {
  std::map<uint64_t, const std::string *> Texts;
  for (const model::IntentPart &Part : Document.m_Parts)
    if (Part.m_Hash == model::stableHash(Part.m_Text))
      Texts[Part.m_Hash] = &Part.m_Text;
  std::string Text;
  for (const uint64_t Hash : Document.m_Head.m_PartHashes) {
    const auto Found = Texts.find(Hash);
    if (Found == Texts.end())
      return std::nullopt;
    Text += *Found->second;
  }
  return Text;
}

ports::ObjectKey intentHeadKey() {
  return {ports::ObjectKind::IntentHead, "intent"};
}

ports::ObjectKey intentPartKey(uint64_t Hash) {
  constexpr int HexDigits = 16;
  constexpr int BitsPerDigit = 4;
  std::string Name(HexDigits, '0');
  for (int I = HexDigits - 1; I >= 0; --I, Hash >>= BitsPerDigit)
    Name[I] = "0123456789abcdef"[Hash & 0xF];
  return {ports::ObjectKind::IntentPart, Name};
}

} // namespace bronzepass::core::membership

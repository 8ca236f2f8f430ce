#ifndef BRONZEPASS_CORE_MEMBERSHIP_INTENTPARTS_H
#define BRONZEPASS_CORE_MEMBERSHIP_INTENTPARTS_H

#include "Core/Model/IntentDocument.h"
#include "Core/Ports/Store.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::membership {

constexpr size_t MinPartBytes = 4096;
constexpr size_t MaxPartBytes = 65536;
/// Bounds the memory and traffic that one generation can cost a node to 64 MiB.
constexpr size_t MaxParts = 1024;

/// Splits an intent's text into parts by content-defined chunking. A part ends
/// after a line selected by the hash of this line and the one before it, so
/// that a small edit changes the part that contains it and rarely another. The
/// caller sets the head's generation, author and summary.
model::IntentDocument splitIntent(std::string_view Text);

/// Reassembles the text; nullopt if a part named by the head is missing or does
/// not match its hash.
std::optional<std::string> joinIntent(const model::IntentDocument &Document);

/// Key of the single object that names the accepted generation.
ports::ObjectKey intentHeadKey();

/// Key of the object that holds the part with hash \p Hash.
ports::ObjectKey intentPartKey(uint64_t Hash);

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTPARTS_H

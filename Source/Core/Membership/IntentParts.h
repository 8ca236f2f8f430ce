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
/// Bounds what one generation can take of a node's memory and links: 64 MiB.
constexpr size_t MaxParts = 1024;

/// Cuts an intent's text into parts. The cuts fall after lines chosen by the
/// hash of the line and the one before it, so that a small edit changes the
/// part it falls in and seldom another. The head's generation, author and
/// summary are left for the caller.
model::IntentDocument splitIntent(std::string_view Text);

/// The text again, or nullopt where a part that the head names is missing or
/// does not have the hash that names it.
std::optional<std::string> joinIntent(const model::IntentDocument &Document);

/// The one object that names the accepted generation.
ports::ObjectKey intentHeadKey();

/// The object that holds the part with hash \p Hash.
ports::ObjectKey intentPartKey(uint64_t Hash);

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTPARTS_H

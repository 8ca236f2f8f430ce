#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_ENUMNAMES_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_ENUMNAMES_H

#include "Core/Ports/PeerMessage.h"
#include "Core/Ports/Store.h"

#include <array>
#include <optional>
#include <string_view>

namespace bronzepass::core::adapters::codec {

/// The names of an enumeration's values on the wire, in the order of the
/// values.
template <typename EnumT> struct EnumNames;

template <> struct EnumNames<model::Liveness> {
  static constexpr std::array<std::string_view, 4> Names = {"live", "suspect",
                                                            "leaving", "gone"};
};

template <> struct EnumNames<model::CopyState> {
  static constexpr std::array<std::string_view, 4> Names = {
      "loading", "serving", "draining", "unloading"};
};

template <> struct EnumNames<model::OrderKind> {
  static constexpr std::array<std::string_view, 3> Names = {"load", "unload",
                                                            "setRole"};
};

template <> struct EnumNames<model::EngineRole> {
  static constexpr std::array<std::string_view, 3> Names = {"mixed", "prefill",
                                                            "decode"};
};

template <> struct EnumNames<model::ClaimState> {
  static constexpr std::array<std::string_view, 3> Names = {"claimed", "done",
                                                            "released"};
};

template <> struct EnumNames<ports::ClaimVerdictKind> {
  static constexpr std::array<std::string_view, 6> Names = {
      "granted", "done", "pending", "mismatch", "unavailable", "notOwner"};
};

template <> struct EnumNames<ports::ObjectKind> {
  static constexpr std::array<std::string_view, 5> Names = {
      "IntentHead", "IntentPart", "Lease", "Ledger", "ClaimShard"};
};

/// The wire name of \p Value.
template <typename EnumT> constexpr std::string_view toWireName(EnumT Value) {
  return EnumNames<EnumT>::Names.at(static_cast<size_t>(Value));
}

/// The value whose wire name is \p Name, or nullopt if there is none.
template <typename EnumT>
constexpr std::optional<EnumT> fromWireName(std::string_view Name) {
  const auto &Names = EnumNames<EnumT>::Names;
  for (size_t I = 0; I < Names.size(); ++I)
    if (Names[I] == Name)
      return static_cast<EnumT>(I);
  return std::nullopt;
}

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_ENUMNAMES_H

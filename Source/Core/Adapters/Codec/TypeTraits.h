#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_TYPETRAITS_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_TYPETRAITS_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <type_traits>
#include <vector>

namespace bronzepass::core::adapters::codec {

template <typename T> struct IsId : std::false_type {};
template <typename TagT> struct IsId<model::Id<TagT>> : std::true_type {};

template <typename T> struct IsNumber : std::false_type {};
template <typename TagT>
struct IsNumber<model::Number<TagT>> : std::true_type {};

template <typename T> struct IsVector : std::false_type {};
template <typename ItemT>
struct IsVector<std::vector<ItemT>> : std::true_type {};

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_TYPETRAITS_H

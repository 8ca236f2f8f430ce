#ifndef BRONZEPASS_CORE_MODEL_ID_H
#define BRONZEPASS_CORE_MODEL_ID_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bronzepass::core::model {

/// A string identifier with a type of its own, so that it cannot be mixed up
/// with an identifier of another kind.
template <typename TagT> class Id {
public:
  Id() = default;
  explicit Id(std::string Text) : m_Text(std::move(Text)) {}

  const std::string &str() const { return m_Text; }
  bool empty() const { return m_Text.empty(); }

  friend auto operator<=>(const Id &, const Id &) = default;

private:
  std::string m_Text;
};

/// A number with a type of its own, so that it cannot be mixed up with a number
/// of another kind. Zero means "none".
template <typename TagT> struct Number {
  uint64_t m_Value = 0;

  explicit operator bool() const { return m_Value != 0; }
  friend auto operator<=>(const Number &, const Number &) = default;
};

/// Identifies one process on an entry VM. A restarted process gets a new
/// NodeId.
using NodeId = Id<struct NodeTag>;
using VmId = Id<struct VmTag>;
using EndpointId = Id<struct EndpointTag>;
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using PoolId = Id<struct PoolTag>;
using CallerId = Id<struct CallerTag>;
using DomainId = Id<struct DomainTag>;
using RegionId = Id<struct RegionTag>;

/// Number of an accepted configuration; a higher number is newer.
using Generation = Number<struct GenerationTag>;
/// Rises with every change of a lease's holder.
using FencingToken = Number<struct FencingTag>;
/// Numbers one caller's request on one node.
using RequestId = Number<struct RequestTag>;
/// Numbers one attempt of a request at one endpoint, unique on its node.
using AttemptId = Number<struct AttemptTag>;
/// Numbers one order to an engine, unique together with its fencing token.
using OrderId = Number<struct OrderTag>;
/// Numbers one call to the object API, unique on its node.
using CallId = Number<struct CallTag>;
/// The object API's version of one object; never compared for order.
using ObjectVersion = Number<struct ObjectVersionTag>;
/// Rises each time the platform's store is restored from a backup and loses
/// what it has accepted since. Versions are only comparable within one era.
using StoreEra = Number<struct StoreEraTag>;

} // namespace bronzepass::core::model

template <typename TagT> struct std::hash<bronzepass::core::model::Id<TagT>> {
  size_t operator()(const bronzepass::core::model::Id<TagT> &Value) const {
    return std::hash<std::string>()(Value.str());
  }
};

template <typename TagT>
struct std::hash<bronzepass::core::model::Number<TagT>> {
  size_t operator()(const bronzepass::core::model::Number<TagT> &Value) const {
    return std::hash<uint64_t>()(Value.m_Value);
  }
};

#endif // BRONZEPASS_CORE_MODEL_ID_H

#ifndef BRONZEPASS_CORE_RESOURCES_ANSWERMEMORY_H
#define BRONZEPASS_CORE_RESOURCES_ANSWERMEMORY_H

#include "Core/Model/Id.h"
#include "Core/Resources/MemoryBudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace bronzepass::core::resources {

/// An answer that arrives, by its attempt, or one that is kept in case no
/// other endpoint can be tried, by its request.
using HeldAnswer = std::variant<model::AttemptId, model::RequestId>;

/// The memory that endpoints' answers hold in this process until they are
/// passed on.
class AnswerMemory {
public:
  explicit AnswerMemory(uint64_t Limit) : m_Budget(Limit) {}

  void setLimit(uint64_t Limit) { m_Budget.setLimit(Limit); }

  /// \p Answer of \p Endpoint holds \p Bytes in all.
  void hold(const HeldAnswer &Answer, const std::string &Endpoint,
            uint64_t Bytes);
  void remove(const HeldAnswer &Answer);

  /// While the sum is beyond the limit, the answer that is to hold less: the
  /// largest of the endpoint whose answers hold the most.
  std::optional<HeldAnswer> excess() const;
  /// \p Answer was given up, as excess.
  void countLost() { ++m_Lost; }

  const MemoryBudget &budget() const { return m_Budget; }
  uint64_t lost() const { return m_Lost; }

private:
  struct Entry {
    std::string m_Endpoint;
    uint64_t m_Bytes = 0;
  };

  MemoryBudget m_Budget;
  std::map<HeldAnswer, Entry> m_Entries;
  std::map<std::string, uint64_t> m_OfEndpoints;
  uint64_t m_Lost = 0;
};

} // namespace bronzepass::core::resources

#endif // BRONZEPASS_CORE_RESOURCES_ANSWERMEMORY_H

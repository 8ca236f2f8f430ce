#ifndef BRONZEPASS_UNITTESTS_FUZZ_MUTATOR_H
#define BRONZEPASS_UNITTESTS_FUZZ_MUTATOR_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::fuzz {

/// Mutates inputs as a faulty link or a faulty release may. The same seed gives
/// the same mutations.
class Mutator {
public:
  explicit Mutator(uint64_t Seed) : m_Random(Seed) {}

  /// Returns one of \p Seeds with one to four mutations.
  std::string next(const std::vector<std::string> &Seeds) {
    std::string Bytes = Seeds[m_Random() % Seeds.size()];
    for (uint64_t Changes = 1 + m_Random() % 4; Changes > 0; --Changes)
      change(Bytes, Seeds[m_Random() % Seeds.size()]);
    return Bytes;
  }

private:
  size_t randomPosition(const std::string &Bytes) {
    return m_Random() % (Bytes.size() + 1);
  }

  void change(std::string &Bytes, const std::string &Other) {
    enum Kind {
      FlipBit,
      SetByte,
      Insert,
      Erase,
      Truncate,
      Repeat,
      Splice,
      Kinds
    };
    const size_t At = randomPosition(Bytes);
    const size_t Length = m_Random() % 16;
    switch (m_Random() % Kinds) {
    case FlipBit:
      if (At < Bytes.size())
        Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << m_Random() % 8));
      return;
    case SetByte:
      if (At < Bytes.size())
        Bytes[At] = static_cast<char>(m_Random());
      return;
    case Insert:
      Bytes.insert(At, Length, static_cast<char>(m_Random()));
      return;
    case Erase:
      Bytes.erase(At, Length);
      return;
    case Truncate:
      Bytes.resize(At);
      return;
    case Repeat:
      Bytes.insert(At, Bytes.substr(At, Length));
      return;
    case Splice:
      Bytes.insert(At, Other.substr(m_Random() % (Other.size() + 1), Length));
      return;
    default:
      return;
    }
  }

  std::mt19937_64 m_Random;
};

} // namespace bronzepass::unit_tests::fuzz

#endif // BRONZEPASS_UNITTESTS_FUZZ_MUTATOR_H

#ifndef BRONZEPASS_UNITTESTS_CROWD_ENDLESSANSWER_H
#define BRONZEPASS_UNITTESTS_CROWD_ENDLESSANSWER_H

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::crowd {

/// What faulty endpoints send, and to which requests.
struct EndlessAnswer {
  std::string m_Name;
  std::string m_Target;
  std::string m_RequestHeaders;
  /// Whether m_Start begins with the head of a sound answer, which is sent
  /// first.
  bool m_HasSoundHead = false;
  std::string m_Start;
  /// Sent at once, and then again and again without an end.
  std::string m_Piece;
  /// How often it is sent at once, so that much is held until all requests are
  /// under way.
  size_t m_Times = 1;
  /// Sent as soon as a connection is open.
  bool m_SendsUnasked = false;
  /// The callers don't read.
  bool m_IsUnread = false;
  /// Ends before the bytes without end.
  bool m_IsWhole = false;

  friend auto operator<=>(const EndlessAnswer &,
                          const EndlessAnswer &) = default;
};

/// All, those with that name, or the "others": all but those that have a test
/// of their own.
std::vector<EndlessAnswer> endlessAnswers(const std::string &Name);

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_ENDLESSANSWER_H

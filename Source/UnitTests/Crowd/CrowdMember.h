#ifndef BRONZEPASS_UNITTESTS_CROWD_CROWDMEMBER_H
#define BRONZEPASS_UNITTESTS_CROWD_CROWDMEMBER_H

#include "Core/Adapters/Net/FileDescriptor.h"
#include "UnitTests/Crowd/CrowdAttack.h"

#include <cstdint>
#include <string>

namespace bronzepass::unit_tests::crowd {

/// One client of a crowd, on a connection that never blocks.
class CrowdMember {
public:
  CrowdMember(const CrowdAttack &Attack, uint16_t Port)
      : m_Attack(&Attack), m_Port(Port) {}

  /// Opens the connection, again if it was closed and the client comes back.
  /// False if it is closed for good.
  bool open();
  int descriptor() const { return m_Fd.get(); }
  bool isOpen() const { return m_Fd.valid(); }
  /// Whether everything up to the end of \p Stage is sent.
  bool hasSent(size_t Stage) const {
    return m_Stage > Stage && m_Unsent.empty();
  }
  /// Sends what the connection takes, up to the end of \p Stage. Returns the
  /// number of bytes.
  size_t sendSome(size_t Stage);
  /// Reads what there is to read; closes the connection at its end.
  void readSome();
  /// Status of the last answer; 0 if there was none.
  int status() const { return m_Status; }

private:
  void advance();

  const CrowdAttack *m_Attack;
  uint16_t m_Port;
  core::adapters::net::FileDescriptor m_Fd;
  size_t m_Opened = 0;
  size_t m_Stage = 0;
  size_t m_Piece = 0;
  size_t m_Time = 0;
  std::string m_Unsent;
  int m_Status = 0;
  std::string m_Answer;
};

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_CROWDMEMBER_H

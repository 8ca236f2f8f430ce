#ifndef BRONZEPASS_CORE_ADAPTERS_NET_FILEDESCRIPTOR_H
#define BRONZEPASS_CORE_ADAPTERS_NET_FILEDESCRIPTOR_H

#include <unistd.h>
#include <utility>

namespace bronzepass::core::adapters::net {

/// Owns one file descriptor and closes it.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Fd) : m_Fd(Fd) {}
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;
  FileDescriptor(FileDescriptor &&Other) noexcept
      : m_Fd(std::exchange(Other.m_Fd, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(m_Fd, Other.m_Fd);
    return *this;
  }
  ~FileDescriptor() { reset(); }

  int get() const { return m_Fd; }
  bool valid() const { return m_Fd >= 0; }

  void reset() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }

private:
  int m_Fd = -1;
};

} // namespace bronzepass::core::adapters::net

#endif // BRONZEPASS_CORE_ADAPTERS_NET_FILEDESCRIPTOR_H

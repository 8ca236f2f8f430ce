#include "Core/Adapters/Daemon/CrashReport.h"

#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <string_view>
#include <thread>
#include <unistd.h>

namespace {

using bronzepass::core::adapters::daemon::CrashReport;

/// Ends by SIGSEGV once the stack is exhausted.
int recurse(int Depth) {
  std::array<volatile int, 1024> Frame{};
  Frame[0] = Depth;
  return Depth < 0 ? 0 : recurse(Depth + 1) + Frame[0];
}

void fillOutput() {
  const std::array<char, 4096> Bytes{};
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  while (::write(STDOUT_FILENO, Bytes.data(), Bytes.size()) > 0) {
  }
  ::fcntl(STDOUT_FILENO, F_SETFL, Flags);
}

} // namespace

/// Ends by a signal on a thread of its own: by an exhausted stack, or by the
/// signal that \p Arguments name.
int main(int Count, char **Arguments) {
  const std::string_view Kind = Count > 1 ? Arguments[1] : "";
  CrashReport::install("n1");
  std::thread([Kind] {
    CrashReport::coverThread("traffic");
    CrashReport::setSubject("9c41\"d07be2");
    if (Kind == "recursion")
      static_cast<void>(recurse(1));
    if (Kind == "late")
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    if (Kind == "full-pipe")
      fillOutput();
    ::raise(Kind == "abort" ? SIGABRT : SIGSEGV);
  }).join();
  return 0;
}

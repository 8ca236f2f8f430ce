#include "Core/Adapters/Daemon/CrashReport.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <unistd.h>
#include <vector>

namespace bronzepass::core::adapters::daemon {

namespace {

constexpr std::array<int, 5> FatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE,
                                             SIGABRT};
/// The unwinder takes most of it.
constexpr size_t SignalStackBytes = 64 << 10;
constexpr size_t MaxFrames = 32;
constexpr size_t MaxModules = 64;
constexpr size_t MaxTextBytes = 64;
/// A write of this size to a pipe is not mixed with other writes.
constexpr size_t MaxLineBytes = 4096;
constexpr int Hexadecimal = 16;

/// Text in a fixed buffer: a signal handler must not allocate.
template <size_t Size> class FixedText {
public:
  FixedText &operator<<(std::string_view Text) {
    const size_t Count = std::min(Text.size(), Size - m_Length);
    std::copy_n(Text.data(), Count, m_Bytes.data() + m_Length);
    m_Length += Count;
    return *this;
  }
  FixedText &append(uint64_t Value, int Base, size_t Width = 0) {
    std::array<char, 20> Digits{};
    const std::to_chars_result End = std::to_chars(
        Digits.data(), Digits.data() + Digits.size(), Value, Base);
    const size_t Length = static_cast<size_t>(End.ptr - Digits.data());
    for (size_t I = Length; I < Width; ++I)
      *this << "0";
    return *this << std::string_view(Digits.data(), Length);
  }
  /// Leaves out what would need an escape in JSON.
  void set(std::string_view Text) {
    m_Length = 0;
    for (const char C : Text)
      if (C >= ' ' && C <= '~' && C != '"' && C != '\\')
        *this << std::string_view(&C, 1);
  }
  std::string_view view() const { return {m_Bytes.data(), m_Length}; }

private:
  std::array<char, Size> m_Bytes{};
  size_t m_Length = 0;
};

/// Where the calling thread handles signals, since its own stack may be
/// exhausted.
class SignalStack {
public:
  SignalStack() = default;
  SignalStack(const SignalStack &) = delete;
  SignalStack &operator=(const SignalStack &) = delete;
  ~SignalStack() {
    if (m_Bytes.empty())
      return;
    stack_t None = {};
    None.ss_flags = SS_DISABLE;
    ::sigaltstack(&None, nullptr);
  }

  /// Does nothing if the thread has one already.
  void use() {
    stack_t Old = {};
    if (::sigaltstack(nullptr, &Old) != 0 || (Old.ss_flags & SS_DISABLE) == 0)
      return;
    m_Bytes.resize(SignalStackBytes);
    stack_t Stack = {};
    Stack.ss_sp = m_Bytes.data();
    Stack.ss_size = m_Bytes.size();
    ::sigaltstack(&Stack, nullptr);
  }

private:
  std::vector<char> m_Bytes;
};

/// The program or a shared library, where it is loaded.
struct Module {
  FixedText<MaxTextBytes> m_Name;
  uintptr_t m_Base = 0;
  uintptr_t m_End = 0;
};

FixedText<MaxTextBytes> NodeName;
std::array<Module, MaxModules> Modules;
size_t ModuleCount = 0;

thread_local const char *ThreadName = "other";
thread_local FixedText<MaxTextBytes> ThreadSubject;
thread_local SignalStack ThreadSignalStack;

int addModule(dl_phdr_info *Info, size_t /*Size*/, void * /*User*/) {
  if (ModuleCount == Modules.size())
    return 1;
  Module &Added = Modules[ModuleCount++];
  const std::string_view Path = Info->dlpi_name ? Info->dlpi_name : "";
  Added.m_Name.set(Path.empty() ? "program" : Path.substr(Path.rfind('/') + 1));
  Added.m_Base = Info->dlpi_addr;
  for (int I = 0; I < Info->dlpi_phnum; ++I)
    if (Info->dlpi_phdr[I].p_type == PT_LOAD)
      Added.m_End = std::max<uintptr_t>(
          Added.m_End, Info->dlpi_addr + Info->dlpi_phdr[I].p_vaddr +
                           Info->dlpi_phdr[I].p_memsz);
  return 0;
}

using Line = FixedText<MaxLineBytes>;

void appendTime(Line &To) {
  using namespace std::chrono;
  const system_clock::time_point Now = system_clock::now();
  const sys_days Day = floor<days>(Now);
  const year_month_day Date(Day);
  const hh_mm_ss Time(floor<milliseconds>(Now - Day));
  To.append(static_cast<uint64_t>(static_cast<int>(Date.year())), 10) << "-";
  To.append(static_cast<unsigned>(Date.month()), 10, 2) << "-";
  To.append(static_cast<unsigned>(Date.day()), 10, 2) << "T";
  To.append(static_cast<uint64_t>(Time.hours().count()), 10, 2) << ":";
  To.append(static_cast<uint64_t>(Time.minutes().count()), 10, 2) << ":";
  To.append(static_cast<uint64_t>(Time.seconds().count()), 10, 2) << ".";
  To.append(static_cast<uint64_t>(Time.subseconds().count()), 10, 3)
      << "+00:00";
}

void appendPlace(Line &To, uintptr_t Address) {
  for (size_t I = 0; I < ModuleCount; ++I) {
    const Module &Each = Modules[I];
    if (Address < Each.m_Base || Address >= Each.m_End)
      continue;
    To << Each.m_Name.view() << "+0x";
    To.append(Address - Each.m_Base, Hexadecimal);
    return;
  }
  To << "0x";
  To.append(Address, Hexadecimal);
}

void writeReport(int Signal, siginfo_t *Info, void * /*Context*/) {
  Line Text;
  Text << R"({"time":")";
  appendTime(Text);
  Text << R"(","node":")" << NodeName.view()
       << R"(","category":"process","action":"crashed","signal":)";
  Text.append(static_cast<uint64_t>(Signal), 10)
      << R"(,"thread":")" << ThreadName << R"(","subject":")"
      << ThreadSubject.view() << R"(","address":"0x)";
  Text.append(reinterpret_cast<uintptr_t>(Info->si_addr), Hexadecimal)
      << R"(","frames":")";
  std::array<void *, MaxFrames> Frames{};
  const int Count = ::backtrace(Frames.data(), MaxFrames);
  for (int I = 0; I < Count; ++I) {
    Text << (I == 0 ? "" : " ");
    appendPlace(Text, reinterpret_cast<uintptr_t>(Frames[I]));
  }
  Text << "\"}\n";
  // A reader that stands still must not keep the process from ending.
  // Nor may one that is gone end it by another signal.
  ::signal(SIGPIPE, SIG_IGN);
  pollfd Output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  if (::poll(&Output, 1, 0) > 0 && (Output.revents & POLLOUT) != 0)
    static_cast<void>(
        ::write(STDOUT_FILENO, Text.view().data(), Text.view().size()) < 0);
  // Blocked until this returns; by then, it ends the process.
  ::raise(Signal);
}

} // namespace

void CrashReport::install(const std::string &Node) {
  NodeName.set(Node);
  ModuleCount = 0;
  ::dl_iterate_phdr(addModule, nullptr);
  // The first call loads the unwinder, which a signal handler must not do.
  std::array<void *, 1> Frame{};
  ::backtrace(Frame.data(), static_cast<int>(Frame.size()));
  coverThread("main");
  struct sigaction Action = {};
  Action.sa_sigaction = writeReport;
  Action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const int Signal : FatalSignals) {
    struct sigaction Old = {};
    const bool IsFree = ::sigaction(Signal, nullptr, &Old) == 0 &&
                        (Old.sa_flags & SA_SIGINFO) == 0 &&
                        Old.sa_handler == SIG_DFL;
    if (IsFree)
      ::sigaction(Signal, &Action, nullptr);
  }
}

void CrashReport::coverThread(const char *Thread) {
  ThreadName = Thread;
  ThreadSignalStack.use();
}

void CrashReport::setSubject(std::string_view Subject) {
  ThreadSubject.set(Subject);
}

} // namespace bronzepass::core::adapters::daemon

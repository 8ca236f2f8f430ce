#include "UnitTests/Crowd/EndlessCallers.h"

#include "UnitTests/Soak/CallerConnection.h"

#include <algorithm>

namespace bronzepass::unit_tests::crowd {

namespace {

using namespace std::chrono_literals;

constexpr size_t SoundCallerCount = 4;
constexpr std::chrono::milliseconds SoundPeriod = 20ms;
constexpr std::chrono::milliseconds SoundDeadline = 8000ms;
constexpr int Ok = 200;

std::string requestText(const std::string &Target, const std::string &Id,
                        std::chrono::milliseconds Deadline,
                        const std::string &ExtraHeaders) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
         "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) + "\r\n" +
         ExtraHeaders + "\r\n";
}

} // namespace

EndlessOutcome callFaulty(uint16_t Port, const EndlessAnswer &Answer,
                          size_t Count, std::chrono::milliseconds Deadline) {
  EndlessOutcome Outcome;
  std::mutex Mutex;
  std::list<std::thread> Threads;
  for (size_t I = 0; I < Count; ++I)
    Threads.emplace_back([&, I] {
      const auto Begin = std::chrono::steady_clock::now();
      soak::CallerConnection Connection(Port);
      soak::CallerResponse Response;
      const std::string Id = Answer.m_Name + "-" + std::to_string(I);
      if (Connection.isOpen() &&
          Connection.send(requestText(Answer.m_Target, Id, Deadline,
                                      Answer.m_RequestHeaders))) {
        if (Answer.m_IsUnread)
          std::this_thread::sleep_for(Deadline);
        Response = Connection.receive();
      }
      const auto Elapsed =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now() - Begin);
      const std::scoped_lock Lock(Mutex);
      ++Outcome.m_Ends[Response.m_Status];
      Outcome.m_Complete += Response.m_Status == Ok && Response.m_Complete;
      Outcome.m_Longest = std::max(Outcome.m_Longest, Elapsed);
    });
  for (std::thread &Each : Threads)
    Each.join();
  return Outcome;
}

SoundCallers::SoundCallers(uint16_t Port) {
  for (size_t I = 0; I < SoundCallerCount; ++I)
    m_Threads.emplace_back([this, Port, I] { call(Port, I); });
}

void SoundCallers::stop() {
  m_Stopping = true;
  for (std::thread &Each : m_Threads)
    Each.join();
  m_Threads.clear();
}

void SoundCallers::call(uint16_t Port, size_t Caller) {
  for (size_t Number = 0; !m_Stopping; ++Number) {
    const std::string Id =
        "sound-" + std::to_string(Caller) + "-" + std::to_string(Number);
    ++m_Sent;
    const auto Begin = std::chrono::steady_clock::now();
    soak::CallerConnection Connection(Port);
    if (Connection.isOpen() &&
        Connection.send(requestText("/sound/x", Id, SoundDeadline, ""))) {
      const soak::CallerResponse Response = Connection.receive();
      m_Answered += Response.m_Status == Ok && Response.m_Complete;
    }
    const int64_t Elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - Begin)
            .count();
    for (int64_t Old = m_LongestMs;
         Old < Elapsed && !m_LongestMs.compare_exchange_weak(Old, Elapsed);) {
    }
    std::this_thread::sleep_for(SoundPeriod);
  }
}

} // namespace bronzepass::unit_tests::crowd

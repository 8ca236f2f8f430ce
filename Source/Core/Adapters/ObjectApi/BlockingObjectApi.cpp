#include "Core/Adapters/ObjectApi/BlockingObjectApi.h"

#include <algorithm>
#include <thread>

namespace bronzepass::core::adapters::object_api {

namespace {

constexpr std::chrono::milliseconds InitialPause(50);
constexpr std::chrono::milliseconds MaxPause(1000);

} // namespace

BlockingObjectApi::BlockingObjectApi(ObjectApiSettings Settings,
                                     std::chrono::milliseconds Timeout)
    : m_Client(m_Thread.loop(), std::move(Settings), *this),
      m_Deadline(std::chrono::steady_clock::now() + Timeout),
      m_NextPause(InitialPause), m_RandomEngine(std::random_device()()) {
  m_Thread.start();
}

BlockingObjectApi::~BlockingObjectApi() { m_Thread.stop(); }

ports::StoreAnswer BlockingObjectApi::call(ports::StoreCall Call) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  Call.m_Id = {++m_LastId};
  m_Answer.reset();
  m_Client.submit(Call);
  m_Answered.wait(Lock, [this] { return m_Answer.has_value(); });
  return *m_Answer;
}

bool BlockingObjectApi::backOff() {
  using std::chrono::milliseconds;
  // Full jitter, so that commands which failed together don't retry together.
  std::uniform_int_distribution<milliseconds::rep> Pause(
      1, std::max<milliseconds::rep>(1, m_NextPause.count()));
  m_NextPause = std::min(m_NextPause * 2, MaxPause);
  const milliseconds RandomPause(Pause(m_RandomEngine));
  if (std::chrono::steady_clock::now() + RandomPause >= m_Deadline)
    return false;
  std::this_thread::sleep_for(RandomPause);
  return true;
}

void BlockingObjectApi::post(ports::Event Incoming) {
  const ports::StoreAnswer *Answer = std::get_if<ports::StoreAnswer>(&Incoming);
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!Answer || Answer->m_Id.m_Value != m_LastId)
    return;
  m_Answer = *Answer;
  m_Answered.notify_one();
}

} // namespace bronzepass::core::adapters::object_api

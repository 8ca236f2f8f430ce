#include "Core/Adapters/Gateway/GatewayLog.h"

#include <array>
#include <chrono>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace bronzepass::core::adapters::gateway {

namespace {

/// Puts a pipe in the place of standard output.
class StdoutPipe {
public:
  StdoutPipe() : m_Saved(::dup(STDOUT_FILENO)) {
    std::array<int, 2> Ends{};
    REQUIRE(::pipe(Ends.data()) == 0);
    m_ReadEnd = Ends[0];
    ::dup2(Ends[1], STDOUT_FILENO);
    ::close(Ends[1]);
  }
  ~StdoutPipe() { restore(); }
  StdoutPipe(const StdoutPipe &) = delete;
  StdoutPipe &operator=(const StdoutPipe &) = delete;

  void restore() {
    if (m_Saved < 0)
      return;
    ::dup2(m_Saved, STDOUT_FILENO);
    ::close(m_Saved);
    m_Saved = -1;
  }
  /// Reads until \p Stop stands in the text.
  std::string readUntil(const std::string &Stop) {
    std::string Text;
    std::array<char, 4096> Bytes{};
    while (Text.find(Stop) == std::string::npos) {
      const ssize_t Count = ::read(m_ReadEnd, Bytes.data(), Bytes.size());
      if (Count <= 0)
        break;
      Text.append(Bytes.data(), static_cast<size_t>(Count));
    }
    return Text;
  }

private:
  int m_Saved;
  int m_ReadEnd = -1;
};

} // namespace

TEST_CASE("a line is one JSON object whatever it holds") {
  StdoutPipe Pipe;
  {
    GatewayLog Log("n1");
    Log.write("request", "refuse",
              {{"request", std::string("a\"b\n\xff")},
               {"status", int64_t{503}},
               {"reason", std::string()}});
    Log.flush();
  }
  const std::string Text = Pipe.readUntil("\n");
  Pipe.restore();
  const nlohmann::json Line =
      nlohmann::json::parse(Text.substr(0, Text.find('\n')));
  CHECK(Line["node"] == "n1");
  CHECK(Line["category"] == "request");
  CHECK(Line["action"] == "refuse");
  CHECK(Line["status"] == 503);
  CHECK_FALSE(Line.contains("reason"));
  CHECK(Line.contains("time"));
}

TEST_CASE("a reader that stops reading holds nobody up; what is left out is "
          "counted and told") {
  StdoutPipe Pipe;
  GatewayLog Log("n1");
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  // Far more than a pipe and the queue hold.
  constexpr int Lines = 30000;
  for (int I = 0; I < Lines; ++I)
    Log.write("request", "answer", {{"request", std::string(100, 'x')}});
  CHECK(std::chrono::steady_clock::now() - Start < std::chrono::seconds(20));
  CHECK(Log.dropped() > 0);
  Log.write("process", "last", {});
  const std::string Text = Pipe.readUntil("\"last\"");
  Pipe.restore();
  CHECK(Text.find("lines_dropped") != std::string::npos);
}

} // namespace bronzepass::core::adapters::gateway

#include "Core/Adapters/Curl/AnswerCollector.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

namespace bronzepass::unit_tests::adapters::http {

namespace curl = core::adapters::curl;

// Guards against a cut answer being kept, or obeyed, as complete.
TEST_CASE("an answer beyond the collector's limit is not complete") {
  constexpr size_t MaxBytes = 8;
  for (const std::string Body : {"12345678", "123456789"}) {
    std::optional<curl::TransferResult> Result;
    std::string Collected;
    curl::AnswerCollector Collector(
        [&](const curl::TransferResult &Ended, const curl::TransferHead &,
            const std::string &Text) {
          Result = Ended;
          Collected = Text;
        },
        MaxBytes);
    Collector.onHead({.m_Status = 200});
    Collector.onChunk(Body.substr(0, 5));
    Collector.onChunk(Body.substr(5));
    Collector.onChunk("");
    Collector.onDone({.m_Complete = true});
    REQUIRE(Result);
    CHECK(Result->m_Complete == (Body.size() <= MaxBytes));
    CHECK(Result->m_Error.empty() == Result->m_Complete);
    CHECK(Body.rfind(Collected, 0) == 0);
  }
}

} // namespace bronzepass::unit_tests::adapters::http

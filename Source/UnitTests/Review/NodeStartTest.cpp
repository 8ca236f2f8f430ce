#include "standins/Service.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace review;

namespace {

constexpr int64_t ReadyMs = 15000;
constexpr const char *Service = "book";

class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Pattern =
        std::filesystem::temp_directory_path() / "bronzepass-review-XXXXXX";
    REQUIRE(::mkdtemp(Pattern.data()) != nullptr);
    m_Path = Pattern;
  }
  ~TemporaryFolder() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Path, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::string &path() const { return m_Path; }

private:
  std::string m_Path;
};

std::string textOf(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

// Scripts of review/ that could not run, since no node became ready with the
// settings that the stand-ins made of deploy/node.yaml.
TEST_CASE("a node becomes ready with the settings of the stand-ins") {
  const TemporaryFolder Folder;
  Record Log(Folder.path() + "/record.txt");
  Store Entries(Log);
  Entries.start();
  Entries.put("config", "main", lookupConfig(Service));
  {
    Platform Machines(BRONZEPASS_ROOT, Folder.path(), Log, BRONZEPASS_PROGRAM);
    Platform::Node &Node = Machines.addNode("front-1", "127.0.7.1", "giza-hall",
                                            Entries.address());
    Machines.start(Node);
    const bool IsReady = Machines.awaitReady(ReadyMs);
    CHECK_MESSAGE(IsReady, "settings: " << textOf(Node.m_Settings)
                                        << "\nlog: " << textOf(Node.m_LogFile));
  }
  Entries.stop();
}

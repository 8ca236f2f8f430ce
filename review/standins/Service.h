// A plain service of the users' pages: an endpoint without models, its route's
// configuration, and calls of it.
#pragma once

#include "World.h"

namespace review {

struct ServiceOptions {
  std::string m_Id;
  std::string m_Service;
  std::string m_Zone;
  int64_t m_WorkMs = 30;
};

class ServiceEndpoint {
public:
  ServiceEndpoint(ServiceOptions Options, Store &Entries, Record &Log)
      : m_Options(std::move(Options)), m_Store(Entries), m_Log(Log),
        m_Server("127.0.0.1", [this](Wire &To, Message &Request) {
          return answer(To, Request);
        }) {}
  ~ServiceEndpoint() {
    if (m_Alive.exchange(false)) {
      m_Server.stop();
      m_Beat.join();
    }
  }

  void start() {
    m_BornMs = unixMs();
    m_Server.start();
    m_Alive = true;
    m_Beat = std::thread([this] {
      while (m_Alive) {
        writeEntry();
        for (int I = 0; I < 60 && m_Alive; ++I)
          sleepMs(20);
      }
    });
    m_Log.line("endpoint " + m_Options.m_Id + " starts at " +
               m_Server.address());
  }
  size_t runs() const { return m_Runs; }

private:
  void writeEntry() {
    m_Store.put("servers", m_Options.m_Id,
                json({{"Service", m_Options.m_Service},
                      {"Address", m_Server.address()},
                      {"Zone", m_Options.m_Zone},
                      {"Version", "v1"},
                      {"Slots", 6},
                      {"State", "ready"},
                      {"ColdLeftMs", 0},
                      {"born", m_BornMs},
                      {"Sequence", ++m_Beats}})
                    .dump());
  }
  bool answer(Wire &To, const Message &Request) {
    const std::string Expected = Request.header("X-Expect-Instance");
    const std::string Echo =
        "X-Request-Id: " + Request.header("X-Request-Id") + "\r\n";
    if (!Expected.empty() && Expected != m_Options.m_Id)
      return To.send(httpText(
          421, Echo + "X-Instance-Id: " + m_Options.m_Id + "\r\n", ""));
    ++m_Runs;
    m_Log.line("endpoint " + m_Options.m_Id + " runs " +
               Request.header("X-Request-Id"));
    sleepMs(m_Options.m_WorkMs);
    return To.send(httpText(200,
                            Echo + "X-Server-Seal: s." + m_Options.m_Id +
                                "\r\nKeep-Alive: timeout=10\r\n",
                            "answer to " + Request.header("X-Request-Id"),
                            "text/plain"));
  }

  const ServiceOptions m_Options;
  Store &m_Store;
  Record &m_Log;
  int64_t m_BornMs = 0;
  uint64_t m_Beats = 0;
  std::atomic<size_t> m_Runs{0};
  std::atomic<bool> m_Alive{false};
  std::thread m_Beat;
  Server m_Server;
};

/// A configuration with one route, /lookup/, to a plain service.
inline std::string lookupConfig(const std::string &Service) {
  return json({{"Version", 7},
               {"Routes",
                {{{"Name", "lookup"},
                  {"Host", "case.example"},
                  {"PathPrefix", "/lookup/"},
                  {"Kind", "idempotent"},
                  {"TimeoutMs", 800},
                  {"SloMs", 150},
                  {"Priority", 2},
                  {"Service", Service},
                  {"MaxAttempts", 2}}}},
               {"Services",
                {{{"Name", Service},
                  {"HealthPath", "/health"},
                  {"MaxConns", 110}}}},
               {"Limits",
                {{"MaxHeaderBytes", 16384},
                 {"MaxBodyBytes", 4194304},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", 15000}}}})
      .dump();
}

/// The status of one call on a new connection; 0 if there was no whole answer.
inline int callLookup(const Platform::Node &At, const std::string &Id) {
  const SteadyTime Until = now() + std::chrono::milliseconds(1500);
  Wire To;
  if (!To.connectTo(At.m_Ip, At.m_Callers) ||
      !To.send("GET /lookup/" + Id +
               " HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: " + Id +
               "\r\nX-Deadline-Ms: 1500\r\n\r\n"))
    return 0;
  const std::optional<Message> Head = To.readHead(Until);
  std::string Body;
  if (!Head || !To.readBody(*Head, Until,
                            [&](const std::string &Piece) { Body += Piece; }))
    return 0;
  if (Head->status() == 200 && Body != "answer to " + Id)
    return 0;
  return Head->status();
}

} // namespace review

#ifndef BRONZEPASS_STANDINS_OBJECTAPISTANDIN_H
#define BRONZEPASS_STANDINS_OBJECTAPISTANDIN_H

#include "StandIns/StandIn.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bronzepass::stand_ins {

struct ObjectApiOptions {
  core::model::Address m_Address;
  size_t m_MaxValueBytes = 1 << 20;
  /// Calls a second; zero means no limit. Calls over the limit get a 429.
  uint32_t m_WritesPerSecond = 0;
  uint32_t m_ReadsPerSecond = 0;
};

/// The platform's object API in the style of a Kubernetes custom-resource API,
/// and its list of VMs. docs/PROTOCOLS.md describes its protocol.
class ObjectApiStandIn : public StandIn {
public:
  explicit ObjectApiStandIn(ObjectApiOptions Options);
  ~ObjectApiStandIn() override;

private:
  using Json = nlohmann::ordered_json;

  /// Identifies an object: "namespace/plural", and its name.
  struct ObjectPath {
    std::string m_Kind;
    std::string m_Name;

    friend auto operator<=>(const ObjectPath &, const ObjectPath &) = default;
  };

  struct Change {
    uint64_t m_Version = 0;
    std::string m_Kind;
    std::string m_Type;
    Json m_Object;
  };

  struct Watch {
    std::string m_Kind;
    std::string m_Prefix;
    uint64_t m_Since = 0;
    std::shared_ptr<HttpResponseWriter> m_Answer;
  };

  struct CallCounts {
    uint64_t m_Reads = 0;
    uint64_t m_Writes = 0;
    uint64_t m_Watches = 0;
  };

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponseWriter> &Answer) override;
  /// Returns true if an injected fault aborted the call.
  bool injectFault(const HttpRequest &Request,
                   const std::shared_ptr<HttpResponseWriter> &Answer);
  void serve(const HttpRequest &Request,
             const std::shared_ptr<HttpResponseWriter> &Answer);
  bool isOverRate(bool IsWrite);
  HttpReply apply(const HttpRequest &Request, const ObjectPath &Path);
  HttpReply list(const HttpRequest &Request, const ObjectPath &Path) const;
  HttpReply create(const HttpRequest &Request, const ObjectPath &Path);
  HttpReply update(const HttpRequest &Request, const ObjectPath &Path);
  HttpReply remove(const HttpRequest &Request, const ObjectPath &Path);
  HttpReply vms(const HttpRequest &Request);
  Json storeObject(const ObjectPath &Path, const Json &Given);
  void recordChange(const std::string &Type, const ObjectPath &Path,
                    const Json &Object);

  void startWatch(const HttpRequest &Request, const ObjectPath &Path,
                  const std::shared_ptr<HttpResponseWriter> &Answer);
  void send(Watch &Watching, const Change &Changed);
  void endWatch(std::list<Watch>::iterator Ended);

  HttpReply setFaults(const HttpRequest &Request);
  HttpReply counts() const;

  ObjectApiOptions m_Options;
  std::map<ObjectPath, Json> m_Objects;
  uint64_t m_Version = 0;
  std::deque<Change> m_History;
  std::list<Watch> m_Watches;

  Json m_Vms = Json::object();
  Json m_NextVms = Json::object();

  /// Every call's connection is aborted.
  bool m_Down = false;
  std::chrono::milliseconds m_ResponseDelay{0};
  /// How many of the next writes are carried out but get no answer.
  uint32_t m_LoseAnswers = 0;
  /// How many of the next writes are dropped without being carried out.
  uint32_t m_LoseCalls = 0;

  CallCounts m_Counts;
  std::chrono::steady_clock::time_point m_SecondStart;
  CallCounts m_ThisSecond;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_OBJECTAPISTANDIN_H

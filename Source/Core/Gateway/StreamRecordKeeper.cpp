#include "Core/Gateway/StreamRecordKeeper.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr model::Duration ListRetry = std::chrono::milliseconds(300);
constexpr model::Duration WriteRetry = std::chrono::seconds(1);
/// A record that says that versions are mixed for longer than they are is only
/// too careful: it is written again for that alone after this time.
constexpr model::Duration RemainingSlack = std::chrono::seconds(10);

} // namespace

bool StreamRecordKeeper::isNews(const StreamNotice &Record) const {
  if (!m_Written || m_Written->m_Origins != Record.m_Origins)
    return true;
  return !std::equal(
      m_Written->m_MixedServices.begin(), m_Written->m_MixedServices.end(),
      Record.m_MixedServices.begin(), Record.m_MixedServices.end(),
      [](const MixedService &Old, const MixedService &New) {
        return Old.m_Service == New.m_Service &&
               New.m_Remaining <= Old.m_Remaining &&
               Old.m_Remaining - New.m_Remaining < RemainingSlack;
      });
}

std::optional<StreamRecordCall>
StreamRecordKeeper::nextCall(model::TimePoint Now) {
  using Verb = StreamRecordCall::Verb;
  if (m_CallOpen || Now < m_NextCallAt)
    return std::nullopt;
  std::optional<StreamRecordCall> Call;
  if (!m_HasListed) {
    Call = StreamRecordCall{Verb::List, m_After, "", {}};
  } else if (m_Slot && m_Record && m_Record->isEmpty()) {
    if (!m_Existing.empty())
      Call = StreamRecordCall{Verb::Remove, "", *m_Existing.begin(), {}};
  } else if (m_Slot && m_Record && isNews(*m_Record)) {
    const std::string Name = std::to_string(*m_Slot);
    Call = StreamRecordCall{m_Existing.contains(Name) ? Verb::Replace
                                                      : Verb::Create,
                            "", Name, *m_Record};
  }
  m_CallOpen = Call.has_value();
  return Call;
}

std::optional<StreamNotice>
StreamRecordKeeper::onListed(const std::vector<std::string> &Names,
                             const std::vector<StreamNotice> &Records,
                             bool HasMore) {
  m_CallOpen = false;
  m_Existing.insert(Names.begin(), Names.end());
  for (const StreamNotice &Each : Records) {
    m_Listed.m_Origins.insert(m_Listed.m_Origins.end(), Each.m_Origins.begin(),
                              Each.m_Origins.end());
    m_Listed.m_MixedServices.insert(m_Listed.m_MixedServices.end(),
                                    Each.m_MixedServices.begin(),
                                    Each.m_MixedServices.end());
  }
  if (HasMore && !Names.empty()) {
    m_After = Names.back();
    return std::nullopt;
  }
  m_HasListed = true;
  return std::exchange(m_Listed, {});
}

void StreamRecordKeeper::onListFailed(model::TimePoint Now) {
  m_CallOpen = false;
  m_NextCallAt = Now + ListRetry;
}

void StreamRecordKeeper::onWritten(const StreamRecordCall &Call,
                                   WriteResult Result, model::TimePoint Now) {
  m_CallOpen = false;
  switch (Result) {
  case WriteResult::Done:
    if (Call.m_Verb == StreamRecordCall::Verb::Remove) {
      m_Existing.erase(Call.m_Name);
      m_Written.reset();
    } else {
      m_Existing.insert(Call.m_Name);
      m_Written = Call.m_Record;
    }
    return;
  case WriteResult::AlreadyExists:
    m_Existing.insert(Call.m_Name);
    return;
  case WriteResult::NotFound:
    m_Existing.erase(Call.m_Name);
    return;
  case WriteResult::Failed:
    // It may have been carried out all the same.
    m_Written.reset();
    m_NextCallAt = Now + WriteRetry;
    return;
  }
}

} // namespace bronzepass::core::gateway

#include "Core/IntentStore/IntentStore.h"

#include "Core/Membership/IntentParts.h"
#include "Core/Model/Hash.h"

#include <algorithm>

namespace bronzepass::core::intent_store {

namespace {

using ports::StoreAnswer;
using ports::StoreCall;
using ports::StoreStatus;
using ports::StoreVerb;

constexpr model::Duration CallTimeout = std::chrono::seconds(2);
/// Maximum earlier generations listed in the head.
constexpr size_t MaxRevisions = 32;

bool isFinal(StoreStatus Status) {
  return Status != StoreStatus::NotSent && Status != StoreStatus::Unknown;
}

bool containsPart(const model::IntentHead &Head, uint64_t Hash) {
  const std::vector<uint64_t> &Hashes = Head.m_PartHashes;
  return std::find(Hashes.begin(), Hashes.end(), Hash) != Hashes.end();
}

model::IntentRevision revisionOf(const model::IntentHead &Head) {
  return {Head.m_Generation, Head.m_Author, Head.m_Summary, Head.m_TextHash};
}

/// Whether \p Mine was accepted: it is the current head \p Now or one of the
/// earlier generations listed there.
bool wasAccepted(const model::IntentHead &Mine, const model::IntentHead &Now) {
  if (Now == Mine)
    return true;
  return std::find(Now.m_Earlier.begin(), Now.m_Earlier.end(),
                   revisionOf(Mine)) != Now.m_Earlier.end();
}

model::IntentHead nextHead(const ReadOutcome &Before,
                           const model::IntentDocument &Document,
                           const ApplyRequest &Request) {
  const model::IntentHead &Old = Before.m_Current.m_Head;
  model::IntentHead Head = Document.m_Head;
  Head.m_Generation = {Old.m_Generation.m_Value + 1};
  Head.m_Author = Request.m_Author;
  Head.m_Summary = Request.m_Summary;
  Head.m_TextHash = model::stableHash(Request.m_Text);
  if (Before.m_Status == ReadStatus::None)
    return Head;
  Head.m_Earlier = {revisionOf(Old)};
  Head.m_Earlier.insert(Head.m_Earlier.end(), Old.m_Earlier.begin(),
                        Old.m_Earlier.end());
  if (Head.m_Earlier.size() > MaxRevisions)
    Head.m_Earlier.resize(MaxRevisions);
  return Head;
}

ApplyOutcome conflictWith(const model::IntentHead &Head,
                          model::Generation Base) {
  ApplyOutcome Outcome{.m_Status = ApplyStatus::Conflict,
                       .m_Generation = Head.m_Generation};
  std::vector<model::IntentRevision> All = {revisionOf(Head)};
  All.insert(All.end(), Head.m_Earlier.begin(), Head.m_Earlier.end());
  for (const model::IntentRevision &Each : All)
    if (Each.m_Generation > Base)
      Outcome.m_ChangesSinceBase.push_back(Each);
  Outcome.m_Reason = "generation " + std::to_string(Head.m_Generation.m_Value) +
                     " came first; the change was made from " +
                     std::to_string(Base.m_Value);
  return Outcome;
}

ApplyOutcome unavailable(const std::string &Reason) {
  return {.m_Status = ApplyStatus::Unavailable, .m_Reason = Reason};
}

} // namespace

StoreAnswer IntentStore::readObject(const ports::ObjectKey &Key) {
  while (true) {
    const StoreAnswer Answer =
        m_Session.call({.m_Verb = StoreVerb::Get,
                        .m_Key = Key,
                        .m_Priority = ports::StorePriority::Intent,
                        .m_Timeout = CallTimeout});
    if (isFinal(Answer.m_Status) || !m_Session.backOff())
      return Answer;
  }
}

ReadOutcome IntentStore::readHead() {
  const StoreAnswer Answer = readObject(membership::intentHeadKey());
  if (Answer.m_Status == StoreStatus::NotFound)
    return {.m_Status = ReadStatus::None, .m_Reason = "no intent was applied"};
  if (Answer.m_Status != StoreStatus::Ok || Answer.m_Objects.empty())
    return {.m_Status = ReadStatus::Unavailable,
            .m_Reason = "the object API does not answer"};
  const ports::StoredObject &Object = Answer.m_Objects[0];
  ReadOutcome Outcome{.m_Status = ReadStatus::Found};
  Outcome.m_Current.m_Head = std::get<model::IntentHead>(Object.m_Record);
  Outcome.m_Current.m_Version = Object.m_Version;
  return Outcome;
}

ReadOutcome IntentStore::read() {
  while (true) {
    ReadOutcome Outcome = readHead();
    if (Outcome.m_Status != ReadStatus::Found)
      return Outcome;
    model::IntentDocument Document{Outcome.m_Current.m_Head, {}};
    bool Missing = false;
    for (const uint64_t Hash : Document.m_Head.m_PartHashes) {
      const StoreAnswer Answer = readObject(membership::intentPartKey(Hash));
      if (Answer.m_Status == StoreStatus::Ok && !Answer.m_Objects.empty())
        Document.m_Parts.push_back(
            std::get<model::IntentPart>(Answer.m_Objects[0].m_Record));
      else
        Missing = true;
    }
    const std::optional<std::string> Text = membership::joinIntent(Document);
    if (!Missing && Text) {
      Outcome.m_Current.m_Text = *Text;
      return Outcome;
    }
    // A part is deleted when a newer generation no longer needs it: read again.
    if (!m_Session.backOff())
      return {.m_Status = ReadStatus::Damaged,
              .m_Reason = "a part of generation " +
                          std::to_string(Document.m_Head.m_Generation.m_Value) +
                          " can't be read"};
  }
}

bool IntentStore::ensurePart(const model::IntentPart &Part) {
  const ports::ObjectKey Key = membership::intentPartKey(Part.m_Hash);
  StoreCall Write{.m_Verb = StoreVerb::Create,
                  .m_Key = Key,
                  .m_Record = Part,
                  .m_Priority = ports::StorePriority::Intent,
                  .m_Timeout = CallTimeout};
  while (true) {
    const StoreAnswer Answer = m_Session.call(Write);
    if (Answer.m_Status == StoreStatus::Ok)
      return true;
    if (Answer.m_Status == StoreStatus::Rejected)
      return false;
    if (!isFinal(Answer.m_Status) && !m_Session.backOff())
      return false;
    // If the part exists, write it again: its version changes, so that another
    // command which is about to delete it as unused fails to.
    const StoreAnswer Found = readObject(Key);
    const bool Exists =
        Found.m_Status == StoreStatus::Ok && !Found.m_Objects.empty();
    Write.m_Verb = Exists ? StoreVerb::Update : StoreVerb::Create;
    Write.m_Expected =
        Exists ? Found.m_Objects[0].m_Version : model::ObjectVersion();
  }
}

bool IntentStore::ensureParts(const std::vector<model::IntentPart> &Parts,
                              const model::IntentHead &OldHead) {
  return std::all_of(Parts.begin(), Parts.end(),
                     [this, &OldHead](const model::IntentPart &Part) {
                       return containsPart(OldHead, Part.m_Hash) ||
                              ensurePart(Part);
                     });
}

ApplyOutcome IntentStore::replaceHead(const ReadOutcome &Before,
                                      const model::IntentHead &After) {
  const bool IsFirst = Before.m_Status == ReadStatus::None;
  const StoreCall Write{.m_Verb =
                            IsFirst ? StoreVerb::Create : StoreVerb::Update,
                        .m_Key = membership::intentHeadKey(),
                        .m_Expected = Before.m_Current.m_Version,
                        .m_Record = After,
                        .m_Priority = ports::StorePriority::Intent,
                        .m_Timeout = CallTimeout};
  const ApplyOutcome Accepted{.m_Status = ApplyStatus::Accepted,
                              .m_Generation = After.m_Generation};
  bool MayHaveTakenEffect = false;
  while (true) {
    const StoreAnswer Answer = m_Session.call(Write);
    if (Answer.m_Status == StoreStatus::Ok)
      return Accepted;
    if (Answer.m_Status == StoreStatus::Rejected)
      return unavailable("the object API refused the intent's head");
    MayHaveTakenEffect =
        MayHaveTakenEffect || Answer.m_Status == StoreStatus::Unknown;
    if (isFinal(Answer.m_Status)) {
      // The conflict may be with this command's own write if its answer was
      // lost.
      const ReadOutcome Now = readHead();
      if (Now.m_Status == ReadStatus::Found)
        return wasAccepted(After, Now.m_Current.m_Head)
                   ? Accepted
                   : conflictWith(Now.m_Current.m_Head,
                                  Before.m_Current.m_Head.m_Generation);
    }
    // Sending it again is safe: both tries expect the same version, so at most
    // one takes effect, and both write the same head.
    if (!m_Session.backOff())
      break;
  }
  if (!MayHaveTakenEffect)
    return unavailable("the object API does not answer");
  return {.m_Status = ApplyStatus::Unknown,
          .m_Generation = After.m_Generation,
          .m_Reason = "the object API did not say whether it took the change"};
}

void IntentStore::removeUnusedParts(const model::IntentHead &Before,
                                    const model::IntentHead &After) {
  for (const uint64_t Hash : Before.m_PartHashes) {
    if (containsPart(After, Hash))
      continue;
    const StoreAnswer Found = readObject(membership::intentPartKey(Hash));
    if (Found.m_Status != StoreStatus::Ok || Found.m_Objects.empty())
      continue;
    const ReadOutcome Now = readHead();
    if (Now.m_Status != ReadStatus::Found ||
        containsPart(Now.m_Current.m_Head, Hash))
      continue;
    m_Session.call({.m_Verb = StoreVerb::Delete,
                    .m_Key = membership::intentPartKey(Hash),
                    .m_Expected = Found.m_Objects[0].m_Version,
                    .m_Priority = ports::StorePriority::Status,
                    .m_Timeout = CallTimeout});
  }
}

ApplyOutcome IntentStore::apply(const ApplyRequest &Request) {
  const ReadOutcome Before = readHead();
  if (Before.m_Status == ReadStatus::Unavailable)
    return unavailable(Before.m_Reason);
  const model::IntentHead &Old = Before.m_Current.m_Head;
  if (Request.m_Base && *Request.m_Base != Old.m_Generation)
    return conflictWith(Old, *Request.m_Base);
  const model::IntentDocument Document =
      membership::splitIntent(Request.m_Text);
  if (Before.m_Status == ReadStatus::Found &&
      Document.m_Head.m_PartHashes == Old.m_PartHashes)
    return {.m_Status = ApplyStatus::Unchanged,
            .m_Generation = Old.m_Generation};
  if (!ensureParts(Document.m_Parts, Old))
    return unavailable("the object API did not take the intent's parts");
  const model::IntentHead New = nextHead(Before, Document, Request);
  ApplyOutcome Outcome = replaceHead(Before, New);
  if (Outcome.m_Status != ApplyStatus::Accepted)
    return Outcome;
  // Check again: another command may have deleted as unused a part that this
  // generation uses again.
  if (!ensureParts(Document.m_Parts, Old))
    Outcome.m_Reason = "accepted, but a part could not be checked; apply again";
  removeUnusedParts(Old, New);
  return Outcome;
}

} // namespace bronzepass::core::intent_store

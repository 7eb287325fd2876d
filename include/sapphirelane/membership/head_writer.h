#ifndef SAPPHIRELANE_MEMBERSHIP_HEAD_WRITER_H
#define SAPPHIRELANE_MEMBERSHIP_HEAD_WRITER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/witness_seat.h"

namespace sapphirelane {

/// @brief How a write of the head ended.
enum class WriteVerdict
{
  Accepted,
  Unchanged, ///< There was nothing to write.
  Refused,   ///< For what it says, such as a change that met another.
  Unreached, ///< The platform or the witnesses cannot be reached: not written.
  Unknown,   ///< It may be written yet; nobody could tell in time.
};

/// @brief Result of a write.
struct WriteResult
{
  WriteVerdict verdict = WriteVerdict::Unknown;
  std::string detail;
  std::uint64_t config_version = 0;
};

/// @brief Writes new heads: one at a time, each with recorded intents.
///
/// Reads the head, makes the next one, has the intent recorded by a majority
/// of witnesses, and swaps. A swap without an answer is resolved by reading
/// back until the outcome is known.
class HeadWriter
{
public:
  using Done = std::function<void(const WriteResult&, TimePoint)>;

  /// @brief Makes the next head from the newest, or nothing.
  using MakeNext = std::function<std::optional<Head>(const Head&, TimePoint)>;

  HeadWriter(HeadKeeper& aKeeper,
             StoreClient& aStore,
             Peers& aPeers,
             WitnessSeat& aSeat,
             Random& aRandom);

  /// @brief Writes a change of the configuration.
  void WriteChange(const ChangeSet& aChange, TimePoint aNow, Done aDone);

  /// @brief Writes another head with the same configuration.
  void WriteHead(MakeNext aMake, TimePoint aNow, Done aDone);

  bool IsBusy() const { return m_job.has_value(); }

  /// @brief Takes in a witness's answer.
  void OnIntentAnswer(const IntentAnswer& aAnswer, TimePoint aNow);

  /// @brief Lets time pass: resends, patience, repeated reads.
  void Tick(TimePoint aNow);

private:
  enum class Step
  {
    Reading,   ///< The head is being read.
    AwaitHead, ///< A newer head is being taken over.
    Putting,   ///< The object is being put.
    Intents,   ///< Witnesses are asked.
    Swapping,  ///< The swap is under way.
    Resolving, ///< The swap had no answer; the head is read back.
  };

  struct Job
  {
    std::optional<ChangeSet> change;
    MakeNext make;
    Done done;
    TimePoint begun{};
    TimePoint step_since{};
    TimePoint retry_at = TimePoint::max();
    Step step = Step::Reading;
    std::uint64_t row_version = 0;
    Head next;
    FleetConfig config;
    std::uint64_t nonce = 0;
    TimePoint intents_sent{};
    std::set<NodeId> recorded; ///< Seats.
    bool swapped = false;      ///< A swap was sent; the head does not tell yet.
    bool maybe = false;        ///< It may be written, beneath a newer head.
    bool lost = false;         ///< A swap had no answer.
  };

  void Begin(Job aJob, TimePoint aNow);
  void Read(TimePoint aNow);
  void OnRead(const StoreResult& aResult, TimePoint aSent, TimePoint aNow);
  void Resolve(const Head& aRead, TimePoint aSent, TimePoint aNow);
  void Build(TimePoint aNow);
  bool BuildChange(TimePoint aNow);
  void PutObject(TimePoint aNow);
  void AskIntents(TimePoint aNow);
  void SendIntents(TimePoint aNow);
  void CheckMajority(TimePoint aNow);
  void ReleaseIntents();
  void Swap(TimePoint aNow);
  void OnSwapped(const StoreResult& aResult, TimePoint aSent, TimePoint aNow);
  void Retry(Duration aAfter, TimePoint aNow);
  void Finish(WriteVerdict aVerdict,
              const std::string& aDetail,
              TimePoint aNow);
  void SetStep(Step aStep, TimePoint aNow);
  std::string RandomName();

  HeadKeeper& m_keeper;
  StoreClient& m_store;
  Peers& m_peers;
  WitnessSeat& m_seat;
  Random& m_random;
  std::uint64_t m_jobNumber = 0; ///< Tells late answers of older jobs.
  std::optional<Job> m_job;
  std::deque<Job> m_waiting;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_HEAD_WRITER_H

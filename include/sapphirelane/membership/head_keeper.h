#ifndef SAPPHIRELANE_MEMBERSHIP_HEAD_KEEPER_H
#define SAPPHIRELANE_MEMBERSHIP_HEAD_KEEPER_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/config/change_set.h"
#include "sapphirelane/membership/freshness_lease.h"
#include "sapphirelane/membership/head.h"
#include "sapphirelane/membership/node_env.h"

namespace sapphirelane {

/// @brief One accepted change, as kept for peers and for the history.
struct KeptChange
{
  std::uint64_t version = 0;
  ChangeSet change;
};

/// @brief Text of the object that holds one version of the configuration.
/// @param aPrevious Object of the version before; empty to hold a snapshot.
std::string
EncodeVersionObject(const FleetConfig& aConfig,
                    const ChangeSet& aChange,
                    const std::string& aPrevious);

/// @brief Holds the newest head and its configuration, and never goes back.
///
/// A newer head is taken over once its configuration is there: from the
/// object store or from a peer.
class HeadKeeper
{
public:
  /// @brief Called after a head was taken over, with the one before.
  using Adopted = std::function<void(const std::optional<Head>&, TimePoint)>;

  /// @brief Called with the withdrawals that a peer told.
  using Withdrawn =
    std::function<void(const std::vector<Withdrawal>&, TimePoint)>;

  HeadKeeper(StoreClient& aStore,
             BulkClient& aBulk,
             Adopted aAdopted,
             Withdrawn aWithdrawn);

  const std::optional<Head>& Current() const { return m_head; }
  std::uint64_t Seq() const { return m_head ? m_head->seq : 0; }
  const FleetConfig* Config() const { return m_head ? &m_config : nullptr; }
  FreshnessLease& Lease() { return m_lease; }
  const FreshnessLease& Lease() const { return m_lease; }

  /// @brief Takes in a head read from the table.
  /// @param aAsOf When the read was sent.
  void OnRead(const Head& aHead, TimePoint aAsOf, TimePoint aNow);

  /// @brief Takes over a head that this daemon has written itself.
  void OnWritten(const Head& aHead,
                 const FleetConfig& aConfig,
                 const std::vector<KeptChange>& aChanges,
                 TimePoint aAsOf,
                 TimePoint aNow);

  /// @brief Fetches the newest head from a peer that knows a newer one.
  void FetchFrom(const std::string& aAddress, TimePoint aNow);

  /// @brief Answers a peer's FetchState, but for the withdrawals.
  StateReply Serve(const FetchState& aRequest) const;

  /// @brief Changes that led here, oldest first, as far as they are kept.
  const std::deque<KeptChange>& Changes() const { return m_changes; }

  /// @brief Tells whether a change is part of the configuration.
  bool HasChange(const std::string& aChangeId) const;

private:
  void Pursue(TimePoint aNow);
  void OnObject(const StoreResult& aResult, TimePoint aNow);
  void OnState(const StateReply& aReply, TimePoint aNow);
  void ReadObject(const std::string& aName);
  void AdoptWith(const Head& aHead,
                 FleetConfig aBase,
                 const std::vector<KeptChange>& aChanges,
                 TimePoint aNow);
  void Adopt(const Head& aHead,
             FleetConfig aConfig,
             const std::vector<KeptChange>& aChanges,
             TimePoint aNow);
  void KeepChange(const KeptChange& aChange);

  StoreClient& m_store;
  BulkClient& m_bulk;
  Adopted m_adopted;
  Withdrawn m_withdrawn;
  std::optional<Head> m_head;
  FleetConfig m_config;
  FreshnessLease m_lease;
  std::deque<KeptChange> m_changes;

  std::optional<Head> m_target; ///< Newer head whose objects are read.
  TimePoint m_targetAsOf{};
  std::vector<KeptChange> m_targetChanges; ///< Newest first.
  std::optional<TimePoint> m_fetching;     ///< Since when a peer is asked.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_HEAD_KEEPER_H

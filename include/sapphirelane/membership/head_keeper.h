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

/// @brief An accepted change of the configuration with the version that it
/// made; kept for peers that are behind and for the operators' history.
struct KeptChange
{
  std::uint64_t version = 0;
  ChangeSet change;
};

/// @brief Encodes the object that holds one version of the configuration.
/// @param aPrevious Name of the object of the preceding version; if it is
/// empty, the object holds a whole snapshot.
std::string
EncodeVersionObject(const FleetConfig& aConfig,
                    const ChangeSet& aChange,
                    const std::string& aPrevious);

/// @brief Local replica of the head and its configuration; never moves back to
/// an older head.
///
/// A newer head is adopted once its configuration has been fetched, either
/// from the platform's object store or from a peer.
class HeadKeeper
{
public:
  /// @brief Called after a head was adopted, with the previous one.
  using Adopted = std::function<void(const std::optional<Head>&, TimePoint)>;

  /// @brief Called with the key revocations that a peer has sent.
  using Withdrawn =
    std::function<void(const std::vector<Withdrawal>&, TimePoint)>;

  HeadKeeper(StoreClient& aStore,
             BulkClient& aBulk,
             Adopted aOnAdopted,
             Withdrawn aOnRevocations);

  const std::optional<Head>& Current() const { return m_head; }
  std::uint64_t Seq() const { return m_head ? m_head->seq : 0; }
  const FleetConfig* Config() const { return m_head ? &m_config : nullptr; }
  FreshnessLease& Lease() { return m_lease; }
  const FreshnessLease& Lease() const { return m_lease; }

  /// @brief Handles a head read from the platform's table: renews the lease or
  /// starts to fetch the newer configuration.
  /// @param aAsOf When the read was sent.
  void OnRead(const Head& aHead, TimePoint aAsOf, TimePoint aNow);

  /// @brief Adopts a head that this daemon has written itself.
  /// @param aAsOf When the write, or the read that confirmed it, was sent.
  void OnWritten(const Head& aHead,
                 const FleetConfig& aConfig,
                 const std::vector<KeptChange>& aChanges,
                 TimePoint aAsOf,
                 TimePoint aNow);

  /// @brief Fetches the head and configuration from a peer that knows a newer
  /// one; does nothing while another fetch is in progress.
  void FetchFrom(const std::string& aAddress, TimePoint aNow);

  /// @brief Answers a peer's FetchState; the caller adds the revocations.
  StateReply Serve(const FetchState& aRequest) const;

  /// @brief The most recent changes up to the current version, oldest first.
  const std::deque<KeptChange>& Changes() const { return m_recentChanges; }

  /// @brief Tells whether a change is among those in RecentChanges().
  bool HasChange(const std::string& aChangeId) const;

private:
  void FetchTargetConfig(TimePoint aNow);
  void OnConfigObject(const StoreResult& aResult, TimePoint aNow);
  void OnPeerState(const StateReply& aReply, TimePoint aNow);
  void ReadConfigObject(const std::string& aName);
  void ReplayAndAdopt(const Head& aHead,
                      FleetConfig aBase,
                      const std::vector<KeptChange>& aChanges,
                      TimePoint aNow);
  void Adopt(const Head& aHead,
             FleetConfig aConfig,
             const std::vector<KeptChange>& aChanges,
             TimePoint aNow);
  void AppendChange(const KeptChange& aChange);

  StoreClient& m_store;
  BulkClient& m_bulk;
  Adopted m_onAdopted;
  Withdrawn m_onRevocations;
  std::optional<Head> m_head;
  FleetConfig m_config;
  FreshnessLease m_lease;
  std::deque<KeptChange> m_recentChanges;

  std::optional<Head> m_target; ///< Newer head whose objects are being read.
  TimePoint m_targetAsOf{};
  std::vector<KeptChange> m_targetChanges; ///< Newest first.
  std::optional<TimePoint> m_fetchStarted; ///< Start of the fetch in progress.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_HEAD_KEEPER_H

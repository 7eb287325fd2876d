#ifndef SAPPHIRELANE_RELAY_VIEW_KEEPER_H
#define SAPPHIRELANE_RELAY_VIEW_KEEPER_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sapphirelane/relay/fleet_view.h"
#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/read_pacer.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/store_fleet.h"

namespace sapphirelane {

/// @brief Keeps this daemon's view new: reads the store in its turn, tells the
/// others, and takes over what they tell.
class ViewKeeper
{
public:
  /// Called after the view may have changed, with where the news came from.
  using OnChange = std::function<void(TimePoint, const char*)>;

  /// @param aEnv Outlives the keeper, as do the others.
  ViewKeeper(const StoreFleetOptions& aOptions,
             StoreFleetEnv& aEnv,
             const PeerBook& aPeers,
             const Spreader& aSpreader,
             Random& aRandom,
             OnChange aOnChange);

  const FleetView& View() const { return m_view; }

  void Tick(TimePoint aNow);

  // Answers of the store.
  void OnEndpointsRead(const SourceResult& aResult, TimePoint aNow);
  void OnConfigRead(const SourceResult& aResult, TimePoint aNow);

  // Other daemons.
  void OnNews(const std::string& aAddress,
              const ViewNews& aNews,
              TimePoint aNow);
  void OnBulkReply(std::uint64_t aCall,
                   const BulkReply& aReply,
                   TimePoint aNow);

  /// @brief Answers a daemon that asks for the view.
  ViewReply Serve(const FetchView& aFetch, TimePoint aNow);

private:
  const std::string& EncodedConfig(const FleetConfig& aConfig);
  void ReadStore(TimePoint aNow);
  void ReadConfig();
  void TellView(std::uint64_t aBase,
                std::vector<EndpointChange> aChanges,
                Duration aAge,
                TimePoint aNow);
  void NoteConfig(std::uint64_t aVersion, bool aNear, TimePoint aNow);
  void AskPeer(TimePoint aNow);
  void FetchFrom(const std::string& aAddress, TimePoint aNow);
  void TakeView(const ViewReply& aReply, TimePoint aNow);

  StoreFleetEnv& m_env;
  const PeerBook& m_peers;
  const Spreader& m_spreader;
  Random& m_random;
  OnChange m_onChange;
  std::vector<std::string> m_seeds;
  std::string m_dataCentre;
  FleetView m_view;
  ReadPacer m_pacer;
  Duration m_storeTime{ 0 }; ///< That the last read known here took.
  bool m_readsConfig = false;
  bool m_readsBoth = false; ///< Endpoints are read after the configuration.
  std::uint64_t m_configCursor = 0;
  std::uint64_t m_newestConfig = 0; ///< Version that a daemon has told of.
  TimePoint m_nextConfigTry{};
  std::uint64_t m_lastCall = 0;
  std::uint64_t m_peerCall = 0; ///< Under way; 0 for none.
  TimePoint m_peerCallUntil{};
  TimePoint m_nextPeerAsk{};
  std::string m_encoded; ///< See EncodedConfig.
  std::uint64_t m_encodedVersion = 0;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_VIEW_KEEPER_H

#ifndef SAPPHIRELANE_WIRE_MESSAGES_H
#define SAPPHIRELANE_WIRE_MESSAGES_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirelane/wire/store_version.h"

namespace sapphirelane {

/// @brief One run of one daemon; a restarted daemon has a new one.
using NodeId = std::uint64_t;

/// @brief How a daemon can be reached.
struct MemberInfo
{
  NodeId id = 0;
  std::string host;
  std::string data_centre;
  std::string address; ///< "ip:port" for UDP and TCP.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, host, data_centre, address);
  }
};

/// @brief A key withdrawn ahead of the configuration.
struct Withdrawal
{
  std::string digest;
  std::string key_id;
  std::uint64_t version = 0; ///< Configuration known when it was withdrawn.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(digest, key_id, version);
  }
};

/// @brief A witness seat that was handed over.
struct MovedSeat
{
  NodeId seat = 0;   ///< The daemon that the head names.
  NodeId holder = 0; ///< The daemon that holds it now.
  std::uint32_t hops =
    0; ///< Times that it was handed over; the most is newest.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(seat, holder, hops);
  }
};

/// @brief Sent to ring neighbours; silence leads to suspicion.
struct Heartbeat
{
  MemberInfo self;       ///< Empty if the sender is a member.
  std::uint64_t seq = 0; ///< Newest head known.
  bool joins = false;    ///< Not a member yet, and wants to be one.
  std::vector<NodeId> retired;
  std::vector<Withdrawal> withdrawals;
  std::vector<MovedSeat> seats;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(self, seq, joins, retired, withdrawals, seats);
  }
};

/// @brief Tells that a member has been silent.
struct SuspectNews
{
  NodeId suspect = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(suspect);
  }
};

/// @brief Asks which head is the newest.
struct HeadQuestion
{
  std::uint64_t nonce = 0;
  std::uint64_t seq = 0; ///< Newest head that the asker knows.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce, seq);
  }
};

/// @brief Answers a HeadQuestion.
struct HeadAnswer
{
  std::uint64_t nonce = 0;
  std::uint64_t seq = 0;
  bool has_age = false;      ///< The answerer has evidence for seq.
  std::uint32_t age_ms = 0;  ///< Age of that evidence, rounded up.
  std::vector<NodeId> seats; ///< Witness seats that vouch: no open intent.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce, seq, has_age, age_ms, seats);
  }
};

/// @brief Tells of a new head.
struct HeadNews
{
  std::uint64_t seq = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(seq);
  }
};

/// @brief Asks a witness to record that seq + 1 may be written.
struct IntentAsk
{
  std::uint64_t nonce = 0; ///< Names the intent.
  std::uint64_t seq = 0;   ///< Head that the write replaces.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce, seq);
  }
};

/// @brief Answers an IntentAsk.
struct IntentAnswer
{
  std::uint64_t nonce = 0;
  std::vector<NodeId> seats; ///< That have recorded it.
  std::uint64_t seq = 0;     ///< Newest head that the witness knows.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce, seats, seq);
  }
};

/// @brief Takes back an intent whose write was never sent.
struct IntentRelease
{
  std::uint64_t nonce = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce);
  }
};

/// @brief Asks the holder of one part of an account's budget for a token.
struct TokenAsk
{
  std::uint64_t ask = 0;
  std::string account;
  std::uint8_t part = 0;  ///< See AccountPart.
  std::uint8_t parts = 1; ///< As the asker's configuration has it.
  bool may_wait = true;   ///< A token promised ahead will do.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask, account, part, parts, may_wait);
  }
};

/// @brief Answers a TokenAsk.
struct TokenAnswer
{
  std::uint64_t ask = 0;
  bool holder = false; ///< False: nothing was decided.
  bool granted = false;
  std::uint32_t wait_ms = 0;  ///< With granted: use it after this time.
  std::uint32_t retry_ms = 0; ///< Without: when to try again.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask, holder, granted, wait_ms, retry_ms);
  }
};

/// @brief Gives a granted token back unused.
struct TokenReturn
{
  std::uint64_t ask = 0;
  std::string account;
  std::uint8_t part = 0;
  std::uint8_t parts = 1;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask, account, part, parts);
  }
};

/// @brief A claim record; times travel as ages.
struct WireClaim
{
  std::string id;
  std::uint64_t fingerprint = 0;
  NodeId claimant = 0;
  std::uint64_t ask = 0;
  std::uint32_t generation = 0;
  std::uint8_t state = 0;
  bool kept = false;
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
  std::uint64_t age_ms = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id,
             fingerprint,
             claimant,
             ask,
             generation,
             state,
             kept,
             status,
             content_type,
             body,
             age_ms);
  }
};

/// @brief Asks the holder of a shard for the right to send a request.
struct ClaimAsk
{
  std::uint64_t ask = 0;
  std::string id;
  std::uint64_t fingerprint = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask, id, fingerprint);
  }
};

/// @brief Answers a ClaimAsk.
struct ClaimAnswer
{
  std::uint64_t ask = 0;
  std::uint8_t verdict = 0; ///< ClaimVerdict.
  WireClaim claim;          ///< Of a repeat: its state and answer.
  std::uint64_t map_epoch = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask, verdict, claim, map_epoch);
  }
};

/// @brief Tells the holder how a claim ended; repeated until acknowledged.
struct ClaimEnd
{
  WireClaim claim;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(claim);
  }
};

/// @brief Acknowledges a ClaimEnd.
struct ClaimEndAck
{
  std::uint64_t ask = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask);
  }
};

/// @brief Asks another daemon to remember a claim.
struct ClaimCopy
{
  WireClaim claim;
  std::uint64_t map_epoch = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(claim, map_epoch);
  }
};

/// @brief Answers a ClaimCopy.
struct ClaimCopyAnswer
{
  std::uint64_t ask = 0;
  bool kept = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ask, kept);
  }
};

/// @brief Work results of one endpoint.
struct WireEvidence
{
  std::string endpoint;
  std::uint32_t answered = 0;
  std::uint32_t bad = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpoint, answered, bad);
  }
};

/// @brief Evidence about a service, to its observer or back from it.
struct EvidenceNews
{
  std::string service;
  bool summary = false; ///< True when it comes from the observer.
  std::vector<WireEvidence> endpoints;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service, summary, endpoints);
  }
};

/// @brief Spreads withdrawals at once.
struct WithdrawNews
{
  std::uint64_t nonce = 0; ///< 0 if no acknowledgement is wanted.
  std::vector<Withdrawal> withdrawals;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce, withdrawals);
  }
};

/// @brief Acknowledges a WithdrawNews.
struct WithdrawAck
{
  std::uint64_t nonce = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nonce);
  }
};

/// @brief Carries a message to a daemon that cannot be reached directly.
struct Relay
{
  NodeId origin = 0;
  NodeId target = 0;
  std::string message; ///< See EncodeMessage; never a Relay again.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(origin, target, message);
  }
};

/// @brief Tells that a daemon of a store fleet is there.
struct PresenceNews
{
  MemberInfo self;
  std::uint64_t started_ms =
    0;                         ///< Wall clock; the newest run of a host counts.
  std::uint32_t uptime_ms = 0; ///< Since then, by the steady clock.
  bool leaving = false;
  /// Its data centre is a large one, in which signs of life are passed on.
  bool gossips = false;
  bool replies = false; ///< Replies to a heartbeat, and needs no reply.
  /// Hashes of the hosts of its data centre that are live, sorted.
  std::vector<std::uint32_t> neighbours;
  /// Time since the last sign of life of each, in tenths of a second.
  std::vector<std::uint8_t> ages;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      self, started_ms, uptime_ms, leaving, gossips, replies, neighbours, ages);
  }
};

/// @brief How work of one daemon on one endpoint stands.
struct EndpointWork
{
  std::uint32_t endpoint = 0; ///< Hash of its id.
  std::uint16_t in_flight = 0;
  std::uint16_t answered = 0; ///< Since the message before.
  std::uint16_t bad = 0;
  std::uint16_t shed = 0;
  std::uint16_t answer_ms = 0; ///< Mean time of those answered.
  std::uint32_t begun = 0;     ///< Attempts since the start of the daemon.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpoint, in_flight, answered, bad, shed, answer_ms, begun);
  }
};

/// @brief Requests of an account that a daemon has let through since its start.
struct AccountWork
{
  std::uint32_t account = 0; ///< Hash of its id.
  std::uint32_t spent = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(account, spent);
  }
};

/// @brief What a daemon has done for a service since its start.
struct ServiceWork
{
  std::uint32_t service = 0;  ///< Hash of its id.
  std::uint32_t requests = 0; ///< First attempts.
  std::uint32_t extras = 0;   ///< Further attempts.
  std::uint32_t ended = 0;    ///< Requests that have their answer.
  std::uint32_t unserved = 0; ///< Those of them without a success.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service, requests, extras, ended, unserved);
  }
};

/// @brief What one daemon does, for all others; states, not changes, wherever
/// a lost message must not matter.
struct WorkNews
{
  NodeId origin = 0;
  std::uint32_t sequence = 0; ///< Of the origin's messages.
  bool spread = false;        ///< The receiver sends it on in its data centre.
  /// Hash of the data centre whose sums these are; 0 for those of one daemon.
  std::uint32_t centre = 0;
  std::vector<EndpointWork> endpoints;
  std::vector<AccountWork> accounts;
  std::vector<ServiceWork> services;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(origin, sequence, spread, centre, endpoints, accounts, services);
  }
};

/// @brief Values from which the receiver is to take counters that a daemon
/// reports, as its data centre's sums hold what is below them.
struct CounterBase
{
  NodeId origin = 0;
  std::vector<AccountWork> accounts;
  std::vector<ServiceWork> services;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(origin, accounts, services);
  }
};

/// @brief An endpoint as the store has it, or that it is gone.
struct WireEndpoint
{
  std::string id;
  StoreVersion version; ///< Of its row.
  bool gone = false;
  bool leaving = false;
  std::string service;
  std::string address;
  std::string data_centre;
  std::uint32_t slots = 1;
  std::uint64_t lifetime = 0;
  std::uint32_t cold_ms = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id,
             version,
             gone,
             leaving,
             service,
             address,
             data_centre,
             slots,
             lifetime,
             cold_ms);
  }
};

/// @brief Beginning or end of a data centre's evacuation.
struct WireEvacuation
{
  std::string data_centre;
  StoreVersion version;
  bool evacuated = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(data_centre, version, evacuated);
  }
};

/// @brief Part of an update of a daemon's view of the store.
struct ViewNews
{
  bool spread = false; ///< The receiver sends it on in its data centre.
  /// Addresses that the receiver sends it on to, without this list.
  std::vector<std::string> forward_to;
  NodeId origin = 0;         ///< The daemon whose view it describes.
  std::uint64_t sent_ms = 0; ///< Uptime of the origin when it was sent.
  std::uint32_t age_ms = 0;  ///< Of the origin's view at that time.
  StoreVersion version;      ///< Of the origin's view.
  std::uint64_t digest = 0;  ///< Of the origin's view, see FleetView::Digest.
  bool last = true;          ///< No further part of the update follows.
  std::vector<WireEndpoint> changes; ///< Recent ones.
  std::uint64_t config_version = 0;  ///< The newest that the sender knows of.
  std::uint64_t held_config = 0;     ///< The newest that it holds.
  /// Known ones, ended ones included; in turn if there are very many.
  std::vector<WireEvacuation> evacuations;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(spread,
             forward_to,
             origin,
             sent_ms,
             age_ms,
             version,
             digest,
             last,
             changes,
             config_version,
             held_config,
             evacuations);
  }
};

/// @brief Tells that an endpoint has said that it leaves.
struct LeaveNews
{
  bool spread = false; ///< The receiver sends it on in its data centre.
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the process that said so.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(spread, endpoint, lifetime);
  }
};

/// @brief Tells what limit an endpoint has named, or that it names none.
struct LimitNews
{
  bool spread = false; ///< The receiver sends it on in its data centre.
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the process that said so.
  bool limited = false;       ///< It names a limit.
  double limit = 0;           ///< Requests a second from all hosts together.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(spread, endpoint, lifetime, limited, limit);
  }
};

/// @brief Tells that an endpoint has said that it is cold.
struct ColdNews
{
  bool spread = false; ///< The receiver sends it on in its data centre.
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the process that said so.
  std::uint32_t left_ms = 0;  ///< Time for which it stays cold.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(spread, endpoint, lifetime, left_ms);
  }
};

/// @brief Tells that an endpoint has ended under a request, or that a request
/// under which some had ended was answered.
struct CrashNews
{
  bool spread = false; ///< The receiver sends it on in its data centre.
  bool served = false;
  std::uint64_t request = 0;   ///< Fingerprint.
  std::uint64_t process = 0;   ///< Hash of the process that has ended.
  std::uint32_t worked_ms = 0; ///< For how long it had the request.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(spread, served, request, process, worked_ms);
  }
};

/// @brief Asks a daemon of a store fleet who other daemons are.
struct MembersAsk
{
  std::vector<std::uint32_t> hosts; ///< Hashes of hosts.
  std::string data_centre; ///< Some daemons there, too; empty for none.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(hosts, data_centre);
  }
};

/// @brief Answers a MembersAsk.
struct MembersNews
{
  std::vector<MemberInfo> members;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(members);
  }
};

/// @brief Every message that travels in one datagram.
using PeerMessage = std::variant<Heartbeat,
                                 SuspectNews,
                                 HeadQuestion,
                                 HeadAnswer,
                                 HeadNews,
                                 IntentAsk,
                                 IntentAnswer,
                                 IntentRelease,
                                 TokenAsk,
                                 TokenAnswer,
                                 TokenReturn,
                                 ClaimAsk,
                                 ClaimAnswer,
                                 ClaimEnd,
                                 ClaimEndAck,
                                 ClaimCopy,
                                 ClaimCopyAnswer,
                                 EvidenceNews,
                                 WithdrawNews,
                                 WithdrawAck,
                                 Relay,
                                 PresenceNews,
                                 WorkNews,
                                 ViewNews,
                                 LeaveNews,
                                 MembersAsk,
                                 MembersNews,
                                 LimitNews,
                                 CrashNews,
                                 CounterBase,
                                 ColdNews>;

/// @brief Asks a peer for the newest head and what leads to it.
struct FetchState
{
  std::uint64_t config_version = 0; ///< What the asker has; 0 for nothing.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(config_version);
  }
};

/// @brief Answers a FetchState.
struct StateReply
{
  bool known = false;               ///< False if the peer has no head itself.
  std::string head;                 ///< EncodeHead's text.
  std::vector<std::string> changes; ///< From the asker's version on, if kept.
  std::string snapshot;             ///< Else the whole configuration.
  std::vector<Withdrawal> withdrawals;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(known, head, changes, snapshot, withdrawals);
  }
};

/// @brief Asks a peer for all claims it remembers of some shards.
struct CollectClaims
{
  std::uint64_t map_epoch = 0;
  std::vector<std::uint32_t> shards;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(map_epoch, shards);
  }
};

/// @brief Answers a CollectClaims.
struct ClaimsReply
{
  bool ready = false; ///< False if the peer does not know the map yet.
  std::vector<WireClaim> claims;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ready, claims);
  }
};

/// @brief Level of the token bucket of one part of an account.
struct WireBucket
{
  std::string account;
  std::uint8_t part = 0;
  std::uint8_t parts = 1;
  double level = 0;
  std::uint64_t after_ms = 0; ///< Until it has that level.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(account, part, parts, level, after_ms);
  }
};

/// @brief State of one shard that changes hands.
struct WireShard
{
  std::uint32_t shard = 0;
  bool claims_complete = false;
  std::uint64_t empty_age_ms = 0; ///< Since its unused buckets were empty.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(shard, claims_complete, empty_age_ms);
  }
};

/// @brief Hands shards to their next holder, or claims to keep.
struct HandOver
{
  std::uint64_t map_epoch = 0;
  std::uint64_t config_version = 0; ///< By which the buckets were kept.
  bool retires = false;             ///< The sender stops for good.
  std::vector<WireShard> shards;
  std::vector<WireBucket> buckets;
  std::vector<WireClaim> claims;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(map_epoch, config_version, retires, shards, buckets, claims);
  }
};

/// @brief Answers a HandOver.
struct HandOverReply
{
  bool kept = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kept);
  }
};

/// @brief Hands witness seats to the one daemon that holds them from then on.
///
/// Answered by a HandOverReply. It is sent to another daemon only after an
/// answer that says that nothing was taken.
struct SeatTransfer
{
  std::uint64_t seq = 0; ///< Head that the giver holds.
  std::vector<MovedSeat> seats;
  std::vector<std::uint64_t> intents; ///< Open at these seats.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(seq, seats, intents);
  }
};

/// @brief Asks a daemon of a store fleet for what its view has beyond the
/// asker's.
struct FetchView
{
  std::uint64_t config_version = 0; ///< What the asker has; 0 for nothing.
  StoreVersion view_version;        ///< Of its endpoints; none for nothing.
  std::string address;              ///< Of the asker.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(config_version, view_version, address);
  }
};

/// @brief Answers a FetchView.
struct ViewReply
{
  bool known = false; ///< The daemon has a view.
  /// It has sent too much to others just now; nothing else is set but the
  /// address of a daemon that may answer, if it knows one.
  bool busy = false;
  std::string other;
  std::uint32_t age_ms = 0; ///< Since the store was asked.
  StoreVersion version;     ///< Of the endpoints.
  std::uint64_t digest = 0; ///< Of the view, see FleetView::Digest.
  StoreVersion base;        ///< Version that the endpoints follow on.
  std::vector<WireEndpoint> endpoints; ///< All of them if base is none.
  /// See EncodeFleet, or a ConfigHistory difference; empty if the asker has it.
  std::string config;
  std::uint64_t config_base = 0; ///< Of the difference; 0 for a whole text.
  std::uint64_t config_hash = 0; ///< StableHash of the whole text.
  std::vector<WireEvacuation> evacuations; ///< All known, ended ones included.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(known,
             busy,
             other,
             age_ms,
             version,
             digest,
             base,
             endpoints,
             config,
             config_base,
             config_hash,
             evacuations);
  }
};

/// @brief Requests and retries of a service in one interval of its window.
struct WindowPart
{
  std::uint32_t age_ms = 0; ///< Since the start of the interval.
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(age_ms, requests, retries);
  }
};

/// @brief What a daemon knows of the window of a service's retry budget.
struct ServiceWindow
{
  std::uint32_t service = 0; ///< Hash of its id.
  std::vector<WindowPart> parts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service, parts);
  }
};

/// @brief Asks a daemon of a store fleet for the windows of the retry budgets.
struct FetchRetries
{
  std::uint32_t window_ms = 0; ///< Length of the asker's windows.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(window_ms);
  }
};

/// @brief Answers a FetchRetries.
struct RetriesReply
{
  /// Part of the window that the daemon knows; 0 if its windows differ.
  std::uint32_t known_ms = 0;
  std::vector<ServiceWindow> services;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(known_ms, services);
  }
};

/// @brief Requests and replies that travel over TCP.
using BulkMessage = std::variant<FetchState,
                                 StateReply,
                                 CollectClaims,
                                 ClaimsReply,
                                 HandOver,
                                 HandOverReply,
                                 SeatTransfer,
                                 FetchView,
                                 ViewReply,
                                 FetchRetries,
                                 RetriesReply>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_WIRE_MESSAGES_H

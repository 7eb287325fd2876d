#include "sapphirelane/wire/codec.h"

#include <rapidcheck/catch.h>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/wire/seal.h"

namespace sapphirelane {
namespace {

class WireFixture
{
protected:
  WireFixture() { StartSecrets(); }

  static PeerMessage Sample()
  {
    Heartbeat beat;
    beat.self = { 5, "host", "dc", "127.0.0.1:1" };
    beat.seq = 9;
    beat.retired = { 1, 2, 3 };
    beat.withdrawals = { { "digest", "key", 4 } };
    return beat;
  }

  WallTime m_wall = WallTime(std::chrono::hours(400000));
  Sealer m_sender{ "a secret of the fleet", 5 };
  Sealer m_receiver{ "a secret of the fleet", 6 };
};

TEST_CASE_METHOD(WireFixture, "Codec, a message, comes back as it was")
{
  const auto decoded = DecodeMessage(EncodeMessage(Sample()));
  const auto& beat = std::get<Heartbeat>(decoded);
  CHECK(beat.self.host == "host");
  CHECK(beat.retired == std::vector<NodeId>{ 1, 2, 3 });
  CHECK(beat.withdrawals.front().version == 4);
}

TEST_CASE_METHOD(WireFixture, "Codec, a message cut off anywhere, is refused")
{
  const std::string bytes = EncodeMessage(Sample());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_THROWS_AS(DecodeMessage(bytes.substr(0, size)), WireError);
  }
  CHECK_THROWS_AS(DecodeMessage(bytes + "x"), WireError);
}

TEST_CASE_METHOD(WireFixture, "Codec, a size beyond the bytes, is refused")
{
  // A bulk reply whose string claims 2^28 bytes.
  std::string bytes = EncodeBulk(StateReply{});
  bytes[8] = '\x10';
  CHECK_THROWS_AS(DecodeBulk(bytes), WireError);
}

TEST_CASE_METHOD(WireFixture, "Codec, a truth value of 22, is refused")
{
  // Found by fuzzing: it decoded, and was encoded in another way.
  std::string bytes = EncodeMessage(TokenAnswer{ 1, true });
  bytes[bytes.size() - 10] = 22;
  CHECK_THROWS_AS(DecodeMessage(bytes), WireError);
}

TEST_CASE_METHOD(WireFixture, "Codec, any bytes, decode or are refused")
{
  rc::prop("no other outcome", [](const std::string& aBytes) {
    try {
      DecodeMessage(aBytes);
      DecodeBulk(aBytes);
    } catch (const WireError&) {
    }
  });
}

TEST_CASE_METHOD(WireFixture, "Sealer, an authentic envelope, opens once")
{
  const std::string envelope = m_sender.Seal("payload", m_wall);
  const Opened opened = m_receiver.Open(envelope, m_wall);
  CHECK(opened.sender == 5);
  CHECK(opened.payload == "payload");
  CHECK_THROWS_WITH(m_receiver.Open(envelope, m_wall),
                    "envelope was seen before");
}

TEST_CASE_METHOD(WireFixture, "Sealer, one changed bit, refuses the envelope")
{
  const std::string envelope = m_sender.Seal("payload", m_wall);
  for (std::size_t i = 0; i < envelope.size(); ++i) {
    std::string forged = envelope;
    forged[i] = static_cast<char>(forged[i] ^ 1);
    CHECK_THROWS_AS(m_receiver.Open(forged, m_wall), WireError);
  }
}

TEST_CASE_METHOD(WireFixture, "Sealer, another fleet's envelope, is refused")
{
  Sealer other("a secret of others", 5);
  CHECK_THROWS_AS(m_receiver.Open(other.Seal("payload", m_wall), m_wall),
                  WireError);
}

TEST_CASE_METHOD(WireFixture, "Sealer, an old envelope, is refused")
{
  const std::string envelope = m_sender.Seal("payload", m_wall);
  const WallTime later = m_wall + Sealer::kMostClockSkew + Milliseconds(1);
  CHECK_THROWS_AS(m_receiver.Open(envelope, later), WireError);
}

TEST_CASE_METHOD(WireFixture,
                 "Sealer, envelope overtaken by a thousand, opens once")
{
  // Threads that share a sealer overtake each other, and a large bulk reply is
  // overtaken by small ones: with a window of 64 the late one was refused.
  const std::string late = m_sender.Seal("late", m_wall);
  for (int i = 0; i < 1000; ++i) {
    m_receiver.Open(m_sender.Seal("p", m_wall), m_wall);
  }
  CHECK(m_receiver.Open(late, m_wall).payload == "late");
  CHECK_THROWS_WITH(m_receiver.Open(late, m_wall), "envelope was seen before");
}

TEST_CASE_METHOD(WireFixture, "Sealer, older than the window, is refused")
{
  const std::string late = m_sender.Seal("late", m_wall);
  for (int i = 0; i < 5000; ++i) {
    m_receiver.Open(m_sender.Seal("p", m_wall), m_wall);
  }
  CHECK_THROWS_WITH(m_receiver.Open(late, m_wall), "envelope was seen before");
}

TEST_CASE_METHOD(WireFixture, "Sealer, any order, opens each envelope once")
{
  rc::prop("late ones within the window open, doubled ones do not", [&] {
    Sealer sender("s", 1);
    Sealer receiver("s", 2);
    std::vector<std::string> envelopes;
    for (int i = 0; i < 40; ++i) {
      envelopes.push_back(sender.Seal("p", m_wall));
    }
    const auto order =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 40));
    std::vector<int> opened(40, 0);
    for (int index : order) {
      try {
        receiver.Open(envelopes[static_cast<std::size_t>(index)], m_wall);
        ++opened[static_cast<std::size_t>(index)];
      } catch (const WireError&) {
        RC_ASSERT(opened[static_cast<std::size_t>(index)] == 1);
      }
      RC_ASSERT(opened[static_cast<std::size_t>(index)] == 1);
    }
  });
}

} // namespace
} // namespace sapphirelane

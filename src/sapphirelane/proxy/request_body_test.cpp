#include "sapphirelane/proxy/request_body.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirelane {
namespace {

class RequestBodyFixture
{
protected:
  std::size_t Write(const std::string& aText)
  {
    return m_body.Write(aText.data(), aText.size());
  }

  std::string Read(RequestBody::ReaderId aReader)
  {
    std::array<char, 64> bytes{};
    std::size_t read = 0;
    m_result = m_body.Read(aReader, bytes.data(), bytes.size(), read);
    return { bytes.data(), read };
  }

  RequestBody m_body{ 8 };
  StreamResult m_result = StreamResult::Wait;
};

TEST_CASE_METHOD(RequestBodyFixture,
                 "RequestBody, two readers, each reads all of it in order",
                 "[body]")
{
  const auto first = m_body.Open();
  Write("abc");
  CHECK(Read(*first) == "abc");
  const auto second = m_body.Open();
  Write("def");
  CHECK(Read(*first) == "def");
  CHECK(Read(*second) == "abcdef");
  m_body.Finish();
  Read(*first);
  CHECK(m_result == StreamResult::End);
  Read(*second);
  CHECK(m_result == StreamResult::End);
}

TEST_CASE_METHOD(RequestBodyFixture,
                 "RequestBody, a reader is past the buffer size, can no longer "
                 "be read from its start",
                 "[body]")
{
  const auto first = m_body.Open();
  Write("01234567");
  Read(*first);
  CHECK(m_body.Open());
  m_body.Close(2);
  Write("89");
  CHECK(Read(*first) == "89");
  CHECK_FALSE(m_body.Open());
}

/// Guards against an attempt that stands still and holds up another one.
TEST_CASE_METHOD(RequestBodyFixture,
                 "RequestBody, reader is behind by more than the buffer size, "
                 "is broken off and holds up no other reader",
                 "[body]")
{
  const auto slow = m_body.Open();
  const auto fast = m_body.Open();
  CHECK(Write("0123456789") == 8);
  CHECK(Read(*fast) == "01234567");
  CHECK(Write("89") == 2);
  CHECK(Read(*fast) == "89");
  m_body.Finish();
  Read(*fast);
  CHECK(m_result == StreamResult::End);
  CHECK(Read(*slow).empty());
  CHECK(m_result == StreamResult::Broken);
}

TEST_CASE_METHOD(RequestBodyFixture,
                 "RequestBody, reader is behind by the buffer size, reads on",
                 "[body]")
{
  const auto slow = m_body.Open();
  const auto fast = m_body.Open();
  Write("01234567");
  CHECK(Read(*fast) == "01234567");
  Write("89");
  CHECK(Read(*slow) == "0123456789");
}

/// What a body may tell its readers, kept apart from RequestBody.
struct BodyModel
{
  enum class End
  {
    Open,
    Complete,
    Broken
  };

  std::size_t written = 0;
  End end = End::Open;
  bool withdrawn = false;
  std::size_t furthest = 0;
  /// Position of each reader; empty while it is closed.
  std::array<std::optional<std::size_t>, 2> positions;
};

/// Walks through all orders of what a caller, a dispatcher and two attempts do
/// to a body, up to a number of steps.
class BodyWalk
{
public:
  /// @return Number of states that were reached.
  std::size_t Run(std::size_t aSteps)
  {
    Walk(RequestBody(kBufferBytes), {}, {}, BodyModel(), aSteps);
    return m_states;
  }

private:
  static constexpr std::size_t kBufferBytes = 2;
  using Readers = std::array<RequestBody::ReaderId, 2>;

  /// Tries each event that may come next.
  void Walk(const RequestBody& aBody,
            const std::string& aOrder,
            const Readers& aReaders,
            const BodyModel& aModel,
            std::size_t aSteps)
  {
    ++m_states;
    if (aSteps == 0) {
      return;
    }
    for (const char event : std::string("wfbx01RrCc")) {
      RequestBody body = aBody;
      BodyModel model = aModel;
      Readers readers = aReaders;
      const std::string order = aOrder + event;
      if (Apply(event, body, readers, model, order)) {
        Walk(body, order, readers, model, aSteps - 1);
      }
    }
  }

  /// @return False if the event changes nothing.
  bool Apply(char aEvent,
             RequestBody& aBody,
             Readers& aReaders,
             BodyModel& aModel,
             const std::string& aOrder)
  {
    const bool open = aModel.end == BodyModel::End::Open;
    switch (aEvent) {
      case 'w':
        return open && Write(aBody, aModel, aOrder);
      case 'f':
        aBody.Finish();
        aModel.end = open ? BodyModel::End::Complete : aModel.end;
        return open;
      case 'b':
        aBody.Break();
        aModel.end = open ? BodyModel::End::Broken : aModel.end;
        return true;
      case 'x':
        aBody.Withdraw();
        return !std::exchange(aModel.withdrawn, true);
      case '0':
      case '1':
        return Open(aEvent - '0', aBody, aReaders, aModel, aOrder);
      case 'R':
      case 'r':
        return Read(aEvent == 'R' ? 0 : 1, aBody, aReaders, aModel, aOrder);
      default:
        return Close(aEvent == 'C' ? 0 : 1, aBody, aReaders, aModel);
    }
  }

  static char ByteAt(std::size_t aPosition)
  {
    return static_cast<char>('a' + aPosition);
  }

  bool Write(RequestBody& aBody,
             BodyModel& aModel,
             const std::string& aOrder) const
  {
    const char byte = ByteAt(aModel.written);
    const std::size_t taken = aBody.Write(&byte, 1);
    bool mustTake = aModel.withdrawn;
    std::size_t slowest = aModel.written;
    for (const auto& position : aModel.positions) {
      slowest = std::min(slowest, position.value_or(slowest));
      mustTake = mustTake || position;
    }
    mustTake =
      mustTake && (aModel.withdrawn || aModel.written - slowest < kBufferBytes);
    Check(taken == 1 || !mustTake, aOrder, "a byte must fit");
    aModel.written += taken;
    return taken > 0;
  }

  bool Open(int aIndex,
            RequestBody& aBody,
            Readers& aReaders,
            BodyModel& aModel,
            const std::string& aOrder) const
  {
    if (aModel.positions[aIndex]) {
      return false;
    }
    const auto reader = aBody.Open();
    Check(!reader || !aModel.withdrawn, aOrder, "a withdrawn body is opened");
    const bool mustOpen = !aModel.withdrawn && aModel.furthest <= kBufferBytes;
    Check(reader || !mustOpen, aOrder, "the start must be held");
    if (reader) {
      aReaders[aIndex] = *reader;
      aModel.positions[aIndex] = 0;
    }
    return reader.has_value();
  }

  bool Read(int aIndex,
            RequestBody& aBody,
            const Readers& aReaders,
            BodyModel& aModel,
            const std::string& aOrder) const
  {
    if (!aModel.positions[aIndex]) {
      return false;
    }
    std::size_t& position = *aModel.positions[aIndex];
    const bool allRead = position == aModel.written;
    char byte = 0;
    std::size_t read = 0;
    const StreamResult result = aBody.Read(aReaders[aIndex], &byte, 1, read);
    switch (result) {
      case StreamResult::Some:
        Check(read == 1 && !allRead && byte == ByteAt(position),
              aOrder,
              "another byte is due");
        ++position;
        aModel.furthest = std::max(aModel.furthest, position);
        break;
      case StreamResult::End:
        Check(allRead && aModel.end == BodyModel::End::Complete,
              aOrder,
              "a part is taken for the whole");
        break;
      case StreamResult::Broken:
        Check(aModel.withdrawn || aModel.furthest - position > kBufferBytes ||
                (allRead && aModel.end == BodyModel::End::Broken),
              aOrder,
              "a sound body is broken off");
        break;
      case StreamResult::Wait:
        Check(allRead && aModel.end == BodyModel::End::Open,
              aOrder,
              "the reader waits in vain");
        break;
    }
    Check(!aModel.withdrawn || result == StreamResult::Broken,
          aOrder,
          "a withdrawn body is read");
    return result == StreamResult::Some;
  }

  static bool Close(int aIndex,
                    RequestBody& aBody,
                    const Readers& aReaders,
                    BodyModel& aModel)
  {
    if (!aModel.positions[aIndex]) {
      return false;
    }
    aBody.Close(aReaders[aIndex]);
    aModel.positions[aIndex].reset();
    return true;
  }

  /// Fails the test with the order of events that led here.
  static void Check(bool aHolds, const std::string& aOrder, const char* aRule)
  {
    if (!aHolds) {
      FAIL(aRule << " after " << aOrder);
    }
  }

  std::size_t m_states = 0;
};

/// Guards against a body that is cut and looks whole, and against two attempts
/// that take bytes from each other.
TEST_CASE("RequestBody, any order of events, never ends in part and never "
          "skips or repeats a byte",
          "[body]")
{
  const std::size_t states = BodyWalk().Run(10);
  CAPTURE(states);
  CHECK(states > 1000000);
}

} // namespace
} // namespace sapphirelane

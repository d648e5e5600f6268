// Guards against callers that stop short of the end of their requests, or send a byte now and then,
// and keep all other requests from the memory for as long as their connections stay open.
#include "decisions/RequestAdmission.h"
#include "support/SlowCaller.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t MaxBytes = 4'000'000;
/// Half of the part that calls of callers may use of the long share.
constexpr std::size_t HalfBytes = 1'312'500;
constexpr Duration StallTime = RequestAdmission::StallTime;
constexpr Duration CheckInterval = RequestAdmission::CheckInterval;

RequestNeed longNeed(std::size_t bytes)
{
    return {RequestShare::Long, bytes};
}

/// Unfinished requests and a clock.
struct AdmissionFixture
{
    RequestNumber begin(const RequestNeed &need)
    {
        const RequestNumber number = admission.begin(now);
        REQUIRE(admission.reserve(number, need, 1));
        return number;
    }

    /// Checks until some time has passed.
    /// \return the requests that were given up.
    std::vector<RequestNumber> check(Duration time)
    {
        std::vector<RequestNumber> all;
        for (const TimePoint end = now + time; now < end;) {
            now += CheckInterval;
            const auto givenUp = admission.giveUpStalled(now);
            all.insert(all.end(), givenUp.begin(), givenUp.end());
        }
        return all;
    }

    void end(RequestNumber number) { admission.release(admission.remove(number)); }

    RequestAdmission admission {MaxBytes};
    TimePoint now {1h};
};

std::string uploadHead(std::size_t bytes)
{
    return "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n";
}

} // namespace

TEST_CASE("a stalled request is given up for one that waits, and only then")
{
    AdmissionFixture fixture;
    const RequestNumber stalled = fixture.begin(longNeed(2 * HalfBytes));
    CHECK(fixture.check(2 * StallTime).empty());
    const RequestNumber waiting = fixture.admission.begin(fixture.now);
    CHECK_FALSE(fixture.admission.reserve(waiting, longNeed(1000), 1000));
    CHECK(fixture.check(2 * StallTime) == std::vector {stalled});
    CHECK(fixture.admission.grantWaiting(fixture.now).empty());
    fixture.end(stalled);
    CHECK(fixture.admission.grantWaiting(fixture.now) == std::vector {waiting});
    CHECK_FALSE(fixture.admission.hasWaiting());
}

TEST_CASE("the request with the least progress goes first, and no more than are needed")
{
    AdmissionFixture fixture;
    const RequestNumber slow = fixture.begin(longNeed(HalfBytes));
    const RequestNumber slower = fixture.begin(longNeed(HalfBytes));
    fixture.admission.received(slow, 2, fixture.now);
    fixture.admission.received(slower, 1, fixture.now);
    const RequestNumber waiting = fixture.admission.begin(fixture.now);
    CHECK_FALSE(fixture.admission.reserve(waiting, longNeed(HalfBytes), 1000));
    CHECK(fixture.check(2 * StallTime) == std::vector {slower});
}

TEST_CASE("a request that arrives at the minimum rate is not given up, and one that trickles is")
{
    AdmissionFixture fixture;
    const RequestNumber flowing = fixture.begin(longNeed(HalfBytes));
    const RequestNumber trickling = fixture.begin(longNeed(HalfBytes));
    const RequestNumber waiting = fixture.admission.begin(fixture.now);
    CHECK_FALSE(fixture.admission.reserve(waiting, longNeed(2 * HalfBytes), 1000));
    std::vector<RequestNumber> givenUp;
    for (int i = 0; i < 40; ++i) {
        fixture.admission.received(flowing, RequestAdmission::MinProgressBytes / 4, fixture.now);
        fixture.admission.received(trickling, 1, fixture.now);
        const auto next = fixture.check(CheckInterval);
        givenUp.insert(givenUp.end(), next.begin(), next.end());
    }
    CHECK(givenUp == std::vector {trickling});
}

TEST_CASE("requests that all wait for more do not wait for each other without end")
{
    AdmissionFixture fixture;
    const RequestNumber complete = fixture.begin(longNeed(1000));
    const RequestNumber large = fixture.begin(longNeed(HalfBytes));
    const RequestNumber small = fixture.begin(longNeed(HalfBytes - 2000));
    const ReservedRequest memory = fixture.admission.remove(complete);
    CHECK_FALSE(fixture.admission.reserve(large, longNeed(2 * HalfBytes), 1000));
    CHECK_FALSE(fixture.admission.reserve(small, longNeed(2 * HalfBytes), 1000));
    CHECK(fixture.check(2 * StallTime).empty());
    fixture.admission.release(memory);
    CHECK(fixture.check(CheckInterval) == std::vector {small});
    fixture.end(small);
    CHECK(fixture.admission.grantWaiting(fixture.now) == std::vector {large});
}

TEST_CASE("a request that can complete first gets memory first")
{
    AdmissionFixture fixture;
    const RequestNumber held = fixture.begin(longNeed(2 * HalfBytes));
    const RequestNumber far = fixture.admission.begin(fixture.now);
    const RequestNumber near = fixture.admission.begin(fixture.now);
    CHECK_FALSE(fixture.admission.reserve(far, longNeed(2 * HalfBytes), 2000));
    CHECK_FALSE(fixture.admission.reserve(near, longNeed(2 * HalfBytes), 1000));
    fixture.end(held);
    CHECK(fixture.admission.grantWaiting(fixture.now) == std::vector {near});
}

TEST_CASE("an upload is served while callers stop one byte short of the end of theirs")
{
    CallersFixture fixture(MaxBytes);
    std::vector<std::unique_ptr<SlowCaller>> crowd;
    for (int i = 0; i < 8; ++i) {
        crowd.push_back(std::make_unique<SlowCaller>(fixture));
        crowd.back()->sendAll(uploadHead(HalfBytes) + std::string(HalfBytes - 1, 'b'));
    }
    SlowCaller ordinary(fixture);
    ordinary.sendAll(uploadHead(200'000) + std::string(200'000, 'b'));
    ordinary.readFor(2s, "done");
    CHECK(ordinary.received.starts_with("HTTP/1.1 200"));
    CHECK(fixture.answered == 1);
    // Those that are given up get their answers.
    crowd.front()->readFor(1s);
    CHECK(crowd.front()->received.starts_with("HTTP/1.1 503"));
    CHECK(crowd.front()->received.find("not-run") != std::string::npos);
}

TEST_CASE("a short request is served while callers stop one byte short of the end of theirs")
{
    constexpr std::size_t BodyBytes = 60'000;
    CallersFixture fixture(MaxBytes);
    std::vector<std::unique_ptr<SlowCaller>> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(std::make_unique<SlowCaller>(fixture));
        crowd.back()->sendAll(uploadHead(BodyBytes) + std::string(BodyBytes - 1, 'b'));
    }
    SlowCaller ordinary(fixture);
    ordinary.sendAll(uploadHead(BodyBytes) + std::string(BodyBytes, 'b'));
    ordinary.readFor(2s, "done");
    CHECK(ordinary.received.starts_with("HTTP/1.1 200"));
}

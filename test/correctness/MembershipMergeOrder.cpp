// Guards against member lists that differ permanently because records arrived in a different order
// or more than once.
#include "decisions/MemberRecord.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace Coltsfootwell;

namespace {

/// Generates records with few values for each field, so that equal values are frequent. The other
/// fields are determined by incarnation and sequence, because only the daemon itself changes them.
rc::Gen<MemberRecord> anyRecord()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 4),
                       rc::gen::inRange(0, 2), rc::gen::inRange(0, 2),
                       rc::gen::container<std::vector<std::string>>(
                           rc::gen::element<std::string>("a", "b", "c", "d", "e"))),
        [](const std::tuple<int, int, int, int, int, std::vector<std::string>> &values) {
            const auto &[incarnation, sequence, state, leaving, port, observers] = values;
            MemberRecord record;
            record.member.id = {"daemon", static_cast<Incarnation>(incarnation)};
            record.member.sequence = static_cast<std::uint64_t>(sequence);
            record.member.state = static_cast<MemberState>(state);
            record.member.leaving = leaving == 1;
            record.member.endpoint.port = static_cast<std::uint16_t>(port);
            record.observers = observers;
            record = normalized(std::move(record));
            record.observers.resize(std::min(record.observers.size(), MemberRecord::MaxObservers));
            return record;
        });
}

void check(const std::function<void()> &property)
{
    CHECK(rc::check(property));
}

} // namespace

TEST_CASE("merging is commutative, associative and idempotent")
{
    check([] {
        const MemberRecord a = *anyRecord();
        const MemberRecord b = *anyRecord();
        const MemberRecord c = *anyRecord();
        RC_ASSERT(merged(a, b) == merged(b, a));
        RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
        RC_ASSERT(merged(a, a) == a);
        RC_ASSERT(merged(merged(a, b), b) == merged(a, b));
    });
}

TEST_CASE("a leaving record is never replaced by a suspicion of the same incarnation")
{
    check([] {
        MemberRecord leaving = *anyRecord();
        leaving.member.leaving = true;
        leaving.member.state = MemberState::Alive;
        leaving = normalized(leaving);
        MemberRecord suspicion = *anyRecord();
        suspicion.member.id.incarnation = leaving.member.id.incarnation;
        suspicion.member.leaving = false;
        suspicion.member.state = MemberState::Suspect;
        RC_ASSERT(merged(leaving, normalized(suspicion)) == leaving);
    });
}

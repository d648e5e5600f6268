#include "decisions/MemberRecord.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Coltsfootwell {

namespace {

/// Keeps the smallest names, so that the result does not depend on the order of merging.
std::vector<std::string> mergedObservers(const std::vector<std::string> &first,
                                         const std::vector<std::string> &second)
{
    std::vector<std::string> all;
    std::ranges::set_union(first, second, std::back_inserter(all));
    all.resize(std::min(all.size(), MemberRecord::MaxObservers));
    return all;
}

} // namespace

bool isDown(const Member &member)
{
    return member.state == MemberState::Unreachable || member.state == MemberState::Left;
}

bool supersedes(const Member &first, const Member &second)
{
    const auto rank = [](const Member &member) {
        return std::tuple(member.id.incarnation, member.leaving, member.sequence, member.state);
    };
    return rank(first) != rank(second) ? rank(first) > rank(second)
                                       : first.endpoint > second.endpoint;
}

MemberRecord normalized(MemberRecord record)
{
    Member &member = record.member;
    member.leaving = member.leaving || member.state == MemberState::Left;
    if (member.leaving && member.state == MemberState::Suspect) {
        member.state = MemberState::Alive;
    }
    if (member.leaving && member.state == MemberState::Unreachable) {
        member.state = MemberState::Left;
    }
    if (member.state == MemberState::Alive || member.state == MemberState::Left) {
        record.observers.clear();
    }
    if (!isDown(member)) {
        record.downFor = {};
    }
    std::ranges::sort(record.observers);
    record.observers.erase(std::unique(record.observers.begin(), record.observers.end()),
                           record.observers.end());
    return record;
}

MemberRecord merged(const MemberRecord &first, const MemberRecord &second)
{
    if (supersedes(second.member, first.member)) {
        return second;
    }
    MemberRecord result = first;
    if (!supersedes(first.member, second.member)) {
        result.observers = mergedObservers(first.observers, second.observers);
        result.downFor = std::max(first.downFor, second.downFor);
    }
    return result;
}

} // namespace Coltsfootwell

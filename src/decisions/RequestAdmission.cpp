#include "decisions/RequestAdmission.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Coltsfootwell {

RequestNumber RequestAdmission::begin(TimePoint now)
{
    Unfinished request;
    request.progressAt = now;
    m_unfinished.emplace_hint(m_unfinished.end(), ++m_lastNumber, request);
    return m_lastNumber;
}

bool RequestAdmission::reserve(RequestNumber number, const RequestNeed &need,
                               std::uint64_t missingBytes)
{
    Unfinished &request = m_unfinished.at(number);
    if (m_budget.tryGrow(request.reserved, need)) {
        return true;
    }
    request.waiting = true;
    const std::uint64_t rank = need.share == RequestShare::Short ? need.bytes : missingBytes;
    request.turn = {need.share, !need.nested, rank, number};
    m_waiting.emplace(request.turn, need);
    return false;
}

void RequestAdmission::charge(RequestNumber number, std::size_t bytes)
{
    ReservedRequest &reserved = m_unfinished.at(number).reserved;
    m_budget.release(reserved);
    reserved.bytes = bytes;
    m_budget.add(reserved);
}

void RequestAdmission::stopWaiting(RequestNumber number)
{
    if (Unfinished &request = m_unfinished.at(number); std::exchange(request.waiting, false)) {
        m_waiting.erase(request.turn);
    }
}

void RequestAdmission::received(RequestNumber number, std::size_t bytes, TimePoint now)
{
    Unfinished &request = m_unfinished.at(number);
    request.bytesSince += bytes;
    if (request.bytesSince >= MinProgressBytes) {
        request.bytesSince = 0;
        request.progressAt = now;
        request.stalled = false;
    }
}

ReservedRequest RequestAdmission::remove(RequestNumber number)
{
    stopWaiting(number);
    return m_unfinished.extract(number).mapped().reserved;
}

std::vector<RequestNumber> RequestAdmission::grantWaiting(TimePoint now)
{
    std::vector<RequestNumber> granted;
    auto it = m_waiting.begin();
    while (it != m_waiting.end()) {
        const Turn turn = it->first;
        Unfinished &request = m_unfinished.at(turn.number);
        if (!m_budget.tryGrow(request.reserved, it->second)) {
            // The others of this kind have a later turn.
            it = std::ranges::find_if(it, m_waiting.end(), [&turn](const auto &item) {
                return item.first.share != turn.share
                    || item.first.callOfCaller != turn.callOfCaller;
            });
            continue;
        }
        request.waiting = false;
        request.stalled = false;
        request.bytesSince = 0;
        request.progressAt = now;
        granted.push_back(turn.number);
        it = m_waiting.erase(it);
    }
    return granted;
}

std::vector<RequestNumber> RequestAdmission::giveUpStalled(TimePoint now)
{
    std::vector<RequestNumber> givenUp;
    giveUpStalled(RequestShare::Short, givenUp, now);
    giveUpStalled(RequestShare::Long, givenUp, now);
    return givenUp;
}

void RequestAdmission::giveUpStalled(RequestShare share, std::vector<RequestNumber> &givenUp,
                                     TimePoint now)
{
    std::size_t lacking = lackingBytes(share);
    std::vector<std::pair<RequestNumber, const Unfinished *>> stalled;
    std::size_t waitingBytes = 0;
    std::size_t freedBytes = 0;
    for (auto &[number, request] : m_unfinished) {
        if (request.reserved.share != share || request.reserved.bytes == 0) {
            continue;
        }
        if (request.givenUp) {
            freedBytes += request.reserved.bytes;
        } else if (request.waiting) {
            waitingBytes += request.reserved.bytes;
            stalled.emplace_back(number, &request);
        } else if (isStalled(request, now)) {
            stalled.emplace_back(number, &request);
        }
    }
    // Requests that wait for memory cannot make progress, so they come last, and only if nothing
    // else will release any.
    const bool canWait = m_budget.reserved(share) > waitingBytes;
    std::ranges::sort(stalled, [](const auto &left, const auto &right) {
        const auto key = [](const Unfinished &request) {
            return std::tuple(request.waiting,
                              request.waiting ? request.reserved.bytes : request.bytesSince,
                              request.progressAt);
        };
        return key(*left.second) < key(*right.second);
    });
    for (const auto &[number, request] : stalled) {
        if (freedBytes >= lacking || (request->waiting && canWait)) {
            break;
        }
        freedBytes += request->reserved.bytes;
        giveUp(number, givenUp);
        if (request->waiting) {
            break;
        }
    }
}

std::size_t RequestAdmission::lackingBytes(RequestShare share) const
{
    std::size_t bytes = 0;
    for (const auto &[turn, need] : m_waiting) {
        if (turn.share == share) {
            const ReservedRequest &reserved = m_unfinished.at(turn.number).reserved;
            bytes += need.bytes - (reserved.share == share ? reserved.bytes : 0);
        }
    }
    return bytes;
}

/// A request is stalled if two checks in a row find it so: after a pause of the whole process, its
/// bytes may be there and not read yet.
bool RequestAdmission::isStalled(Unfinished &request, TimePoint now)
{
    const bool tooSlow = now - request.progressAt >= StallTime;
    return std::exchange(request.stalled, tooSlow) && tooSlow;
}

void RequestAdmission::giveUp(RequestNumber number, std::vector<RequestNumber> &givenUp)
{
    m_unfinished.at(number).givenUp = true;
    givenUp.push_back(number);
}

} // namespace Coltsfootwell

#include "services/Claims.h"

#include "decisions/ClaimFold.h"
#include "services/ClaimMessages.h"
#include "services/LogMessages.h"
#include "services/ServiceNames.h"
#include "wire/CallEnvelope.h"
#include "wire/ClaimJson.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

/// Few claims share a partition, so that reading one whole costs little.
constexpr unsigned Partitions = 4096;
constexpr std::uint32_t RecordsPerRead = 256;
/// Claims in progress beyond this number are refused, so that a slow log holds no memory.
constexpr std::size_t MaxInProgress = 1000;

std::string streamOf(std::string_view key)
{
    std::array<char, 16> buf {};
    std::snprintf(buf.data(), buf.size(), "claims-%04u",
                  static_cast<unsigned>(XXH64(key.data(), key.size(), 0) % Partitions));
    return buf.data();
}

std::string hashOf(std::string_view key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return attemptText({hash.high64, hash.low64});
}

class Claims final : public Service
{
public:
    Claims(Kernel &kernel, DaemonId self)
        : m_kernel(kernel), m_self(std::move(self)),
          m_mailbox(kernel.executor(), [this](ClaimKey claim) { handle(std::move(claim)); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Claims; }

    std::error_code start() override
    {
        // Without a log, claims are answered as "log not reachable".
        std::error_code ec;
        m_log = m_kernel.directory().find<LogMessage>(ServiceName::Log, ec);
        return {};
    }

    void stop(Task done) override
    {
        m_claims.clear();
        done();
    }

private:
    struct InProgress
    {
        std::string stream;
        ClaimFold fold;
        Reply<KeyClaimed> reply;
    };

    void handle(ClaimKey claim)
    {
        if (m_claims.size() >= MaxInProgress) {
            claim.reply(KeyClaimed {});
            return;
        }
        const std::uint64_t number = ++m_last;
        const std::string id = attemptText({m_kernel.random().next(), m_kernel.random().next()});
        const std::string hash = hashOf(claim.key);
        const std::string stream = streamOf(claim.key);
        m_claims.emplace(number, InProgress {stream, ClaimFold(hash), std::move(claim.reply)});
        AppendRecord append {stream, id, encodeClaim({id, hash, m_self}), {}};
        // Whether or not the append was confirmed, the partition tells if the claim is there.
        append.reply = Reply<RecordAppended>(
            m_kernel.executor(),
            [this, number](const std::optional<RecordAppended> &) { read(number, 0); });
        m_log.send(std::move(append));
    }

    void read(std::uint64_t number, std::uint64_t from)
    {
        const auto it = m_claims.find(number);
        if (it == m_claims.end()) {
            return;
        }
        ReadRecords message {it->second.stream, from, RecordsPerRead, {}};
        message.reply = Reply<RecordsRead>(m_kernel.executor(),
                                           [this, number](const std::optional<RecordsRead> &part) {
                                               fold(number, part.value_or(RecordsRead {}));
                                           });
        m_log.send(std::move(message));
    }

    void fold(std::uint64_t number, const RecordsRead &part)
    {
        const auto it = m_claims.find(number);
        if (it == m_claims.end()) {
            return;
        }
        for (const StreamRecord &record : part.records) {
            if (const auto claim = decodeClaim(record.bytes)) {
                it->second.fold.add(*claim);
            }
        }
        const std::optional<DaemonId> winner = it->second.fold.winner();
        if (!winner && part.reached && !part.records.empty()) {
            read(number, part.records.back().offset + 1);
            return;
        }
        it->second.reply(KeyClaimed {winner});
        m_claims.erase(it);
    }

    Kernel &m_kernel;
    DaemonId m_self;
    Address<LogMessage> m_log;
    std::unordered_map<std::uint64_t, InProgress> m_claims;
    std::uint64_t m_last = 0;
    Mailbox<ClaimKey> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeClaims(Kernel &kernel, DaemonId self)
{
    return std::make_unique<Claims>(kernel, std::move(self));
}

} // namespace Coltsfootwell

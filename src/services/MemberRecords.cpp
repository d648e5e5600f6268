#include "services/MemberRecords.h"

namespace Coltsfootwell {

namespace {

constexpr std::uint32_t RecordsPerRead = 500;
constexpr std::chrono::seconds LogTimeout {1};
constexpr std::chrono::seconds RetryDelay {1};

struct MembersRead
{
    LogClient &log;
    Duration timeout;
    std::function<void(std::error_code, const MemberTable &)> done;
    MemberTable members;
};

void readPart(const std::shared_ptr<MembersRead> &read, std::uint64_t from)
{
    read->log.read(MembersStream, from, RecordsPerRead, std::chrono::milliseconds(0), read->timeout,
                   [read, from](ReadResult result) {
                       if (result.ec) {
                           read->done(result.ec, read->members);
                           return;
                       }
                       std::uint64_t next = std::max(from, result.part.first);
                       for (const LogRecord &record : result.part.records) {
                           next = record.offset + 1;
                           if (auto member = decodeMember(record.content)) {
                               MemberRecord &known = read->members[member->id.name];
                               if (member->id.incarnation >= known.id.incarnation) {
                                   known = std::move(*member);
                               }
                           }
                       }
                       if (next < result.part.next && !result.part.records.empty()) {
                           readPart(read, next);
                       } else {
                           read->done({}, read->members);
                       }
                   });
}

} // namespace

void readMembers(LogClient &log, Duration timeout,
                 std::function<void(std::error_code, const MemberTable &)> done)
{
    readPart(std::make_shared<MembersRead>(MembersRead {log, timeout, std::move(done), {}}), 0);
}

MemberRecords::MemberRecords(Executor &executor, LogClient &log, MemberRecord self,
                             Duration renewal, std::function<void(std::vector<Endpoint>)> learned)
    : m_executor(executor), m_log(log), m_self(std::move(self)), m_renewal(renewal),
      m_learned(std::move(learned))
{
}

MemberRecords::~MemberRecords()
{
    m_executor.cancel(m_timer);
}

void MemberRecords::start()
{
    m_executor.cancel(m_timer);
    m_round = std::make_shared<bool>(true);
    append();
}

void MemberRecords::append()
{
    const std::string id = m_self.id.name + '/' + std::to_string(m_self.id.incarnation);
    // A second record after a lost answer does no harm.
    m_log.append(MembersStream, id, encodeMember(m_self), LogTimeout,
                 [this, round = std::weak_ptr(m_round)](AppendResult result) {
                     if (round.expired()) {
                         return;
                     }
                     result.ec ? again(RetryDelay, &MemberRecords::append) : read();
                 });
}

void MemberRecords::read()
{
    readMembers(
        m_log, LogTimeout,
        [this, round = std::weak_ptr(m_round)](std::error_code ec, const MemberTable &members) {
            if (round.expired()) {
                return;
            }
            if (ec) {
                again(RetryDelay, &MemberRecords::read);
                return;
            }
            std::vector<Endpoint> endpoints;
            for (const auto &[name, member] : members) {
                if (name != m_self.id.name) {
                    endpoints.push_back(member.endpoint);
                }
            }
            m_learned(std::move(endpoints));
            again(m_renewal, &MemberRecords::append);
        });
}

void MemberRecords::again(Duration delay, void (MemberRecords::*step)())
{
    m_timer = m_executor.after(delay, [this, step] { (this->*step)(); });
}

} // namespace Coltsfootwell

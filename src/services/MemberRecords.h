// Makes this daemon's address known through the log stream "members", and learns those of others.
#pragma once

#include "kernel/Executor.h"
#include "services/LogClient.h"
#include "wire/ConfigurationRecordJson.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief The newest record of each daemon in the stream.
using MemberTable = std::map<std::string, MemberRecord, std::less<>>;

/// \brief Reads the whole stream "members".
/// \param log outlives the read.
/// \param timeout longest wait for each part.
/// \param done gets the newest record of each daemon, or the error of the first failed read.
void readMembers(LogClient &log, Duration timeout,
                 std::function<void(std::error_code, const MemberTable &)> done);

/// \brief Writes this daemon's record and reads the others', again after failures and before the
/// record expires.
class MemberRecords
{
public:
    /// \param executor runs the timers.
    /// \param log client of the log.
    /// \param self own record.
    /// \param renewal time after which the own record is written again.
    /// \param learned gets the addresses of the other daemons.
    MemberRecords(Executor &executor, LogClient &log, MemberRecord self, Duration renewal,
                  std::function<void(std::vector<Endpoint>)> learned);
    ~MemberRecords();

    /// \brief Begins, or begins again when the log has lost its records.
    void start();

private:
    void append();
    void read();
    void again(Duration delay, void (MemberRecords::*step)());

    Executor &m_executor;
    LogClient &m_log;
    MemberRecord m_self;
    Duration m_renewal;
    std::function<void(std::vector<Endpoint>)> m_learned;
    TimerId m_timer = 0;
    /// Replaced by each start(), so that answers to earlier questions find out.
    std::shared_ptr<bool> m_round;
};

} // namespace Coltsfootwell

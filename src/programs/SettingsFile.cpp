#include "programs/SettingsFile.h"

#include "programs/ProgramFiles.h"
#include "wire/WireError.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Interval at which an incomplete file is read again.
constexpr milliseconds RereadInterval {50};
/// Number of times that a file is read. Writing it takes much less than the 2 s that result.
constexpr int MaxReads = 40;

/// \return true if the file may be complete when it is read again.
bool mayBeIncomplete(const std::error_code &ec)
{
    return ec == WireError::BadJson || ec == std::errc::no_such_file_or_directory;
}

} // namespace

LoadedSettings loadStartupSettings(const std::string &file, JsonFault &fault, std::error_code &ec)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    LoadedSettings loaded;
    for (int n = 1; n <= MaxReads; ++n) {
        fault = {};
        loaded.text = readFile(file, ec);
        if (!ec) {
            loaded.settings = decodeSettings(loaded.text, fault, ec);
        }
        if (!mayBeIncomplete(ec) || n == MaxReads) {
            break;
        }
        timer.expires_after(RereadInterval);
        timer.wait();
    }
    return loaded;
}

} // namespace Coltsfootwell

#include "programs/ProgramFiles.h"

#include <cerrno>
#include <fstream>
#include <sstream>

namespace Coltsfootwell {

std::string readFile(const std::string &path, std::error_code &ec)
{
    ec.clear();
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    // The insertion fails if there is nothing to insert.
    const bool isEmpty = file && file.peek() == std::ifstream::traits_type::eof() && !file.bad();
    if (!isEmpty && (!file || !(content << file.rdbuf()))) {
        ec = {errno != 0 ? errno : EIO, std::generic_category()};
    }
    return content.str();
}

void writeFile(const std::string &path, std::string_view content, std::error_code &ec)
{
    ec.clear();
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    if (!file.write(content.data(), static_cast<std::streamsize>(content.size())).flush()) {
        ec = {errno != 0 ? errno : EIO, std::generic_category()};
    }
}

} // namespace Coltsfootwell

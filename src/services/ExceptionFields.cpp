#include "services/ExceptionFields.h"

#include "services/LogOutput.h"

#include <boost/core/demangle.hpp>

#include <typeinfo>

namespace Coltsfootwell {

namespace {

std::string describe(const std::exception_ptr &error)
{
    if (!error) {
        return "type=none";
    }
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &e) {
        return "type=" + logValue(boost::core::demangle(typeid(e).name()))
            + " what=" + logValue(e.what());
    } catch (...) {
        return "type=unknown";
    }
}

} // namespace

std::string exceptionFields(const std::exception_ptr &error) noexcept
{
    try {
        return describe(error);
    } catch (...) {
        return {};
    }
}

} // namespace Coltsfootwell

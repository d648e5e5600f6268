#include "wire/TextCompression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace Coltsfootwell {

namespace {

constexpr int CompressionLevel = 3;
/// Range of window sizes, as base-2 logarithms, that zstd accepts by default.
constexpr int MinWindowLog = 10;
constexpr int MaxWindowLog = 27;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// \param bytes size of the base and the text, which the window must span.
/// \return base-2 logarithm of the window size.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), MinWindowLog, MaxWindowLog);
}

} // namespace

std::string compressText(std::string_view text, std::string_view base)
{
    const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog(text.size() + base.size()));
    // The checksum detects decompression with a base other than the one used here.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size
        = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    bytes.resize(ZSTD_isError(size) ? 0 : size);
    return bytes;
}

std::optional<std::string> decompressText(std::string_view bytes, std::string_view base,
                                          std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes) {
        return std::nullopt;
    }
    const Decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, MaxWindowLog);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(size, '\0');
    const std::size_t written
        = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) || written != size) {
        return std::nullopt;
    }
    return text;
}

} // namespace Coltsfootwell

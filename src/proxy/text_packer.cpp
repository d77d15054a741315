#include "proxy/text_packer.hpp"

#include <zstd.h>

#include <memory>
#include <new>

namespace caperjunction::proxy {
namespace {

/// Takes a few milliseconds for some hundred kilobytes.
constexpr int compression_level = 3;
/// Base and text must fit into one window for matches to be found; 4 MB, as a
/// power of two.
constexpr int window_log = 22;

struct context_deleter
{
    void operator()(ZSTD_CCtx* context) const
    {
        ZSTD_freeCCtx(context);
    }

    void operator()(ZSTD_DCtx* context) const
    {
        ZSTD_freeDCtx(context);
    }
};

} // namespace

std::string pack_text(std::string_view text, std::string_view base)
{
    std::unique_ptr<ZSTD_CCtx, context_deleter> const context(
        ZSTD_createCCtx());
    if (!context) {
        throw std::bad_alloc();
    }
    ZSTD_CCtx_setParameter(
        context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
    if (!base.empty()) {
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    std::size_t const size = ZSTD_compress2(
        context.get(), packed.data(), packed.size(), text.data(), text.size());
    // The buffer is large enough for any text, so only memory can be short.
    if (ZSTD_isError(size) != 0) {
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

std::optional<std::string> unpack_text(std::string_view packed,
                                       std::string_view base,
                                       std::size_t max_bytes)
{
    auto const size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    // The two special values, unknown and error, exceed any size.
    if (size > max_bytes) {
        return std::nullopt;
    }
    std::unique_ptr<ZSTD_DCtx, context_deleter> const context(
        ZSTD_createDCtx());
    if (!context) {
        throw std::bad_alloc();
    }
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    std::size_t const written = ZSTD_decompressDCtx(
        context.get(), text.data(), text.size(), packed.data(), packed.size());
    if (written != text.size()) {
        return std::nullopt;
    }
    return text;
}

} // namespace caperjunction::proxy

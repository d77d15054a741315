#ifndef CAPERJUNCTION_TESTS_PROXY_ALLOCATED_BYTES_HPP
#define CAPERJUNCTION_TESTS_PROXY_ALLOCATED_BYTES_HPP

#include <malloc.h>

#include <cstddef>

namespace caperjunction::test {

/// Returns the bytes that this process has allocated; 0 under sanitizers, which
/// have an allocator of their own.
inline std::size_t allocated_bytes()
{
    auto const heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

} // namespace caperjunction::test

#endif

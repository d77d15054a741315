#ifndef CAPERJUNCTION_PROGRAM_BUILD_VERSION_HPP
#define CAPERJUNCTION_PROGRAM_BUILD_VERSION_HPP

namespace caperjunction::program {

/// Returns the commit that this program was built from, `-dirty` behind it if
/// files had been changed since; without a commit `sources-` and a hash of the
/// sources. Defined by a file that each build writes.
char const* build_version();

} // namespace caperjunction::program

#endif

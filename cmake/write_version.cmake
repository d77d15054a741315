# Writes OUTPUT, which defines the version of the sources in SOURCE: the commit,
# or without one a hash of the files. Run by each build; leaves a file alone that
# says the same already.
function(read_commit result)
    set(${result} "" PARENT_SCOPE)
    find_program(GIT git)
    if(NOT GIT OR NOT EXISTS ${SOURCE}/.git)
        return()
    endif()
    execute_process(COMMAND ${GIT} -C ${SOURCE} describe --always --dirty
        --abbrev=12 --match=none
        OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE
        RESULT_VARIABLE failed ERROR_QUIET)
    if(NOT failed)
        set(${result} ${commit} PARENT_SCOPE)
    endif()
endfunction()

function(hash_sources result)
    file(GLOB_RECURSE files RELATIVE ${SOURCE}
        ${SOURCE}/src/*.?pp ${SOURCE}/platform/*.?pp)
    list(SORT files)
    set(all "")
    foreach(name ${files})
        file(SHA256 ${SOURCE}/${name} one)
        string(APPEND all "${name} ${one}\n")
    endforeach()
    string(SHA256 hash "${all}")
    string(SUBSTRING ${hash} 0 12 hash)
    set(${result} sources-${hash} PARENT_SCOPE)
endfunction()

read_commit(version)
if(NOT version)
    hash_sources(version)
endif()
file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT [[
#include "program/build_version.hpp"

namespace caperjunction::program {

char const* build_version()
{
    return "@version@";
}

} // namespace caperjunction::program
]])

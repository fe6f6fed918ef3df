# Runs COMMAND in the current directory and compares its exit code with CODE
# and the output that STREAM names (stdout or stderr) with the file EXPECTED.
separate_arguments(Command UNIX_COMMAND "${COMMAND}")
execute_process(COMMAND ${Command} RESULT_VARIABLE Code
                OUTPUT_VARIABLE stdout ERROR_VARIABLE stderr)
if(NOT Code STREQUAL "${CODE}")
  message(FATAL_ERROR "exit code ${Code} instead of ${CODE}\n${stderr}")
endif()
file(READ ${EXPECTED} Wanted)
if(NOT "${${STREAM}}" STREQUAL "${Wanted}")
  message(FATAL_ERROR "output differs from ${EXPECTED}:\n${${STREAM}}")
endif()

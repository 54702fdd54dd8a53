package org.snipeslip.cli;

/** Exit codes of all commands; codes of 64 and above follow sysexits.h. */
enum ExitCode {
    OK(0, "done"),
    FAILED(1, "failed, or not found"),
    FAULTS(2, "the configuration has faults"),
    USAGE(64, "wrong command line"),
    BAD_INPUT(65, "a file cannot be read, or the settings have faults"),
    UNAVAILABLE(69, "no answer from the object API or the operator port"),
    CONFLICT(75, "another publication came first: read, merge and try again");

    private final int code;
    private final String description;

    ExitCode(int code, String description) {
        this.code = code;
        this.description = description;
    }

    int code() {
        return code;
    }

    static String describeAll() {
        StringBuilder text = new StringBuilder("Exit codes:\n");
        for (ExitCode exitCode : values()) {
            text.append("  %-3d %s%n".formatted(exitCode.code, exitCode.description));
        }
        return text.toString();
    }
}

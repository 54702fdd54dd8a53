package org.snipeslip.server.http;

import org.snipeslip.core.call.LoadReport;

/**
 * Parses the load header: in-flight calls, slots and the flags "d" (draining) and "c" (cold), for
 * example "3/4;d;c".
 */
public final class LoadHeader {
    private LoadHeader() {}

    /**
     * Parses a header value. A malformed value counts as no report: a wrong load report may mislead
     * load balancing, but must not make the call fail.
     *
     * @param value header value, or null if the header is absent
     * @return the report, or {@link LoadReport#UNKNOWN} if it is absent or malformed
     */
    public static LoadReport parse(String value) {
        if (value == null) {
            return LoadReport.UNKNOWN;
        }
        String[] fields = value.trim().split(";");
        int slash = fields[0].indexOf('/');
        try {
            int inFlight = Integer.parseInt(fields[0].substring(0, Math.max(slash, 0)).trim());
            int slots = Integer.parseInt(fields[0].substring(slash + 1).trim());
            if (inFlight < 0 || slots < 1) {
                return LoadReport.UNKNOWN;
            }
            boolean draining = false;
            boolean cold = false;
            for (int i = 1; i < fields.length; i++) {
                draining |= fields[i].trim().equals("d");
                cold |= fields[i].trim().equals("c");
            }
            return new LoadReport(inFlight, slots, draining, cold);
        } catch (NumberFormatException e) {
            return LoadReport.UNKNOWN;
        }
    }
}

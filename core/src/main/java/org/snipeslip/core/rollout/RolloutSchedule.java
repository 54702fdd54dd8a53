package org.snipeslip.core.rollout;

/**
 * When the steps of a rollout are due. A version may turn bad late, so it is judged as late as is
 * safe: a part of the time is left for the write of the decision. All instances send their calls to
 * the new version before the decision for it is written, because the old servers then end at once.
 *
 * @param loadMillis from when on the saved exposure is spent
 * @param shiftMillis from when on all calls may go to a good version
 * @param decideMillis when a version that is not found good is rolled back
 * @param backstopMillis when an instance that hears no judge decides by itself
 */
record RolloutSchedule(long loadMillis, long shiftMillis, long decideMillis, long backstopMillis) {
    private static final double LOAD_PART = 0.55;
    private static final double MARGIN_PART = 0.1;
    private static final long MIN_MARGIN_MILLIS = 1_000;
    private static final long MAX_MARGIN_MILLIS = 3_000;

    /** Long enough for two reports of each instance. */
    private static final long SHIFT_MILLIS = 1_200;

    /** Part of a very short time that is left for the first steps. */
    private static final double MIN_SHIFT_PART = 0.4;

    static RolloutSchedule of(long durationMillis) {
        long margin =
                Math.clamp(
                        (long) (MARGIN_PART * durationMillis),
                        Math.min(MIN_MARGIN_MILLIS, durationMillis / 4),
                        MAX_MARGIN_MILLIS);
        long decide = durationMillis - margin;
        long shift = Math.max((long) (MIN_SHIFT_PART * durationMillis), decide - SHIFT_MILLIS);
        return new RolloutSchedule(
                (long) (LOAD_PART * shift), shift, decide, durationMillis - margin / 2);
    }
}

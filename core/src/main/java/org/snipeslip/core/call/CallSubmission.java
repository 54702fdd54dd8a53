package org.snipeslip.core.call;

import java.util.Map;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.quota.QuotaReturn;
import org.snipeslip.core.routing.SplitChooser;

/** Passes admitted calls to the shard of their service, or to another instance. Thread-safe. */
final class CallSubmission {
    private final CallSettings settings;
    private final Detour detour;
    private final OpenCalls openCalls;
    private final Map<ServiceId, ServiceShard> shards;
    private final SplitChooser splitChooser;

    /**
     * Creates a submission.
     *
     * @param shards the shard of each service, safe for concurrent use
     */
    CallSubmission(
            CallSettings settings,
            Detour detour,
            OpenCalls openCalls,
            Map<ServiceId, ServiceShard> shards,
            SplitChooser splitChooser) {
        this.settings = settings;
        this.detour = detour;
        this.openCalls = openCalls;
        this.shards = shards;
        this.splitChooser = splitChooser;
    }

    /**
     * Submits a call.
     *
     * @param quotaReturn reported if the call ends without having run, or null
     */
    void submit(ArrivedCall arrived, QuotaReturn quotaReturn, long nowNanos, Outbox outbox) {
        CallState call = CallState.of(arrived, settings);
        call.quotaReturn = quotaReturn;
        if (detour.isCutOff()) {
            if (!detour.take(call, true, nowNanos, outbox)) {
                Refusal refusal = Refusal.notRun(RefusalReason.CUT_OFF, Detour.RETRY_AFTER_MILLIS);
                refuse(call, refusal, outbox);
            }
            return;
        }
        ServiceShard shard = shards.get(splitChooser.choose(arrived.route()));
        if (shard == null) {
            // A newer configuration has removed the service in the meantime.
            refuse(call, Refusal.notRun(RefusalReason.NO_BACKEND_SERVER), outbox);
            return;
        }
        openCalls.add(call.request, shard);
        shard.arrive(call, nowNanos, outbox);
    }

    private static void refuse(CallState call, Refusal refusal, Outbox outbox) {
        EarlyRefusal.refuse(call.request, call.route, refusal, outbox);
        CallCompletion.returnQuota(call, refusal, outbox);
    }
}

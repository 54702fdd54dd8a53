package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.quota.Admission;
import org.snipeslip.core.quota.QuotaReturn;
import org.snipeslip.core.quota.Quotas;

/**
 * Admits calls within the quota of their organisation before they are queued, and holds those for
 * which other instances are asked for a loan. A call that another instance has passed on was
 * counted there. Thread-safe.
 */
public final class QuotaGate implements CallOwner {
    /** Timer of the calls that wait. */
    public static final TimerId TIMER = new TimerId(EngineName.QUOTAS, "waiting-calls");

    /** Bounds the memory of the calls that wait; others are refused at once. */
    private static final int MAX_WAITING = 512;

    private final OpenCalls openCalls;
    private final CallSubmission submission;
    private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();

    /** Null if the deployment has no quotas. */
    private volatile Quotas quotas;

    QuotaGate(OpenCalls openCalls, CallSubmission submission) {
        this.openCalls = openCalls;
        this.submission = submission;
    }

    /**
     * Switches quotas on.
     *
     * @param newQuotas decides about the calls
     */
    public void setQuotas(Quotas newQuotas) {
        quotas = newQuotas;
    }

    /**
     * Decides again about the calls that wait, after other instances may have lent more.
     *
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public void retry(long nowNanos, Outbox outbox) {
        for (Waiting each : takeWaiting()) {
            decide(each.call, each, nowNanos, outbox);
        }
    }

    void arrived(ArrivedCall call, long nowNanos, Outbox outbox) {
        boolean exempt =
                quotas == null
                        || call.organisation() == null
                        || !call.organisation().quota().isLimited()
                        || call.event().head().handover() != null;
        if (exempt) {
            submission.submit(call, null, nowNanos, outbox);
        } else {
            decide(call, null, nowNanos, outbox);
        }
    }

    void abort(Outbox outbox) {
        for (Waiting each : takeWaiting()) {
            Refusal refusal = Refusal.notRun(RefusalReason.STOPPING);
            openCalls.remove(each.call.event().request());
            EarlyRefusal.refuse(each.call.event().request(), each.call.route(), refusal, outbox);
        }
    }

    @Override
    public void callerDisconnected(RequestId request, long nowNanos, Outbox outbox) {
        synchronized (waiting) {
            if (waiting.remove(request) != null) {
                openCalls.remove(request);
            }
        }
    }

    @Override
    public void answered(TryId tryId, int status, LoadReport load, long nowNanos, Outbox outbox) {
        // No try of a waiting call was sent.
    }

    @Override
    public void completed(TryId tryId, RecordableAnswer answer, long nowNanos, Outbox outbox) {
        // No try of a waiting call was sent.
    }

    @Override
    public void failed(
            TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox) {
        // No try of a waiting call was sent.
    }

    @Override
    public boolean maySend(TryId tryId) {
        return false;
    }

    /**
     * Decides about a call.
     *
     * @param before how it has waited, or null if it has just arrived
     */
    private void decide(ArrivedCall call, Waiting before, long nowNanos, Outbox outbox) {
        RequestId request = call.event().request();
        boolean again = before != null;
        switch (quotas.admit(call.organisation().id(), again, nowNanos, outbox)) {
            case Admission.Admitted admitted -> {
                openCalls.remove(request);
                QuotaReturn ifNotRun = new QuotaReturn(call.organisation().id(), nowNanos);
                submission.submit(call, ifNotRun, nowNanos, outbox);
            }
            case Admission.Waiting wait -> hold(new Waiting(call, wait.untilNanos()), outbox);
            case Admission.Refused refused when again && before.untilNanos - nowNanos > 0 ->
                    hold(before, outbox);
            case Admission.Refused refused -> refuse(call, refused.retryAfterMillis(), outbox);
        }
        if (again) {
            return;
        }
        synchronized (waiting) {
            Waiting held = waiting.get(request);
            if (held != null) {
                long delayNanos = Math.max(0, held.untilNanos - nowNanos);
                outbox.add(new Action.SetTimer(TIMER, delayNanos, true));
            }
        }
    }

    private void hold(Waiting call, Outbox outbox) {
        RequestId request = call.call.event().request();
        synchronized (waiting) {
            if (waiting.size() < MAX_WAITING) {
                waiting.put(request, call);
                openCalls.add(request, this);
                return;
            }
        }
        refuse(call.call, 0, outbox);
    }

    private void refuse(ArrivedCall call, long retryAfterMillis, Outbox outbox) {
        RequestId request = call.event().request();
        openCalls.remove(request);
        Refusal refusal = Refusal.notRun(RefusalReason.QUOTA_EXCEEDED, retryAfterMillis);
        EarlyRefusal.refuse(request, call.route(), refusal, outbox);
    }

    private List<Waiting> takeWaiting() {
        synchronized (waiting) {
            List<Waiting> taken = new ArrayList<>(waiting.values());
            waiting.clear();
            return taken;
        }
    }

    /** A call for which other instances are asked for a loan, until a time. */
    private record Waiting(ArrivedCall call, long untilNanos) {}
}

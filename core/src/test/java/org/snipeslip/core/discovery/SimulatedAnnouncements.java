package org.snipeslip.core.discovery;

import java.util.function.Consumer;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;

/** The announcements of one instance to others in virtual time. */
final class SimulatedAnnouncements {
    private static final double LINK_MILLIS = 1;
    private static final double TIMEOUT_MILLIS = 300;

    private final SimulatedFollower sender;
    private int sent;
    private int open;
    private int mostOpen;

    SimulatedAnnouncements(SimulatedFollower sender) {
        this.sender = sender;
    }

    /** Returns the number of announcements that all processes of the instance have sent. */
    int sent() {
        return sent;
    }

    /** Returns how many announcements of a process were under way together at most. */
    int mostOpen() {
        return mostOpen;
    }

    void processStarted() {
        open = 0;
    }

    void send(Action.AnnounceInstance announcement, SimulatedFollower recipient) {
        sent++;
        open++;
        mostOpen = Math.max(mostOpen, open);
        DiscoveryEngine process = sender.process();
        boolean[] done = new boolean[1];
        Consumer<Boolean> ended =
                delivered -> {
                    if (!done[0] && sender.process() == process) {
                        done[0] = true;
                        open--;
                        sender.handle(new Event.AnnouncementEnded(announcement, delivered));
                    }
                };
        sender.after(TIMEOUT_MILLIS, () -> ended.accept(false));
        if (sender.reaches(recipient)) {
            sender.after(LINK_MILLIS, () -> deliver(announcement, recipient, ended));
        }
    }

    private void deliver(
            Action.AnnounceInstance announcement,
            SimulatedFollower recipient,
            Consumer<Boolean> ended) {
        if (recipient.process() != null) {
            recipient.runUnlessFrozen(
                    () -> {
                        recipient.process().instanceAnnounced(announcement.announced());
                        sender.after(LINK_MILLIS, () -> ended.accept(true));
                    });
        }
    }
}

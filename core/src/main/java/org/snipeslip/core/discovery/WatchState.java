package org.snipeslip.core.discovery;

/** How a {@link WatchCache} keeps its copy up to date. */
enum WatchState {
    /** Reads the pages of a list. */
    LISTING,
    /** Reads the changes since the oldest page of a list. */
    CATCHING_UP,
    /** Watches for changes after a list was applied. */
    WATCHING
}

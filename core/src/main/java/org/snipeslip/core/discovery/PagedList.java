package org.snipeslip.core.discovery;

import java.util.HashMap;
import java.util.Map;

/** The pages of a list that have been read so far. */
final class PagedList {
    private final Map<String, DiscoveryObject> objects = new HashMap<>();
    private String lastName = "";
    private StoreRevision firstRevision = StoreRevision.NONE;
    private StoreRevision oldestRevision = StoreRevision.NONE;

    /**
     * False after cheap pages were too old to be used; the next list then has up-to-date pages
     * only, so that it succeeds.
     */
    private boolean allowStalePages = true;

    Map<String, DiscoveryObject> objects() {
        return objects;
    }

    /** Returns the revision of the first page, which is up to date, or none before it was read. */
    StoreRevision firstRevision() {
        return firstRevision;
    }

    /** Returns the revision of the oldest page. Changes between the pages follow from it. */
    StoreRevision oldestRevision() {
        return oldestRevision;
    }

    DiscoveryRequest nextRequest(DiscoveryKind kind) {
        boolean stale = allowStalePages && !lastName.isEmpty();
        return new DiscoveryRequest.ListPage(kind, lastName, stale);
    }

    /**
     * Adds a page.
     *
     * @return false if it is of another era than the first one: the store was restored between
     *     them, or the page is from before that
     */
    boolean add(DiscoveryResponse.Page page) {
        if (!firstRevision.isKnown()) {
            firstRevision = page.revision();
            oldestRevision = page.revision();
        }
        if (page.revision().era() != firstRevision.era()) {
            return false;
        }
        if (oldestRevision.isAfter(page.revision())) {
            oldestRevision = page.revision();
        }
        for (DiscoveryObject object : page.objects()) {
            objects.put(object.name(), object);
            lastName = object.name();
        }
        return true;
    }

    /** Replaces the pages by a whole list. */
    void replace(DiscoveryResponse.Changes list) {
        clear();
        list.objects().forEach(object -> objects.put(object.name(), object));
        oldestRevision = list.revision();
    }

    void setAllowStalePages(boolean newAllowStalePages) {
        allowStalePages = newAllowStalePages;
    }

    void clear() {
        objects.clear();
        lastName = "";
        firstRevision = StoreRevision.NONE;
        oldestRevision = StoreRevision.NONE;
    }
}

package org.snipeslip.core.suspect;

import java.util.Set;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.RequestId;

/**
 * A question about a request at an instance outside its home regions.
 *
 * @param request the call that waits for the answer
 * @param digest identifies the request
 * @param homeRegions the regions that may know the digest
 */
public record SuspectQuestion(RequestId request, RequestDigest digest, Set<RegionId> homeRegions) {}

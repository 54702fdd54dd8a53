package org.snipeslip.core.once;

import org.snipeslip.core.id.InstanceId;

/** One claim of one process: who asked, and which of its claims. */
record Grantee(InstanceId instance, long incarnation, long claim) {}

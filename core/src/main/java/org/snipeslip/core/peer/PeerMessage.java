package org.snipeslip.core.peer;

/** A message between instances. Delivery is not guaranteed; it may be late or doubled. */
public sealed interface PeerMessage permits MembershipMessage, SpreadMessage, ClaimMessage {}

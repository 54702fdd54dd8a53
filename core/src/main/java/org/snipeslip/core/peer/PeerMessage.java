package org.snipeslip.core.peer;

/** A message between instances. It may be lost, delayed, reordered or delivered twice. */
public sealed interface PeerMessage permits MembershipMessage, ConfigMessage, ClaimMessage {}

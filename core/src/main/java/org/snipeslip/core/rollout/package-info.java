/** Rollouts of new versions of a service: steps, judgement and rollback. */
package org.snipeslip.core.rollout;

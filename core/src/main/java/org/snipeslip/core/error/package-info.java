/** Typed failures that callers and operators see. */
package org.snipeslip.core.error;

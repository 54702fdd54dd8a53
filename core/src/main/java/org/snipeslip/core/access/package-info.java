/** Organisations' callers: which organisation a key belongs to, and whether that is still so. */
package org.snipeslip.core.access;

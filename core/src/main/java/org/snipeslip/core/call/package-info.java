/** The life of a call: admission, selection, tries, answer. */
package org.snipeslip.core.call;

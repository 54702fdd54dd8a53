/** Value types for identifiers. */
package org.snipeslip.core.id;

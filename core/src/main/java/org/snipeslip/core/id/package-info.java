/** Types of identifiers and names. */
package org.snipeslip.core.id;

/** The operator port: health, metrics, tables and explanations. */
package org.snipeslip.server.operator;

/** The operator port: health, metrics, tables, members and explanations of decisions. */
package org.snipeslip.server.operator;

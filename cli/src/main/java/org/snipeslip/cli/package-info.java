/** The command line. */
package org.snipeslip.cli;

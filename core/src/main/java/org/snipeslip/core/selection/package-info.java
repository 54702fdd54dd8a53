/** Choice of a backend server for one try: the adaptive policy and the baselines. */
package org.snipeslip.core.selection;

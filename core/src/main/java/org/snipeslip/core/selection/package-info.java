/** Selection of the backend server for a try: adaptive and probed policies, and baselines. */
package org.snipeslip.core.selection;

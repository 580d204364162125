/** Collections that several packages need. */
package org.fuchsiaspindle.core.collect;

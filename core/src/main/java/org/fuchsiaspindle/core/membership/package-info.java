/** Fleet membership: selection of the processes to connect to, and failure detection. */
package org.fuchsiaspindle.core.membership;

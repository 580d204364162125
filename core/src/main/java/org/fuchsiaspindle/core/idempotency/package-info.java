/** Records of calls with an idempotency key, and the decision on a resent call. */
package org.fuchsiaspindle.core.idempotency;

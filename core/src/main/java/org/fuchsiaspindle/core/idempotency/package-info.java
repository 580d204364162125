/** Records of calls with an idempotency key, and the decision whether a resent call runs. */
package org.fuchsiaspindle.core.idempotency;

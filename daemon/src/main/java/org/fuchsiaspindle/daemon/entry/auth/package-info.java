/** Authentication of callers and operators by bearer key. */
package org.fuchsiaspindle.daemon.entry.auth;

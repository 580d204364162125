/** HTTP server of the callers' and operators' APIs and of the management endpoints. */
package org.fuchsiaspindle.daemon.http;

/** The operators' HTTP API. */
package org.fuchsiaspindle.daemon.admin;

/** The administration API, which operators use over HTTP. */
package org.fuchsiaspindle.daemon.admin;

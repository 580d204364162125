/** The agent process, which runs next to one target and schedules all requests to it. */
package org.fuchsiaspindle.daemon.agent;

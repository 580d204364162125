/** The agent process, which runs beside one target; the target is reached only through it. */
package org.fuchsiaspindle.daemon.agent;

/** The callers' HTTP interface for models and services. */
package org.fuchsiaspindle.daemon.entry.http;

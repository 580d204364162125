/** Identifiers of instances, requests, files and jobs. */
package org.fuchsiaspindle.core.id;

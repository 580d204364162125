/** Reads JSON documents that operators write, and reports all errors of a document at once. */
package org.fuchsiaspindle.core.document;

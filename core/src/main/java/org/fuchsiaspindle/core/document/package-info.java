/** Reads JSON documents written by operators, and reports all errors of a document at once. */
package org.fuchsiaspindle.core.document;

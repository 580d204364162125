/** Numbered result codes and the exception that carries them. */
package org.fuchsiaspindle.core.error;

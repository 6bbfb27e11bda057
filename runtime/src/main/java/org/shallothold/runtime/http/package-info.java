/** HTTP requests to servers whose responses name no request. */
@NullMarked
package org.shallothold.runtime.http;

import org.jspecify.annotations.NullMarked;

package org.chalkhollow.model

/** Status codes of HTTP responses that this process sends or receives. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val CONTENT_TOO_LARGE = 413

    /** The body names the controller to which the request should be sent. */
    const val MISDIRECTED = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429

    /** The lowest status of a server error, which says that nothing was decided about the request. */
    const val MIN_SERVER_ERROR = 500
    const val UNAVAILABLE = 503
}

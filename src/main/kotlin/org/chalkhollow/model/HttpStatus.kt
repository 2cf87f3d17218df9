package org.chalkhollow.model

/** HTTP statuses of the responses that this process sends or receives. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val CONTENT_TOO_LARGE = 413

    /** The caller should send its request to the controller that the body names. */
    const val MISDIRECTED = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429

    /** All statuses from here on say that nothing was decided. */
    const val MIN_SERVER_ERROR = 500
    const val UNAVAILABLE = 503
}

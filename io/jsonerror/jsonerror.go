// Package jsonerror answers failed HTTP requests with errors in JSON form. The errors
// are of a type that each HTTP interface defines.
package jsonerror

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"knapweedstall/core/clock"
)

// Error is an error of an HTTP interface. Its JSON form is the body of the answer.
type Error interface {
	error
	// Status returns the HTTP status.
	Status() int
	// RetryAfter returns the time to wait before a retry, or 0 when a retry is of no
	// use.
	RetryAfter() clock.Duration
}

// Handler returns the error handler of an HTTP interface whose errors are of type E.
// refused returns the error for a request that matches no route or that echo can't
// parse, given its HTTP status. internal returns the error that replaces all errors of
// other types.
func Handler[E Error](refused func(status int) E, internal func() E) echo.HTTPErrorHandler {
	return func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		var e E
		var h *echo.HTTPError
		switch {
		case errors.As(err, &e):
		case errors.As(err, &h):
			e = refused(h.Code)
		default:
			e = internal()
		}
		if after := e.RetryAfter(); after > 0 {
			seconds := (after + clock.Second - 1) / clock.Second
			c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		}
		_ = c.JSON(e.Status(), e) // fails only when the client has disconnected
	}
}

// Message describes a refused request by its HTTP status.
func Message(status int) string {
	if status == http.StatusNotFound {
		return "no such route"
	}
	return http.StatusText(status)
}

// Package operator serves the operators' HTTP interface: filing and reading change
// tickets, which change the configuration, and the status of the instance.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"knapweedstall/core/clock"
	"knapweedstall/io/jsonerror"
)

// MaxTicketBytes bounds the body of a filed ticket.
const MaxTicketBytes = 1 << 20

// MaxListed bounds how many tickets one call lists.
const MaxListed = 1000

// Code is a stable error code.
type Code string

// Error codes. docs/tickets.md describes how to react to each.
const (
	CodeInvalid         Code = "invalid"
	CodeTooLarge        Code = "tooLarge"
	CodeConflict        Code = "conflict"
	CodeBehind          Code = "behind"
	CodeUnavailable     Code = "unavailable"
	CodeUnknownOutcome  Code = "unknownOutcome"
	CodeUnauthenticated Code = "unauthenticated"
	CodeNotFound        Code = "notFound"
)

// Error is the answer to a request that was refused or has failed.
type Error struct {
	Code         Code           `json:"code"`
	Message      string         `json:"message"`
	Faults       []string       `json:"faults,omitempty"`       // all faults of an invalid ticket, each with its path
	InForce      uint64         `json:"inForce,omitempty"`      // number of the ticket in force, for CodeBehind
	WinnerFiling string         `json:"winnerFiling,omitempty"` // filing id of the accepted ticket, for CodeConflict
	Winner       string         `json:"winner,omitempty"`       // operator of the accepted ticket, for CodeConflict
	RetryAfterMS clock.Duration `json:"retryAfterMs,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// RetryAfter implements jsonerror.Error.
func (e *Error) RetryAfter() clock.Duration { return e.RetryAfterMS }

// Status returns the HTTP status for e.
func (e *Error) Status() int {
	switch e.Code {
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeConflict, CodeBehind:
		return http.StatusConflict
	case CodeUnauthenticated:
		return http.StatusUnauthorized
	case CodeNotFound:
		return http.StatusNotFound
	case CodeUnknownOutcome:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Accepted is the reply to an accepted ticket.
type Accepted struct {
	Number   uint64 `json:"number"`
	FilingID string `json:"filingId"`
}

// Backend executes authenticated requests. Its methods fail with *Error.
// Replies that are json.RawMessage hold the JSON forms of package ticket.
type Backend interface {
	// File files the ticket in body, which is the JSON form of ticket.Ticket. Number 0
	// means the next number.
	File(ctx context.Context, body []byte) (Accepted, error)
	// Audit returns the changes of a ticket: the operator, the time, and the values
	// before and after.
	Audit(ctx context.Context, number uint64) (json.RawMessage, error)
	// List returns at most limit tickets, beginning with number from.
	List(ctx context.Context, from uint64, limit int) (json.RawMessage, error)
	// State returns the configuration in force.
	State(ctx context.Context) (json.RawMessage, error)
	// Status returns the status of this instance.
	Status(ctx context.Context) (json.RawMessage, error)
}

// Server is the HTTP interface for operators.
type Server struct {
	echo    *echo.Echo
	backend Backend
	token   string
}

// NewServer returns a Server that accepts requests with this bearer token.
func NewServer(backend Backend, token string) *Server {
	s := &Server{echo: echo.New(), backend: backend, token: token}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = writeError
	v1 := s.echo.Group("/v1", s.authenticate)
	v1.POST("/tickets", s.file)
	v1.GET("/tickets", s.list)
	v1.GET("/tickets/:number", s.audit)
	v1.GET("/state", s.state)
	v1.GET("/status", s.status)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		presented := []byte(c.Request().Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(presented, []byte("Bearer "+s.token)) != 1 {
			return &Error{Code: CodeUnauthenticated, Message: "the bearer token is missing or wrong"}
		}
		return next(c)
	}
}

func (s *Server) file(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, MaxTicketBytes+1))
	if err != nil {
		return &Error{Code: CodeInvalid, Message: "the body could not be read"}
	}
	if len(body) > MaxTicketBytes {
		return &Error{Code: CodeTooLarge, Message: "the ticket is over 1 MB"}
	}
	accepted, err := s.backend.File(c.Request().Context(), body)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, accepted)
}

func (s *Server) list(c echo.Context) error {
	from, err := queryNumber(c, "from", 1)
	if err != nil {
		return err
	}
	limit, err := queryNumber(c, "limit", 100)
	if err != nil {
		return err
	}
	return reply(c)(s.backend.List(c.Request().Context(), from, int(min(limit, MaxListed))))
}

// queryNumber returns the value of a query parameter, or defaultValue when there is none.
func queryNumber(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &Error{Code: CodeInvalid, Message: name + " is not a number"}
	}
	return n, nil
}

func (s *Server) audit(c echo.Context) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 63)
	if err != nil {
		return &Error{Code: CodeInvalid, Message: "the ticket number is not a number"}
	}
	return reply(c)(s.backend.Audit(c.Request().Context(), number))
}

func (s *Server) state(c echo.Context) error {
	return reply(c)(s.backend.State(c.Request().Context()))
}

func (s *Server) status(c echo.Context) error {
	return reply(c)(s.backend.Status(c.Request().Context()))
}

// reply returns a function that answers with a backend's result.
func reply(c echo.Context) func(json.RawMessage, error) error {
	return func(body json.RawMessage, err error) error {
		if err != nil {
			return err
		}
		return c.JSONBlob(http.StatusOK, body)
	}
}

var writeError = jsonerror.Handler(
	func(status int) *Error {
		if status == http.StatusNotFound {
			return &Error{Code: CodeNotFound, Message: jsonerror.Message(status)}
		}
		return &Error{Code: CodeInvalid, Message: jsonerror.Message(status)}
	},
	func() *Error { return &Error{Code: CodeUnavailable, Message: "internal error"} })

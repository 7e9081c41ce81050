package caller

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
	"knapweedstall/io/jsonerror"
)

// Limits of requests, and the limit of hits for a query that states none.
const (
	MaxQueryBytes = 16 << 10
	MaxKeyBytes   = 256
	defaultLimit  = 10
)

// Limits are the limits of requests that the settings can change.
type Limits struct {
	Concurrent      int            // number of requests in progress; further ones are refused at once
	BodyBytes       int64          // size of a request's body
	Hits            int            // largest number of hits that a query may ask for
	Deadline        clock.Duration // longest deadline; at most the longest duration of a call to a target
	DefaultDeadline clock.Duration // deadline of requests that state none
}

// DefaultLimits returns the limits that apply when the settings state none.
func DefaultLimits() Limits {
	return Limits{Concurrent: 4096, BodyBytes: 64 << 10, Hits: 1000, Deadline: message.MaxTargetCallDuration, DefaultDeadline: clock.Second}
}

// Backend executes authenticated requests. Its methods fail with *Error.
type Backend interface {
	Search(ctx context.Context, workspace topology.WorkspaceID, r SearchRequest) (SearchAnswer, error)
	Run(ctx context.Context, workspace topology.WorkspaceID, r RunRequest) (RunAnswer, error)
}

// Server is the HTTP interface for callers.
type Server struct {
	echo    *echo.Echo
	backend Backend
	tokens  map[string]topology.WorkspaceID
	limits  Limits
	slots   chan struct{} // one for each request in progress
}

// Option configures a Server.
type Option func(*Server)

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// overloadRetryDelay is the retry delay for requests that are refused because too many
// are in progress.
const overloadRetryDelay = 100 * clock.Millisecond

// NewServer returns a Server that authenticates callers by tokens, a map of
// bearer tokens to workspaces.
func NewServer(backend Backend, tokens map[string]topology.WorkspaceID, opts ...Option) *Server {
	s := &Server{echo: echo.New(), backend: backend, tokens: tokens, limits: DefaultLimits()}
	for _, o := range opts {
		o(s)
	}
	s.slots = make(chan struct{}, s.limits.Concurrent)
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = writeError
	s.echo.POST("/v1/query", s.query, s.limitConcurrency)
	s.echo.POST("/v1/run", s.run, s.limitConcurrency)
	return s
}

// Echo returns the router, so that health and metrics routes can be added.
func (s *Server) Echo() *echo.Echo { return s.echo }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// limitConcurrency refuses requests while the maximum number of requests is in
// progress.
func (s *Server) limitConcurrency(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			return next(c)
		default:
			return NotRun(CodeOverloaded, overloadRetryDelay, "too many requests in progress")
		}
	}
}

func (s *Server) query(c echo.Context) error {
	workspace, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	var r SearchRequest
	if err := DecodeBody(c.Request(), s.limits.BodyBytes, &r); err != nil {
		return err
	}
	if err := r.validate(s.limits); err != nil {
		return err
	}
	answer, err := s.backend.Search(c.Request().Context(), workspace, r)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) run(c echo.Context) error {
	workspace, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	var r RunRequest
	if err := DecodeBody(c.Request(), s.limits.BodyBytes, &r); err != nil {
		return err
	}
	r.Key = c.Request().Header.Get("Idempotency-Key")
	if err := r.validate(s.limits); err != nil {
		return err
	}
	answer, err := s.backend.Run(c.Request().Context(), workspace, r)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

// authenticate returns the workspace of the request's token. It compares the token with
// every known one in constant time, so that timing does not leak information about the
// tokens.
func (s *Server) authenticate(r *http.Request) (topology.WorkspaceID, error) {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	var workspace topology.WorkspaceID
	for token, t := range s.tokens {
		if subtle.ConstantTimeCompare([]byte(token), []byte(presented)) == 1 {
			workspace = t
		}
	}
	if !ok || workspace == "" {
		return "", NotRun(CodeUnauthenticated, 0, "the bearer token is missing or unknown")
	}
	return workspace, nil
}

// DecodeBody reads a JSON body of at most limit bytes into out and refuses
// unknown fields. It fails with *Error.
func DecodeBody(r *http.Request, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return NotRun(CodeBadRequest, 0, "the body could not be read")
	}
	if int64(len(data)) > limit {
		return NotRun(CodeTooLarge, 0, "the body is over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return NotRun(CodeBadRequest, 0, "the body is not valid: "+err.Error())
	}
	// Decoder.More would not detect a closing bracket after the value.
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return NotRun(CodeBadRequest, 0, "the body holds more than one value")
	}
	return nil
}

// validate sets defaults and refuses values that are out of range.
func (r *SearchRequest) validate(l Limits) error {
	if r.Limit == 0 {
		r.Limit = defaultLimit
	}
	if r.Collection == "" || len(r.Query) > MaxQueryBytes || r.Limit < 0 || r.Limit > l.Hits {
		return NotRun(CodeBadRequest, 0, "collection, query or limit is out of range")
	}
	return l.checkDeadline(&r.DeadlineMS)
}

func (r *RunRequest) validate(l Limits) error {
	if r.Collection == "" || r.Key == "" || len(r.Key) > MaxKeyBytes || len(r.Payload) > MaxQueryBytes {
		return NotRun(CodeBadRequest, 0, "collection, payload or Idempotency-Key is out of range")
	}
	return l.checkDeadline(&r.DeadlineMS)
}

func (l Limits) checkDeadline(d *clock.Duration) error {
	if *d == 0 {
		*d = l.DefaultDeadline
	}
	if *d < 0 || *d > l.Deadline {
		return NotRun(CodeBadRequest, 0, "deadlineMs is out of range")
	}
	return nil
}

var writeError = jsonerror.Handler(
	func(status int) *Error {
		if status == http.StatusNotFound {
			return NotRun(CodeNotFound, 0, jsonerror.Message(status))
		}
		return NotRun(CodeBadRequest, 0, jsonerror.Message(status))
	},
	func() *Error {
		return &Error{Code: CodeUnavailable, Message: "internal error", Outcome: OutcomeUnknown}
	})

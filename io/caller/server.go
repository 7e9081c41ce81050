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
	"knapweedstall/core/topology"
)

// Limits on what a caller may send.
const (
	MaxBodyBytes  = 64 << 10
	MaxQueryBytes = 16 << 10
	MaxKeyBytes   = 256
	MaxLimit      = 1000
	// MaxDeadline is the longest possible work in flight at a target; shares
	// change hands only after it.
	MaxDeadline     = 2 * clock.Second
	defaultLimit    = 10
	defaultDeadline = clock.Second
)

// Backend executes authenticated requests. Its methods fail with *Error.
type Backend interface {
	Search(ctx context.Context, tenant topology.TenantID, r SearchRequest) (SearchAnswer, error)
	Run(ctx context.Context, tenant topology.TenantID, r RunRequest) (RunAnswer, error)
}

// Server is the HTTP interface for callers.
type Server struct {
	echo    *echo.Echo
	backend Backend
	tokens  map[string]topology.TenantID
	slots   chan struct{} // one for each request in progress
}

// Option changes a Server.
type Option func(*Server)

// WithMaxConcurrent bounds the requests in progress; the default is 4,096.
// Further ones are refused at once.
func WithMaxConcurrent(n int) Option {
	return func(s *Server) { s.slots = make(chan struct{}, n) }
}

const (
	defaultConcurrent = 4096
	busyRetry         = 100 * clock.Millisecond
)

// NewServer returns a Server that authenticates callers by tokens, a map of
// bearer tokens to tenants.
func NewServer(backend Backend, tokens map[string]topology.TenantID, opts ...Option) *Server {
	s := &Server{echo: echo.New(), backend: backend, tokens: tokens, slots: make(chan struct{}, defaultConcurrent)}
	for _, o := range opts {
		o(s)
	}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = writeError
	s.echo.POST("/v1/query", s.query, s.bound)
	s.echo.POST("/v1/run", s.run, s.bound)
	return s
}

// Echo returns the router, so that health and metrics routes can be added.
func (s *Server) Echo() *echo.Echo { return s.echo }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// bound refuses requests beyond the number that may be in progress.
func (s *Server) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			return next(c)
		default:
			return NotRun(CodeOverloaded, busyRetry, "too many requests in progress")
		}
	}
}

func (s *Server) query(c echo.Context) error {
	tenant, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	var r SearchRequest
	if err := DecodeBody(c.Request(), MaxBodyBytes, &r); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return err
	}
	answer, err := s.backend.Search(c.Request().Context(), tenant, r)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) run(c echo.Context) error {
	tenant, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	var r RunRequest
	if err := DecodeBody(c.Request(), MaxBodyBytes, &r); err != nil {
		return err
	}
	r.Key = c.Request().Header.Get("Idempotency-Key")
	if err := r.check(); err != nil {
		return err
	}
	answer, err := s.backend.Run(c.Request().Context(), tenant, r)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

// authenticate compares the presented token with every known one in constant
// time, so that timing tells nothing about the tokens.
func (s *Server) authenticate(r *http.Request) (topology.TenantID, error) {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	var tenant topology.TenantID
	for token, t := range s.tokens {
		if subtle.ConstantTimeCompare([]byte(token), []byte(presented)) == 1 {
			tenant = t
		}
	}
	if !ok || tenant == "" {
		return "", NotRun(CodeUnauthenticated, 0, "the bearer token is missing or unknown")
	}
	return tenant, nil
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
	// More would overlook a closing bracket behind the value.
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return NotRun(CodeBadRequest, 0, "the body holds more than one value")
	}
	return nil
}

// check fills in defaults and refuses values out of range.
func (r *SearchRequest) check() error {
	if r.Limit == 0 {
		r.Limit = defaultLimit
	}
	if r.Collection == "" || len(r.Query) > MaxQueryBytes || r.Limit < 0 || r.Limit > MaxLimit {
		return NotRun(CodeBadRequest, 0, "collection, query or limit is out of range")
	}
	return checkDeadline(&r.DeadlineMS)
}

func (r *RunRequest) check() error {
	if r.Collection == "" || r.Key == "" || len(r.Key) > MaxKeyBytes || len(r.Payload) > MaxQueryBytes {
		return NotRun(CodeBadRequest, 0, "collection, payload or Idempotency-Key is out of range")
	}
	return checkDeadline(&r.DeadlineMS)
}

func checkDeadline(d *clock.Duration) error {
	if *d == 0 {
		*d = defaultDeadline
	}
	if *d < 0 || *d > MaxDeadline {
		return NotRun(CodeBadRequest, 0, "deadlineMs is out of range")
	}
	return nil
}

// writeError sends err as an Error with its status and, where there is one, the
// time to come back.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var e *Error
	var h *echo.HTTPError
	switch {
	case errors.As(err, &e):
	case errors.As(err, &h) && h.Code == http.StatusNotFound:
		e = NotRun(CodeNotFound, 0, "no such route")
	case errors.As(err, &h):
		e = NotRun(CodeBadRequest, 0, http.StatusText(h.Code))
	default:
		e = &Error{Code: CodeUnavailable, Message: "internal error", Outcome: OutcomeUnknown}
	}
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + clock.Second - 1) / clock.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	_ = c.JSON(e.Status(), e) // the caller has gone when this fails
}

package jsonerror_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"

	"knapweedstall/core/clock"
	"knapweedstall/io/jsonerror"
)

type fault struct {
	Text  string `json:"text"`
	after clock.Duration
}

func (f *fault) Error() string              { return f.Text }
func (f *fault) Status() int                { return http.StatusTeapot }
func (f *fault) RetryAfter() clock.Duration { return f.after }

// TestHandler guards against errors that are sent in another form than that of the
// interface, and against a retry delay that is rounded down.
func TestHandler(t *testing.T) {
	type reply struct {
		Status           int
		Body, RetryAfter string
	}
	for path, want := range map[string]reply{
		"/own":     {418, `{"text":"own"}`, ""},
		"/later":   {418, `{"text":"later"}`, "2"},
		"/other":   {418, `{"text":"internal"}`, ""},
		"/nowhere": {418, `{"text":"no such route"}`, ""},
		"/large":   {418, `{"text":"Request Entity Too Large"}`, ""},
	} {
		t.Run(path, func(t *testing.T) {
			e := echo.New()
			e.HTTPErrorHandler = jsonerror.Handler(
				func(status int) *fault { return &fault{Text: jsonerror.Message(status)} },
				func() *fault { return &fault{Text: "internal"} })
			e.GET("/own", func(echo.Context) error { return &fault{Text: "own"} })
			e.GET("/later", func(echo.Context) error { return &fault{Text: "later", after: 1001} })
			e.GET("/other", func(echo.Context) error { return errors.New("secret") })
			e.GET("/large", func(echo.Context) error { return echo.ErrStatusRequestEntityTooLarge })
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			got := reply{w.Code, w.Body.String(), w.Header().Get("Retry-After")}
			want.Body += "\n"
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		})
	}
}

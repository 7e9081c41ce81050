package caller

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestDecodeBody guards against accepting a body with data after its value, with an
// unknown field, or of excessive size.
func TestDecodeBody(t *testing.T) {
	const limit = 64
	for body, want := range map[string]Code{
		`{"collection":"c"}`:               "",
		" {\"collection\":\"c\"}\n":        "",
		``:                                 CodeBadRequest,
		`{"collection":"c"`:                CodeBadRequest,
		`{"collection":"c"}]`:              CodeBadRequest,
		`{"collection":"c"}}`:              CodeBadRequest,
		`{"collection":"c"} {}`:            CodeBadRequest,
		`{"collection":"c","other":1}`:     CodeBadRequest,
		`"` + strings.Repeat("x", limit):   CodeTooLarge,
		strings.Repeat(" ", limit-2) + "7": CodeBadRequest,
	} {
		var r SearchRequest
		err := DecodeBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)), limit, &r)
		var e *Error
		if errors.As(err, &e) != (want != "") || (e != nil && e.Code != want) {
			t.Errorf("%q: got %v, want %q", body, err, want)
		}
	}
}

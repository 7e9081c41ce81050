package body_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"knapweedstall/io/body"
)

// TestReadAll checks that a body is read whole up to the limit.
func TestReadAll(t *testing.T) {
	r := body.NewReader(body.Limits{Most: 5000, Small: 1000, Total: 20000})
	for _, size := range []int{0, 1, 511, 512, 513, 999, 1000, 1001, 5000, 5001, 9000} {
		for _, stated := range []int64{-1, int64(size)} {
			want := []byte(strings.Repeat("x", size))
			got, err := r.ReadAll(iotest.HalfReader(bytes.NewReader(want)), stated)
			var tooLarge *body.TooLargeError
			switch {
			case size > 5000 && !errors.As(err, &tooLarge):
				t.Errorf("%d bytes: %v, want *body.TooLargeError", size, err)
			case size <= 5000 && (err != nil || !bytes.Equal(got, want)):
				t.Errorf("%d bytes: got %d, %v", size, len(got), err)
			}
		}
	}
}

// endlessReader is a body without end.
type endlessReader struct{ read *int64 }

// Read implements io.Reader.
func (r endlessReader) Read(p []byte) (int, error) {
	*r.read += int64(len(p))
	return len(p), nil
}

// TestEndlessBodies guards against many bodies without end that are kept in memory at the
// same time, and against memory that is not given back after them.
func TestEndlessBodies(t *testing.T) {
	limits := body.Limits{Most: 1 << 20, Small: 1 << 12, Total: 4 << 20}
	r := body.NewReader(limits)
	for range 3 {
		var wait sync.WaitGroup
		reads := make([]int64, 100)
		for i := range reads {
			wait.Go(func() {
				if _, err := r.ReadAll(endlessReader{&reads[i]}, -1); err == nil {
					t.Error("a body without end was accepted")
				}
			})
		}
		wait.Wait()
	}
	if _, err := r.ReadAll(io.LimitReader(endlessReader{new(int64)}, limits.Most), -1); err != nil {
		t.Errorf("a body after those without end: %v", err)
	}
}

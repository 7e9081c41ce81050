// Package body reads the bodies of messages, of which any number may be read at the same
// time, with bounded memory. Peers in trouble send bytes without end.
package body

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Limits bound what is read, in bytes.
type Limits struct {
	Most  int64 // of one body
	Small int64 // size up to which a body is read whatever else is being read
	// Total bounds the memory for the parts of bodies beyond Small that are being read at
	// the same time.
	Total int64
}

// TooLargeError reports that more than Limit bytes have arrived or are stated.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	limits Limits
	used   atomic.Int64 // memory for the parts beyond Limits.Small
}

// NewReader returns a Reader with the limits.
func NewReader(l Limits) *Reader { return &Reader{limits: l} }

// minBuffer is the initial size of a buffer, in bytes.
const minBuffer = 512

// ReadAll reads src, whose stated length is length, -1 for none, to its end. The memory that
// it takes grows with the bytes that arrive, not with the length that is stated. It fails
// with *TooLargeError, or with the error of src.
func (r *Reader) ReadAll(src io.Reader, length int64) ([]byte, error) {
	data, release, err := r.ReadHeld(src, length)
	release()
	return data, err
}

// ReadHeld is ReadAll for a body that is kept in memory: it counts towards Limits.Total until
// release is called, which must be done once, also after an error.
func (r *Reader) ReadHeld(src io.Reader, length int64) (data []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { r.used.Add(-reserved) }
	if length > r.limits.Most {
		return nil, release, errors.WithStack(&TooLargeError{r.limits.Most})
	}
	data = make([]byte, 0, min(max(length+1, minBuffer), r.limits.Small))
	for {
		if int64(len(data)) > r.limits.Most {
			return nil, release, errors.WithStack(&TooLargeError{r.limits.Most})
		}
		if len(data) == cap(data) {
			more := int64(cap(data))
			if 2*more > r.limits.Small {
				if !r.reserve(more) {
					return nil, release, errors.WithStack(&TooLargeError{r.limits.Total})
				}
				reserved += more
			}
			data = slices.Grow(data, int(more))
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, release, nil
		}
		if err != nil {
			return nil, release, err //nolint:wrapcheck // the error of src
		}
	}
}

// reserve adds n bytes and reports whether they are within Limits.Total. If not, it adds
// none.
func (r *Reader) reserve(n int64) bool {
	if r.used.Add(n) > r.limits.Total {
		r.used.Add(-n)
		return false
	}
	return true
}

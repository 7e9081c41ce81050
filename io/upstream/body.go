package upstream

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Limits of what a target may send.
const (
	maxAnswerBytes = 8 << 20
	// maxHeadBytes bounds the status line and headers of an answer, and the framing of
	// its body.
	maxHeadBytes = 64 << 10
	// smallBodyBytes is the size up to which a body is read without a reservation.
	smallBodyBytes = 64 << 10
	// maxLargeBytes bounds the memory for the parts of bodies beyond smallBodyBytes
	// that are being read at the same time, so that targets that send bytes without
	// end don't use up the memory of the process.
	maxLargeBytes = 16 << 20
	maxInterim    = 8 // interim answers, with a status of 1xx, before an answer
)

// limitedConn is a connection from which only a limited number of bytes can be read
// until the limit is set again.
type limitedConn struct {
	net.Conn
	left int64
}

// Read implements io.Reader. It fails with *TooLargeError beyond the limit.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, &TooLargeError{Limit: maxHeadBytes}
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}

// reservation counts the memory that is used for large bodies.
type reservation struct{ used atomic.Int64 }

// reserve adds n bytes and reports whether they are within maxLargeBytes. If not, it
// adds none.
func (r *reservation) reserve(n int64) bool {
	if r.used.Add(n) > maxLargeBytes {
		r.used.Add(-n)
		return false
	}
	return true
}

func (r *reservation) release(n int64) { r.used.Add(-n) }

// readBody reads the whole body of an answer. The memory that it takes grows with the
// bytes that arrive, not with the length that the target states. It does not close the
// body, which would read on to the end of one that has been given up; the connection is
// closed then.
func (r *reservation) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxAnswerBytes {
		return nil, &TooLargeError{Limit: maxAnswerBytes}
	}
	reserved := int64(0)
	defer func() { r.release(reserved) }()
	body := make([]byte, 0, min(max(resp.ContentLength+1, 512), smallBodyBytes))
	for {
		if len(body) > maxAnswerBytes {
			return nil, &TooLargeError{Limit: maxAnswerBytes}
		}
		if len(body) == cap(body) {
			more := int64(cap(body))
			if cap(body)+int(more) > smallBodyBytes {
				if !r.reserve(more) {
					return nil, &TooLargeError{Limit: maxLargeBytes}
				}
				reserved += more
			}
			grown := make([]byte, len(body), cap(body)+int(more))
			copy(grown, body)
			body = grown
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
